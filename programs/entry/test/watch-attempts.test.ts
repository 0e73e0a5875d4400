import assert from "node:assert/strict";
import { test } from "node:test";
import { closeConnections } from "@almondusher/exchange/connection-pool";
import { adoptState, adoptVms } from "../src/adopt-state.js";
import { sendAttempt } from "../src/serve-request.js";
import { watchAttempts } from "../src/watch-attempts.js";
import { addFlow, createTestEntry, vm, withPool } from "./entry-fixture.js";

const SERVICE_UNAVAILABLE = 503;

test("a request that waits for a slot after a failed attempt would be kept without an answer beyond its deadline", async () => {
    const entry = await createTestEntry();
    adoptState(entry, withPool, "platform");
    const answered: number[] = [];
    const deadlineAtMs = performance.now() - 1;
    addFlow(entry, { phase: "waiting-for-slot", answered, deadlineAtMs });
    addFlow(entry, { phase: "backing-off", answered, deadlineAtMs });
    watchAttempts(entry);
    assert.deepEqual(answered, [SERVICE_UNAVAILABLE, SERVICE_UNAVAILABLE]);
    assert.equal(entry.tables.requests.size, 0);
    await closeConnections(entry.connections);
});

test("a request that waits for a slot within its deadline is kept", async () => {
    const entry = await createTestEntry();
    adoptState(entry, withPool, "platform");
    const answered: number[] = [];
    addFlow(entry, { phase: "waiting-for-slot", answered, deadlineAtMs: performance.now() + 60_000 });
    watchAttempts(entry);
    assert.deepEqual(answered, []);
    await closeConnections(entry.connections);
});

test("a retry after a hedged attempt would never be hedged, so that a silent VM kept the request", async () => {
    const entry = await createTestEntry();
    adoptVms(entry, { vms: [vm], listedAtMs: 0 });
    adoptState(entry, withPool, "platform");
    const flow = addFlow(entry, { phase: "sending", answered: [] });
    flow.hedged = true;
    sendAttempt(entry, flow, "retry");
    assert.equal(flow.running.length, 1);
    assert.equal(flow.hedged, false);
    flow.running.forEach(attempt => attempt.exchange?.cancel());
    await closeConnections(entry.connections);
});
