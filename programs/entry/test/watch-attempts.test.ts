import assert from "node:assert/strict";
import { test } from "node:test";
import { closeConnectionPool } from "@almondusher/exchange/connection-pool";
import { adoptState, adoptVmList } from "../src/adopt-state.js";
import { sendAttempt } from "../src/serve-request.js";
import { watchAttempts } from "../src/watch-attempts.js";
import { addActiveRequest, createTestEntry, vm, withPool } from "./entry-fixture.js";

const SERVICE_UNAVAILABLE = 503;

test("a request that waits for a slot or backs off after a failed attempt is rejected at its deadline", async () => {
    const entry = await createTestEntry();
    adoptState(entry, withPool, "platform");
    const statuses: number[] = [];
    const deadlineAtMs = performance.now() - 1;
    addActiveRequest(entry, { phase: "waiting-for-slot", statuses, deadlineAtMs });
    addActiveRequest(entry, { phase: "backing-off", statuses, deadlineAtMs });
    watchAttempts(entry);
    assert.deepEqual(statuses, [SERVICE_UNAVAILABLE, SERVICE_UNAVAILABLE]);
    assert.equal(entry.tables.requests.size, 0);
    await closeConnectionPool(entry.connections);
});

test("a request that waits for a slot is kept until its deadline", async () => {
    const entry = await createTestEntry();
    adoptState(entry, withPool, "platform");
    const statuses: number[] = [];
    addActiveRequest(entry, { phase: "waiting-for-slot", statuses, deadlineAtMs: performance.now() + 60_000 });
    watchAttempts(entry);
    assert.deepEqual(statuses, []);
    await closeConnectionPool(entry.connections);
});

test("a retry after a hedge can be hedged again, so that the request does not hang on an unresponsive VM", async () => {
    const entry = await createTestEntry();
    adoptVmList(entry, { vms: [vm], listedAtMs: 0 });
    adoptState(entry, withPool, "platform");
    const active = addActiveRequest(entry, { phase: "sending", statuses: [] });
    active.hedged = true;
    sendAttempt(entry, active, "retry");
    assert.equal(active.running.length, 1);
    assert.equal(active.hedged, false);
    active.running.forEach(attempt => attempt.exchange?.cancel());
    await closeConnectionPool(entry.connections);
});
