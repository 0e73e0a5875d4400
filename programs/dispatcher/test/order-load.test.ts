import assert from "node:assert/strict";
import { test } from "node:test";
import { createDispatcherMetrics } from "../src/dispatcher-metrics.js";
import { createOrderLoad } from "../src/order-load.js";

test("a sample tells answered, unanswered and outstanding requests apart", async () => {
    let nowMs = 0;
    const metrics = createDispatcherMetrics();
    const load = createOrderLoad({ metrics, monotonicMs: () => nowMs });
    let answer: (result: { readonly kind: string }) => void = () => undefined;
    const outstanding = load.track(() => new Promise<{ readonly kind: string }>(resolve => (answer = resolve)));
    await load.track(() => {
        nowMs += 20;
        return Promise.resolve({ kind: "accepted" });
    });
    await load.track(() => Promise.resolve({ kind: "unknown" }));
    assert.deepEqual(load.takeSample(), {
        sent: 3,
        answered: 1,
        unanswered: 1,
        outstanding: 1,
        responseP50Ms: 20,
        responseP99Ms: 20,
    });
    assert.equal(load.takeSample()?.outstanding, 1);
    answer({ kind: "accepted" });
    await outstanding;
    assert.equal(load.takeSample()?.answered, 1);
    assert.equal(load.takeSample(), undefined);
    assert.match(metrics.text(), /almondusher_orders_unanswered 1\n/);
});
