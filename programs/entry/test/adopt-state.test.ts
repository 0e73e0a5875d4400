import assert from "node:assert/strict";
import { test } from "node:test";
import { closeConnections } from "@almondusher/exchange/connection-pool";
import { fleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, toId } from "@almondusher/fleet/ids";
import { adoptState, adoptVms, confirmVms } from "../src/adopt-state.js";
import type { EntryContext } from "../src/entry-context.js";
import { sendAttempt } from "../src/serve-request.js";
import { addFlow, assignment, createTestEntry, pool, route, vm, withPool } from "./entry-fixture.js";

const withoutPool = fleetState(2, { routes: [], pools: [], assignments: [assignment] });

test("a request that waits while its pool is deleted is rejected, as the VM may serve another pool by then", async () => {
    const entry = await createTestEntry();
    adoptVms(entry, { vms: [vm], listedAtMs: 0 });
    adoptState(entry, withPool, "platform");
    const answered: number[] = [];
    const phases = ["queued", "waiting-for-slot", "backing-off"] as const;
    phases.forEach(phase => addFlow(entry, { phase, answered }));
    const claiming = addFlow(entry, { phase: "claiming", answered });
    adoptState(entry, withoutPool, "platform");
    assert.deepEqual(answered, [404, 404, 404]);
    sendAttempt(entry, claiming, "first");
    assert.equal(answered.length, 4);
    assert.deepEqual(claiming.running, []);
    await closeConnections(entry.connections);
});

test("a state with a lower revision is dropped, so that an entry never goes backward", async () => {
    const entry = await createTestEntry();
    adoptState(entry, withoutPool, "platform");
    adoptState(entry, withPool, "peer");
    assert.equal(entry.tables.view.state.revision, 2);
    await closeConnections(entry.connections);
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

test("a VM that returned from maintenance serves although the list, which is older, still says that it leaves", async () => {
    const entry = await createTestEntry();
    adoptState(entry, underMaintenance, "platform");
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    assert.deepEqual(servingVms(entry), ["vm-1"]);
    await closeConnections(entry.connections);
});

test("a VM that leaves by a list read after its return gets no requests, also if that list is unchanged", async () => {
    const entry = await createTestEntry();
    adoptState(entry, underMaintenance, "platform");
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    confirmVms(entry, performance.now());
    assert.deepEqual(servingVms(entry), []);
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    assert.deepEqual(servingVms(entry), []);
    await closeConnections(entry.connections);
});

test("a VM that leaves by the list of a new entry gets no requests, as nothing tells when it began to serve", async () => {
    const entry = await createTestEntry();
    adoptVms(entry, { vms: [leaving], listedAtMs: performance.now() });
    adoptState(entry, returned, "platform");
    assert.deepEqual(servingVms(entry), []);
    await closeConnections(entry.connections);
});
