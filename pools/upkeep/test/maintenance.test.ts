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
    requestedAtMs: 0,
    confirmed: new Set<VmId>(),
    completed: false,
    ...change,
});

const tables = (change: Partial<MaintenanceTables>): MaintenanceTables => ({
    vms: fleet("a p", "b p", "c p", "d p", "e p", "f p", "s spare"),
    listedAtMs: 0,
    recentlyListed: new Set(["a", "b", "c", "d", "e", "f", "s"].map(vmId)),
    listsSinceMs: 0,
    spare: new Set([poolName("spare")]),
    waves: [],
    orders: new Map(),
    withPendingRequest: new Set(),
    evacuations: new Set(),
    vacated: new Set(),
    losing: new Set(),
    possiblyDown: new Set(),
    ...change,
});

const OPTIONS = { nowMs: 0, maintenanceMs: 2000, fleetShort: false };

const orders = (...rows: readonly (readonly [string, number | undefined])[]): ReadonlyMap<VmId, MaintenanceOrder> =>
    new Map(rows.map(([vm, confirmedAtMs]) => [vmId(vm), { wave: 1, sentAtMs: 0, confirmedAtMs }]));

test("only evacuated VMs and those of the spare pool are maintained", () => {
    const plan = planMaintenance(
        tables({ waves: [wave(["a", "b", "s"])], vacated: new Set([vmId("b")]), evacuations: new Set([vmId("b")]) }),
        OPTIONS,
    );
    assert.deepEqual(
        plan.order.map(({ vm }) => vm as string),
        ["b", "s"],
    );
});

test("a request counts against the limit until it is confirmed and a later list shows the VM as up", () => {
    const vacated = new Set(["c", "d"].map(vmId));
    const planWith = (given: ReadonlyMap<VmId, MaintenanceOrder>, listedAtMs: number) =>
        planMaintenance(
            tables({
                waves: [wave(["a", "b", "c", "d"])],
                orders: given,
                withPendingRequest: new Set(given.keys()),
                vacated,
                listedAtMs,
            }),
            OPTIONS,
        );
    assert.equal(
        planWith(orders(["a", undefined], ["b", 100]), 9000).order.length,
        1,
        "one VM is back, the other request has no response",
    );
    assert.equal(
        planWith(orders(["a", 100], ["b", 100]), 1000).order.length,
        0,
        "the list is older than the maintenance",
    );
    assert.deepEqual(planWith(orders(["a", 100], ["b", 100]), 9000).release.map(String), ["a", "b"]);
});

test("VMs are evacuated ahead of their turn, within the pool's share unless the wave is running out of time", () => {
    const plan = planMaintenance(tables({ waves: [wave(["a", "b", "c", "d"])] }), OPTIONS);
    assert.equal(plan.evacuate.length, 2, "a third of six");
    const urgent = planMaintenance(tables({ waves: [wave(["a", "b", "c", "d"], { dueAtMs: 5000 })] }), OPTIONS);
    assert.equal(urgent.evacuate.length, 4);
});

test("a wave that is running out of time leaves each pool a VM for its tasks", () => {
    const urgent = { maxConcurrent: 4, dueAtMs: 1000 };
    const two = tables({ vms: fleet("a p", "b p"), waves: [wave(["a", "b"], urgent)] });
    assert.equal(planMaintenance(two, OPTIONS).evacuate.length, 1);
    const one = tables({ vms: fleet("a p"), waves: [wave(["a"], urgent)] });
    assert.equal(planMaintenance(one, OPTIONS).evacuate.length, 1, "the only VM, which another one replaces");
});

test("a wave is completed once every VM that is still in the fleet was maintained", () => {
    const maintained = new Set(["a", "b"].map(vmId));
    assert.deepEqual(
        planMaintenance(tables({ waves: [wave(["a", "b", "left"], { confirmed: maintained })] }), OPTIONS).completed,
        [1],
    );
    assert.deepEqual(
        planMaintenance(tables({ waves: [wave(["a", "b", "c"], { confirmed: maintained })] }), OPTIONS).completed,
        [],
    );
});

test("while pools are short of VMs, a wave takes down no more at once than its deadline requires", () => {
    const vms = ["a", "b", "c", "d"];
    const vacated = new Set(vms.map(vmId));
    const ordersAt = (dueAtMs: number, fleetShort: boolean): number =>
        planMaintenance(tables({ waves: [wave(vms, { dueAtMs, maxConcurrent: 4 })], vacated }), {
            ...OPTIONS,
            fleetShort,
        }).order.length;
    assert.equal(ordersAt(30_000, true), 1);
    assert.equal(ordersAt(12_000, true), 3);
    assert.equal(ordersAt(30_000, false), 4);
});

test("VMs that the previous lease holder took down or may still take down count against the limit", () => {
    const vacated = new Set(["a", "b", "c"].map(vmId));
    const base = tables({
        vms: fleet("a p", "b p", "c p", "d p returning", "e p", "f p"),
        waves: [wave(["a", "b", "c", "d"])],
        vacated,
    });
    assert.equal(planMaintenance(base, OPTIONS).order.length, 1, "one of two is under maintenance");
    const plan = planMaintenance({ ...base, possiblyDown: new Set([vmId("c")]) }, OPTIONS);
    assert.deepEqual(
        plan.order.map(({ vm }) => String(vm)),
        ["c"],
        "a request that may arrive late counts, and is sent again",
    );
});

test("a VM that may still go down is not requested again while other VMs use up the limit", () => {
    const base = tables({
        vms: fleet("a p", "b p", "c p returning", "d p returning"),
        waves: [wave(["a", "b", "c", "d"])],
        vacated: new Set(["a", "b"].map(vmId)),
        possiblyDown: new Set([vmId("a")]),
    });
    assert.deepEqual(planMaintenance(base, OPTIONS).order, []);
});

test("VMs whose tasks would lose work are evacuated last for a wave", () => {
    const plan = planMaintenance(
        tables({ waves: [wave(["a", "b", "c"], { maxConcurrent: 1 })], losing: new Set([vmId("a")]) }),
        OPTIONS,
    );
    assert.deepEqual(plan.evacuate.map(String), ["b", "c"]);
});

test("a wave is not completed while a VM of it is missing only in the last list", () => {
    const planWith = (change: Partial<MaintenanceTables>) =>
        planMaintenance(
            tables({ waves: [wave(["a", "x"], { confirmed: new Set([vmId("a")]), requestedAtMs: 500 })], ...change }),
            OPTIONS,
        ).completed;
    assert.deepEqual(planWith({ recentlyListed: new Set([vmId("a")]), listsSinceMs: 600 }), [1], "x has left");
    assert.deepEqual(planWith({ recentlyListed: new Set(["a", "x"].map(vmId)), listsSinceMs: 600 }), []);
});

test("a wave is not completed by lists that were requested before it, since VMs may have joined since", () => {
    const plan = planMaintenance(
        tables({
            waves: [wave(["a", "x"], { confirmed: new Set([vmId("a")]), requestedAtMs: 500 })],
            recentlyListed: new Set([vmId("a")]),
            listsSinceMs: 499,
        }),
        OPTIONS,
    );
    assert.deepEqual(plan.completed, []);
});
