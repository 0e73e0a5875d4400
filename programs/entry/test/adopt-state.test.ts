import assert from "node:assert/strict";
import { test } from "node:test";
import { closeConnectionPool } from "@almondusher/exchange/connection-pool";
import { fleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, toId } from "@almondusher/fleet/ids";
import { adoptState, adoptVmList, recordUnchangedVmList } from "../src/adopt-state.js";
import type { EntryContext } from "../src/entry-context.js";
import { sendAttempt } from "../src/serve-request.js";
import { addActiveRequest, assignment, createTestEntry, pool, route, vm, withPool } from "./entry-fixture.js";

const withoutPool = fleetState(2, { routes: [], pools: [], assignments: [assignment] });

test("a waiting request of a deleted pool is rejected, as the VM may already serve another pool", async () => {
    const entry = await createTestEntry();
    adoptVmList(entry, { vms: [vm], listedAtMs: 0 });
    adoptState(entry, withPool, "platform");
    const statuses: number[] = [];
    const phases = ["queued", "waiting-for-slot", "backing-off"] as const;
    phases.forEach(phase => addActiveRequest(entry, { phase, statuses }));
    const claiming = addActiveRequest(entry, { phase: "claiming", statuses });
    adoptState(entry, withoutPool, "platform");
    assert.deepEqual(statuses, [404, 404, 404]);
    sendAttempt(entry, claiming, "first");
    assert.equal(statuses.length, 4);
    assert.deepEqual(claiming.running, []);
    await closeConnectionPool(entry.connections);
});

test("a state with a lower revision is ignored", async () => {
    const entry = await createTestEntry();
    adoptState(entry, withoutPool, "platform");
    adoptState(entry, withPool, "peer");
    assert.equal(entry.tables.view.state.revision, 2);
    await closeConnectionPool(entry.connections);
});

const leaving = { ...vm, state: "leaving" as const };
const underMaintenance = fleetState(2, {
    routes: [route],
    pools: [pool],
    assignments: [{ ...assignment, phase: { kind: "maintenance" as const, bootId: "boot-1" } }],
});
const returned = fleetState(3, { routes: [route], pools: [pool], assignments: [assignment] });
const servingVms = (entry: EntryContext): readonly string[] =>
    entry.tables.view.pools.get(toId<PoolName>("letters"))?.vms.map(({ id }) => id) ?? [];

test("a VM back from maintenance gets requests although an older VM list still shows it as leaving", async () => {
    const entry = await createTestEntry();
    adoptState(entry, underMaintenance, "platform");
    adoptVmList(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    assert.deepEqual(servingVms(entry), ["vm-1"]);
    await closeConnectionPool(entry.connections);
});

test("a VM gets no requests if a list that was read or confirmed after its return still shows it as leaving", async () => {
    const entry = await createTestEntry();
    adoptState(entry, underMaintenance, "platform");
    adoptVmList(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    recordUnchangedVmList(entry, performance.now());
    assert.deepEqual(servingVms(entry), []);
    adoptVmList(entry, { vms: [leaving], listedAtMs: performance.now() });
    assert.deepEqual(servingVms(entry), []);
    await closeConnectionPool(entry.connections);
});

test("a VM shown as leaving gets no requests from a new entry, which did not observe when it returned", async () => {
    const entry = await createTestEntry();
    adoptVmList(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    assert.deepEqual(servingVms(entry), []);
    await closeConnectionPool(entry.connections);
});
