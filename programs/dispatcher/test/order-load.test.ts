import assert from "node:assert/strict";
import { test } from "node:test";
import type { OrderResult } from "@almondusher/platform-adapter/executor-client";
import { createDispatcherMetrics } from "../src/process/dispatcher-metrics.js";
import { createOrderLoad } from "../src/executors/order-load.js";

test("a sample tells answered, unanswered and outstanding requests apart", async () => {
    let nowMs = 0;
    const metrics = createDispatcherMetrics();
    const load = createOrderLoad({ metrics, monotonicMs: () => nowMs });
    const accepted: OrderResult = { kind: "accepted", clockMs: undefined, startedAtMs: undefined };
    let answer: (result: OrderResult) => void = () => undefined;
    const outstanding = load.track(() => new Promise<OrderResult>(resolve => (answer = resolve)));
    await load.track(() => {
        nowMs += 20;
        return Promise.resolve(accepted);
    });
    await load.track(() => Promise.resolve({ kind: "unknown", reason: "no answer" }));
    assert.deepEqual(load.takeSample(), {
        sent: 3,
        answered: 1,
        unanswered: 1,
        outstanding: 1,
        responseP50Ms: 20,
        responseP99Ms: 20,
    });
    assert.equal(load.takeSample()?.outstanding, 1);
    answer(accepted);
    await outstanding;
    assert.equal(load.takeSample()?.answered, 1);
    assert.equal(load.takeSample(), undefined);
    assert.match(metrics.text(), /almondusher_orders_unanswered 1\n/);
});
