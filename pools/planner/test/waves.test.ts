import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { PlanInput } from "../src/plan-input.js";
import { answerAll, editPools, inputOf, settle, takeTurn, type Turn, vmOf } from "./fleet-fixture.js";

const HOUR_MS = 3_600_000;

/** Eight VMs: two racks of two VMs in each of two data centres. */
const vms = ["north", "south"].flatMap((dataCentre, centre) =>
    [0, 1, 2, 3].map(index =>
        vmOf(`vm-${centre * 4 + index}`, {
            dataCentre: toId(dataCentre),
            rack: toId(`${dataCentre}-${Math.floor(index / 2)}`),
        }),
    ),
);

interface Options {
    readonly minAvailable: number;
    readonly spareVms?: number;
    readonly maxBorrowed?: number;
}

/** The fleet in service an hour before a wave over all its VMs is requested. */
const fleet = ({ minAvailable, spareVms = 0, maxBorrowed = 0 }: Options): PlanInput => {
    const spares = Array.from({ length: spareVms }, (unused, index) => vmOf(`spare-${index}`, { rack: toId("spare") }));
    const pools = [
        { name: "letters", vms: vms.map(vm => vm.id), minAvailable, maxBorrowed },
        { name: "reserve", vms: spares.map(vm => vm.id), minAvailable: 0, spare: true },
    ];
    return takeTurn(inputOf(pools, [...vms, ...spares])).input;
};

const requestWave = (input: PlanInput): PlanInput => ({
    ...input,
    nowMs: input.nowMs + HOUR_MS,
    listReadAtMs: input.nowMs + HOUR_MS,
    settings: { ...input.settings, waveRequestedAtMs: input.nowMs + HOUR_MS },
});

const away = (input: PlanInput): readonly string[] =>
    input.state.assignments.rows.filter(row => row.phase.kind !== "serving").map(row => row.vm);

const without = (input: PlanInput, lost: readonly string[]): PlanInput => ({
    ...input,
    vms: input.vms.filter(vm => !lost.includes(vm.id)),
});

/** The list after the reboots of a turn. */
const rebooted = ({ input, decisions }: Turn): PlanInput => {
    const boots = decisions.flatMap(decision => (decision.kind === "reboot" ? [decision.vm] : []));
    const bootOf = (vm: Vm): Vm => (boots.includes(vm.id) ? { ...vm, bootId: `${vm.bootId}+` } : vm);
    return { ...input, vms: input.vms.map(bootOf) };
};

const later = (input: PlanInput, ms: number): PlanInput => ({
    ...input,
    nowMs: input.nowMs + ms,
    listReadAtMs: input.nowMs + ms,
});

test("a wave starts with one rack of one data centre, within the budget", () => {
    assert.deepEqual(away(takeTurn(requestWave(fleet({ minAvailable: 4 }))).input), ["vm-0", "vm-1"]);
    assert.deepEqual(away(takeTurn(requestWave(fleet({ minAvailable: 7 }))).input), ["vm-0"]);
});

test("a wave keeps the VMs that the load needs, although the budget permits fewer", () => {
    const input = requestWave(fleet({ minAvailable: 0 }));
    const loads = [{ pool: toId<never>("letters"), demandSlots: 8 * 7 * input.settings.borrowUtilisation }];
    assert.deepEqual(away(takeTurn({ ...input, loads }).input), ["vm-0"]);
});

test("VMs that are down count against the budget", () => {
    const input = requestWave(fleet({ minAvailable: 6 }));
    assert.deepEqual(away(takeTurn(without(input, ["vm-7"])).input), ["vm-0"]);
    assert.deepEqual(away(takeTurn({ ...input, unresponsiveVms: [toId<VmId>("vm-6"), toId<VmId>("vm-3")] }).input), []);
});

/** The inputs after each of many turns of ten seconds in which entries and reboots are prompt. */
const runWave = (start: PlanInput, turns: number): readonly PlanInput[] => {
    const visited = [takeTurn(start)];
    for (let count = 0; count < turns; count += 1) {
        visited.push(takeTurn(later(answerAll(rebooted(visited.at(-1) as Turn)), 10_000)));
    }
    return visited.map(turn => turn.input);
};

const isMaintained = (input: PlanInput): boolean =>
    away(input).length === 0 &&
    input.state.assignments.rows.every(row => (row.maintainedAtMs ?? 0) >= (input.settings.waveRequestedAtMs ?? 0));

test("a wave maintains every VM once, never two data centres or two racks at a time", () => {
    const inputs = runWave(requestWave(fleet({ minAvailable: 5 })), 60);
    const racksAway = inputs.map(input => {
        const gone = away(input);
        return new Set(vms.filter(vm => gone.includes(vm.id)).map(vm => vm.rack)).size;
    });
    assert.ok(isMaintained(inputs.at(-1) as PlanInput));
    assert.equal(Math.max(...racksAway), 1);
});

test("the loss of a rack stops the wave in its pool at once", () => {
    const input = requestWave(fleet({ minAvailable: 0 }));
    const lost = takeTurn(without(input, ["vm-4", "vm-5"]));
    const next = takeTurn(lost.input);
    assert.deepEqual(away(lost.input), []);
    assert.ok(next.decisions.some(decision => decision.kind === "waiting" && decision.on === "correlated-loss"));
    assert.deepEqual(away(takeTurn(later(lost.input, 2 * HOUR_MS)).input), ["vm-0", "vm-1"]);
});

test("a drain for maintenance is cancelled when failures break the budget", () => {
    const draining = takeTurn(requestWave(fleet({ minAvailable: 6 }))).input;
    assert.deepEqual(away(draining), ["vm-0", "vm-1"]);
    assert.deepEqual(away(takeTurn(without(draining, ["vm-6"])).input), ["vm-1"]);
});

test("a VM that does not come back is named and counts as down", () => {
    const draining = takeTurn(requestWave(fleet({ minAvailable: 6 }))).input;
    const inMaintenance = without(settle(draining, 2), ["vm-0", "vm-1"]);
    const late = takeTurn(later(inMaintenance, inMaintenance.settings.rebootTimeoutMs + 1));
    const named = late.decisions.filter(decision => decision.kind === "waiting" && decision.on === "return");
    assert.equal(named.length, 2);
    assert.deepEqual(away(late.input), ["vm-0", "vm-1"]);
});

test("a reboot is not repeated until the repeat time, and names the boot", () => {
    const first = takeTurn(settle(takeTurn(requestWave(fleet({ minAvailable: 7 }))).input, 1));
    const again = takeTurn(first.input);
    const repeated = takeTurn(later(first.input, first.input.settings.rebootRepeatMs));
    const reboots = (turn: Turn) => turn.decisions.filter(decision => decision.kind === "reboot");
    assert.deepEqual(reboots(first), [{ kind: "reboot", vm: "vm-0", bootId: "vm-0-boot-1" }]);
    assert.deepEqual(reboots(again), []);
    assert.equal(reboots(repeated).length, 1);
});

const loanOf = (input: PlanInput) => input.state.assignments.rows.filter(row => row.loanedTo !== undefined);

test("loans stand in where the budget leaves no VM for maintenance", () => {
    const inputs = runWave(requestWave(fleet({ minAvailable: 8, spareVms: 2, maxBorrowed: 1 })), 120);
    const serving = inputs.map(
        ({ state }) =>
            state.assignments.rows.filter(row => row.pool === "letters" && row.phase.kind === "serving").length,
    );
    assert.ok(isMaintained(inputs.at(-1) as PlanInput));
    assert.equal(Math.min(...serving), 8);
});

test("a loan answers a shortage that lasts, and returns after the pool could do without it for a while", () => {
    const calm = fleet({ minAvailable: 0, spareVms: 2, maxBorrowed: 1 });
    const loads = [{ pool: toId<never>("letters"), demandSlots: 8 * 8 }];
    const busy = takeTurn({ ...calm, loads }).input;
    assert.deepEqual(loanOf(busy), [], "a short burst is not answered with a move");
    const lent = takeTurn(later(busy, busy.settings.moveDurationMs + 1)).input;
    assert.equal(loanOf(lent).length, 1);
    const arrived = settle(lent, 2);
    assert.equal(arrived.state.assignments.rows.filter(row => row.pool === "letters").length, 9);
    const eased = takeTurn({ ...arrived, loads: [] }).input;
    assert.equal(loanOf(eased).length, 1, "the loan stays while the surplus is new");
    const returned = settle(later(eased, eased.settings.returnAfterMs), 3);
    assert.deepEqual(loanOf(returned), []);
    assert.equal(returned.state.assignments.rows.filter(row => row.pool === "reserve").length, 2);
});

test("an operator who moves a lent VM ends the loan", () => {
    const calm = fleet({ minAvailable: 0, spareVms: 1, maxBorrowed: 1 });
    const loads = [{ pool: toId<never>("letters"), demandSlots: 8 * 8 }];
    const busy = takeTurn({ ...calm, loads }).input;
    const arrived = settle(takeTurn(later(busy, busy.settings.moveDurationMs + 1)).input, 2);
    const moved = settle({ ...arrived, state: moveSpare(arrived) }, 3);
    assert.deepEqual(loanOf(moved), []);
    assert.equal(moved.state.assignments.get(toId("spare-0"))?.pool, "deeds");
});

const moveSpare = (input: PlanInput) =>
    editPools(input.state, [
        ...input.state.pools.rows.filter(pool => pool.name === "letters"),
        { name: "reserve", vms: [], minAvailable: 0, spare: true },
        { name: "deeds", vms: ["spare-0"], minAvailable: 0 },
    ]);
