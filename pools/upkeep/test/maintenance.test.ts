import assert from "node:assert/strict";
import test from "node:test";
import type { VmId } from "@almondusher/fleet/ids";
import {
    planMaintenance,
    type MaintenanceOrder,
    type MaintenanceTables,
    type Wave,
} from "@almondusher/upkeep/maintenance";
import { fleet, poolName, vmId } from "./fixture.js";

const wave = (vms: readonly string[], change: Partial<Wave> = {}): Wave => ({
    number: 1,
    vms: vms.map(vmId),
    maxConcurrent: 2,
    dueAtMs: 20_000,
    begun: new Set<VmId>(),
    completed: false,
    ...change,
});

const tables = (change: Partial<MaintenanceTables>): MaintenanceTables => ({
    vms: fleet("a p", "b p", "c p", "d p", "e p", "f p", "s spare"),
    listedAtMs: 0,
    spare: new Set([poolName("spare")]),
    waves: [],
    orders: new Map(),
    engaged: new Set(),
    evacuations: new Set(),
    vacated: new Set(),
    losing: new Set(),
    presumedDown: new Set(),
    ...change,
});

const TERMS = { nowMs: 0, maintenanceMs: 2000, fleetShort: false };

const orders = (...rows: readonly (readonly [string, number | undefined])[]): ReadonlyMap<VmId, MaintenanceOrder> =>
    new Map(rows.map(([vm, confirmedAtMs]) => [vmId(vm), { wave: 1, sentAtMs: 0, confirmedAtMs }]));

test("only vacated VMs and those of the spare pool are maintained", () => {
    const plan = planMaintenance(
        tables({ waves: [wave(["a", "b", "s"])], vacated: new Set([vmId("b")]), evacuations: new Set([vmId("b")]) }),
        TERMS,
    );
    assert.deepEqual(
        plan.order.map(({ vm }) => vm as string),
        ["b", "s"],
    );
});

test("orders without an answer count against the cap until the VM is listed up after its maintenance", () => {
    const vacated = new Set(["c", "d"].map(vmId));
    const planWith = (given: ReadonlyMap<VmId, MaintenanceOrder>, listedAtMs: number) =>
        planMaintenance(
            tables({
                waves: [wave(["a", "b", "c", "d"])],
                orders: given,
                engaged: new Set(given.keys()),
                vacated,
                listedAtMs,
            }),
            TERMS,
        );
    assert.equal(planWith(orders(["a", undefined], ["b", 100]), 9000).order.length, 1, "one is back, one unknown");
    assert.equal(planWith(orders(["a", 100], ["b", 100]), 1000).order.length, 0, "the list is too old to tell");
    assert.deepEqual(planWith(orders(["a", 100], ["b", 100]), 9000).release.map(String), ["a", "b"]);
});

test("VMs are vacated ahead of their turn, but no more of a pool than its share while there is time", () => {
    const plan = planMaintenance(tables({ waves: [wave(["a", "b", "c", "d"])] }), TERMS);
    assert.equal(plan.evacuate.length, 2, "a third of six");
    const hurried = planMaintenance(tables({ waves: [wave(["a", "b", "c", "d"], { dueAtMs: 5000 })] }), TERMS);
    assert.equal(hurried.evacuate.length, 4);
});

test("a wave is completed once every VM that is still in the fleet was maintained", () => {
    const begun = new Set(["a", "b"].map(vmId));
    assert.deepEqual(planMaintenance(tables({ waves: [wave(["a", "b", "left"], { begun })] }), TERMS).completed, [1]);
    assert.deepEqual(planMaintenance(tables({ waves: [wave(["a", "b", "c"], { begun })] }), TERMS).completed, []);
});

test("while pools are short of VMs a wave takes no more at once than its time requires", () => {
    const vms = ["a", "b", "c", "d"];
    const vacated = new Set(vms.map(vmId));
    const ordersAt = (dueAtMs: number, fleetShort: boolean): number =>
        planMaintenance(tables({ waves: [wave(vms, { dueAtMs, maxConcurrent: 4 })], vacated }), {
            ...TERMS,
            fleetShort,
        }).order.length;
    assert.equal(ordersAt(30_000, true), 1);
    assert.equal(ordersAt(12_000, true), 3);
    assert.equal(ordersAt(30_000, false), 4);
});

test("a successor counts the VMs that its predecessor took down or may still take down", () => {
    const vacated = new Set(["a", "b", "c"].map(vmId));
    const base = tables({
        vms: fleet("a p", "b p", "c p", "d p returning", "e p", "f p"),
        waves: [wave(["a", "b", "c", "d"])],
        vacated,
    });
    assert.equal(planMaintenance(base, TERMS).order.length, 1, "one of two is under maintenance");
    const plan = planMaintenance({ ...base, presumedDown: new Set([vmId("c")]) }, TERMS);
    assert.deepEqual(
        plan.order.map(({ vm }) => String(vm)),
        ["c"],
        "an order that may come late counts, and is given again",
    );
});

test("a VM that may go down late is not ordered again while the cap is used up by others", () => {
    const base = tables({
        vms: fleet("a p", "b p", "c p returning", "d p returning"),
        waves: [wave(["a", "b", "c", "d"])],
        vacated: new Set(["a", "b"].map(vmId)),
        presumedDown: new Set([vmId("a")]),
    });
    assert.deepEqual(planMaintenance(base, TERMS).order, []);
});

test("VMs whose tasks would lose their work are vacated last for a wave", () => {
    const plan = planMaintenance(
        tables({ waves: [wave(["a", "b", "c"], { maxConcurrent: 1 })], losing: new Set([vmId("a")]) }),
        TERMS,
    );
    assert.deepEqual(plan.evacuate.map(String), ["b", "c"]);
});
