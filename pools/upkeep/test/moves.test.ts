import assert from "node:assert/strict";
import test from "node:test";
import { planMoves, type MoveTables, type PoolNeed } from "@almondusher/upkeep/moves";
import { fleet, poolName, vmId } from "./fixture.js";

const need = (pool: string, neededVms: number, wantedVms: number, removable: readonly string[] = []): PoolNeed => ({
    pool: poolName(pool),
    neededVms,
    wantedVms,
    floorVms: 0,
    removable: removable.map(vmId),
    losing: [],
});

const tables = (change: Partial<MoveTables>): MoveTables => ({
    vms: fleet("a p", "b p", "c q", "d q", "e q", "s spare"),
    spare: poolName("spare"),
    needs: [],
    unavailableForMove: new Set(),
    evacuatingForMaintenance: new Set(),
    leaving: new Set(),
    vacated: new Set(),
    moving: [],
    awaitingMaintenance: new Set(),
    ...change,
});

const ids = (vms: readonly unknown[]): readonly string[] => vms.map(String);

test("a pool that is short gets spare VMs first, then VMs of a pool that does not need them now", () => {
    const plan = planMoves(tables({ needs: [need("p", 4, 4), need("q", 1, 3, ["e", "d"])] }));
    assert.deepEqual(
        plan.moves.map(({ vm, to }) => `${vm}>${to}`),
        ["s>p"],
    );
    assert.deepEqual(ids(plan.evacuate), ["e"]);
});

test("an evacuated VM moves directly to a pool that is short", () => {
    const leaving = new Set([vmId("e")]);
    const plan = planMoves(
        tables({
            vms: fleet("a p", "e q", "f q"),
            needs: [need("p", 2, 2), need("q", 1, 1)],
            leaving,
            vacated: leaving,
        }),
    );
    assert.deepEqual(
        plan.moves.map(({ vm, to }) => `${vm}>${to}`),
        ["e>p"],
    );
});

test("without a shortage a pool keeps the VMs that it wants, and the others go to the spare pool", () => {
    const plan = planMoves(tables({ needs: [need("p", 1, 2), need("q", 1, 2, ["d"])] }));
    assert.deepEqual(ids(plan.evacuate), ["d"]);
    const vacated = new Set([vmId("d")]);
    const next = planMoves(tables({ needs: [need("p", 1, 2), need("q", 1, 2)], leaving: vacated, vacated }));
    assert.deepEqual(
        next.moves.map(({ vm, to }) => `${vm}>${to}`),
        ["d>spare"],
    );
});

test("a VM that is being evacuated is kept if its pool needs it again", () => {
    const plan = planMoves(tables({ needs: [need("q", 3, 3)], leaving: new Set([vmId("d")]) }));
    assert.deepEqual(ids(plan.keep), ["d"]);
    assert.equal(plan.moves.length, 0);
});

test("VMs being moved to a pool and VMs under maintenance count towards its size", () => {
    const plan = planMoves(
        tables({
            vms: fleet("a p", "b p returning", "s spare", "t spare"),
            needs: [need("p", 3, 3)],
            moving: [{ vm: vmId("t"), to: poolName("p") }],
            unavailableForMove: new Set([vmId("t"), vmId("b")]),
        }),
    );
    assert.deepEqual(plan.moves, []);
});

test("spare VMs with outstanding maintenance are moved last", () => {
    const plan = planMoves(
        tables({
            vms: fleet("s spare", "t spare", "a p"),
            needs: [need("p", 2, 2)],
            awaitingMaintenance: new Set([vmId("s")]),
        }),
    );
    assert.deepEqual(ids(plan.moves.map(({ vm }) => vm)), ["t"]);
});

test("a pool keeps its floor unless another pool is short, and does not take VMs back to reach it", () => {
    const kept = { ...need("q", 1, 1, ["c", "d", "e"]), floorVms: 3 };
    assert.deepEqual(planMoves(tables({ needs: [need("p", 2, 2), kept] })).evacuate, []);
    const released = planMoves(tables({ needs: [need("p", 5, 5), kept] }));
    assert.deepEqual(ids(released.evacuate), ["c", "d"]);
    const leaving = new Set(["c", "d"].map(vmId));
    assert.deepEqual(planMoves(tables({ needs: [need("p", 5, 5), kept], leaving })).keep, [], "no oscillation");
    assert.deepEqual(planMoves(tables({ needs: [need("p", 2, 2), kept], leaving })).keep, []);
});

test("a VM whose tasks would lose work is evacuated only for a pool that is short, not for the spare pool", () => {
    const surplus = { ...need("q", 1, 1, ["d", "e"]), losing: [vmId("d"), vmId("e")] };
    assert.deepEqual(ids(planMoves(tables({ needs: [need("p", 2, 2), surplus] })).evacuate), []);
    assert.deepEqual(ids(planMoves(tables({ needs: [need("p", 4, 4), surplus] })).evacuate), ["d"]);
});

// Its tasks had no room while the other VMs of the pool were empty or became empty.
test("the last usable VM of a pool is not given away while its other VMs are evacuated for maintenance", () => {
    const evacuating = new Set([vmId("a"), vmId("b")]);
    const change = {
        vms: fleet("a p", "b p", "c p", "s spare"),
        unavailableForMove: evacuating,
        evacuatingForMaintenance: evacuating,
    };
    assert.deepEqual(planMoves(tables({ ...change, needs: [need("p", 1, 2, ["c"])] })).evacuate, []);
    const plan = planMoves(tables({ ...change, needs: [need("p", 2, 2, ["c"])] }));
    assert.deepEqual(
        plan.moves.map(({ vm, to }) => `${vm}>${to}`),
        ["s>p"],
        "tasks that leave a VM before its maintenance need room elsewhere",
    );
});
