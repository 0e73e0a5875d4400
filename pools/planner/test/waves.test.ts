import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { PlanInput } from "../src/plan-input.js";
import { confirmAll, editPools, inputOf, planRepeatedly, planOnce, type PlanningRun, vmOf } from "./fleet-fixture.js";

const HOUR_MS = 3_600_000;

/** Eight VMs in two data centres, each with two racks of two VMs. */
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

/** Creates a fleet in service, one hour before a wave over all its VMs is requested. */
const fleet = ({ minAvailable, spareVms = 0, maxBorrowed = 0 }: Options): PlanInput => {
    const spares = Array.from({ length: spareVms }, (unused, index) => vmOf(`spare-${index}`, { rack: toId("spare") }));
    const pools = [
        { name: "letters", vms: vms.map(vm => vm.id), minAvailable, maxBorrowed },
        { name: "reserve", vms: spares.map(vm => vm.id), minAvailable: 0, spare: true },
    ];
    return planOnce(inputOf(pools, [...vms, ...spares])).input;
};

const requestWave = (input: PlanInput): PlanInput => ({
    ...input,
    nowMs: input.nowMs + HOUR_MS,
    listReadAtMs: input.nowMs + HOUR_MS,
    settings: { ...input.settings, waveRequestedAtMs: input.nowMs + HOUR_MS },
});

const outOfService = (input: PlanInput): readonly string[] =>
    input.state.assignments.rows.filter(row => row.phase.kind !== "serving").map(row => row.vm);

const withoutListed = (input: PlanInput, lost: readonly string[]): PlanInput => ({
    ...input,
    vms: input.vms.filter(vm => !lost.includes(vm.id)),
});

/** Returns the input with new boot ids for the VMs that the planning run rebooted. */
const withReboots = ({ input, decisions }: PlanningRun): PlanInput => {
    const rebootedVms = decisions.flatMap(decision => (decision.kind === "reboot" ? [decision.vm] : []));
    const withNewBoot = (vm: Vm): Vm => (rebootedVms.includes(vm.id) ? { ...vm, bootId: `${vm.bootId}+` } : vm);
    return { ...input, vms: input.vms.map(withNewBoot) };
};

const advanceTime = (input: PlanInput, ms: number): PlanInput => ({
    ...input,
    nowMs: input.nowMs + ms,
    listReadAtMs: input.nowMs + ms,
});

test("a wave starts in one rack of one data centre and keeps minAvailable VMs", () => {
    assert.deepEqual(outOfService(planOnce(requestWave(fleet({ minAvailable: 4 }))).input), ["vm-0", "vm-1"]);
    assert.deepEqual(outOfService(planOnce(requestWave(fleet({ minAvailable: 7 }))).input), ["vm-0"]);
});

test("a wave keeps the VMs that the load needs, even if minAvailable is lower", () => {
    const input = requestWave(fleet({ minAvailable: 0 }));
    const loads = [{ pool: toId<never>("letters"), demandSlots: 8 * 7 * input.settings.borrowUtilisation }];
    assert.deepEqual(outOfService(planOnce({ ...input, loads }).input), ["vm-0"]);
});

test("VMs that are down count as unavailable for minAvailable", () => {
    const input = requestWave(fleet({ minAvailable: 6 }));
    assert.deepEqual(outOfService(planOnce(withoutListed(input, ["vm-7"])).input), ["vm-0"]);
    assert.deepEqual(
        outOfService(planOnce({ ...input, unresponsiveVms: [toId<VmId>("vm-6"), toId<VmId>("vm-3")] }).input),
        [],
    );
});

/** Returns the input after each planning run; runs are ten seconds apart, and confirmations and reboots take one run. */
const runWave = (start: PlanInput, runs: number): readonly PlanInput[] => {
    const visited = [planOnce(start)];
    for (let count = 0; count < runs; count += 1) {
        visited.push(planOnce(advanceTime(confirmAll(withReboots(visited.at(-1) as PlanningRun)), 10_000)));
    }
    return visited.map(run => run.input);
};

const isMaintained = (input: PlanInput): boolean =>
    outOfService(input).length === 0 &&
    input.state.assignments.rows.every(row => (row.maintainedAtMs ?? 0) >= (input.settings.waveRequestedAtMs ?? 0));

test("a wave maintains every VM once, one rack of one data centre at a time", () => {
    const inputs = runWave(requestWave(fleet({ minAvailable: 5 })), 60);
    const racksOutOfService = inputs.map(input => {
        const unavailable = outOfService(input);
        return new Set(vms.filter(vm => unavailable.includes(vm.id)).map(vm => vm.rack)).size;
    });
    assert.ok(isMaintained(inputs.at(-1) as PlanInput));
    assert.equal(Math.max(...racksOutOfService), 1);
});

test("the loss of a rack stops the wave in the affected pool at once", () => {
    const input = requestWave(fleet({ minAvailable: 0 }));
    const lost = planOnce(withoutListed(input, ["vm-4", "vm-5"]));
    const next = planOnce(lost.input);
    assert.deepEqual(outOfService(lost.input), []);
    assert.ok(next.decisions.some(decision => decision.kind === "waiting" && decision.on === "correlated-loss"));
    assert.deepEqual(outOfService(planOnce(advanceTime(lost.input, 2 * HOUR_MS)).input), ["vm-0", "vm-1"]);
});

test("a drain for maintenance is cancelled when failures leave fewer than minAvailable VMs", () => {
    const draining = planOnce(requestWave(fleet({ minAvailable: 6 }))).input;
    assert.deepEqual(outOfService(draining), ["vm-0", "vm-1"]);
    assert.deepEqual(outOfService(planOnce(withoutListed(draining, ["vm-6"])).input), ["vm-1"]);
});

test("a VM that does not return from its reboot is reported and still counts as unavailable", () => {
    const draining = planOnce(requestWave(fleet({ minAvailable: 6 }))).input;
    const inMaintenance = withoutListed(planRepeatedly(draining, 2), ["vm-0", "vm-1"]);
    const late = planOnce(advanceTime(inMaintenance, inMaintenance.settings.rebootTimeoutMs + 1));
    const named = late.decisions.filter(decision => decision.kind === "waiting" && decision.on === "return");
    assert.equal(named.length, 2);
    assert.deepEqual(outOfService(late.input), ["vm-0", "vm-1"]);
});

test("a reboot carries the boot id and is not repeated before rebootRepeatMs", () => {
    const first = planOnce(planRepeatedly(planOnce(requestWave(fleet({ minAvailable: 7 }))).input, 1));
    const again = planOnce(first.input);
    const repeated = planOnce(advanceTime(first.input, first.input.settings.rebootRepeatMs));
    const reboots = (run: PlanningRun) => run.decisions.filter(decision => decision.kind === "reboot");
    assert.deepEqual(reboots(first), [{ kind: "reboot", vm: "vm-0", bootId: "vm-0-boot-1" }]);
    assert.deepEqual(reboots(again), []);
    assert.equal(reboots(repeated).length, 1);
});

const loanOf = (input: PlanInput) => input.state.assignments.rows.filter(row => row.loanedTo !== undefined);

test("loans replace VMs in maintenance where minAvailable leaves none to spare", () => {
    const inputs = runWave(requestWave(fleet({ minAvailable: 8, spareVms: 2, maxBorrowed: 1 })), 120);
    const serving = inputs.map(
        ({ state }) =>
            state.assignments.rows.filter(row => row.pool === "letters" && row.phase.kind === "serving").length,
    );
    assert.ok(isMaintained(inputs.at(-1) as PlanInput));
    assert.equal(Math.min(...serving), 8);
});

test("a lasting shortage starts a loan, and a lasting surplus ends it", () => {
    const withoutLoad = fleet({ minAvailable: 0, spareVms: 2, maxBorrowed: 1 });
    const loads = [{ pool: toId<never>("letters"), demandSlots: 8 * 8 }];
    const busy = planOnce({ ...withoutLoad, loads }).input;
    assert.deepEqual(loanOf(busy), [], "a short burst does not start a loan");
    const lent = planOnce(advanceTime(busy, busy.settings.moveDurationMs + 1)).input;
    assert.equal(loanOf(lent).length, 1);
    const arrived = planRepeatedly(lent, 2);
    assert.equal(arrived.state.assignments.rows.filter(row => row.pool === "letters").length, 9);
    const afterPeak = planOnce({ ...arrived, loads: [] }).input;
    assert.equal(loanOf(afterPeak).length, 1, "the loan is kept until the surplus has lasted for returnAfterMs");
    const returned = planRepeatedly(advanceTime(afterPeak, afterPeak.settings.returnAfterMs), 3);
    assert.deepEqual(loanOf(returned), []);
    assert.equal(returned.state.assignments.rows.filter(row => row.pool === "reserve").length, 2);
});

test("moving a lent VM to another pool ends the loan", () => {
    const withoutLoad = fleet({ minAvailable: 0, spareVms: 1, maxBorrowed: 1 });
    const loads = [{ pool: toId<never>("letters"), demandSlots: 8 * 8 }];
    const busy = planOnce({ ...withoutLoad, loads }).input;
    const arrived = planRepeatedly(planOnce(advanceTime(busy, busy.settings.moveDurationMs + 1)).input, 2);
    const moved = planRepeatedly({ ...arrived, state: moveSpare(arrived) }, 3);
    assert.deepEqual(loanOf(moved), []);
    assert.equal(moved.state.assignments.get(toId("spare-0"))?.pool, "deeds");
});

const moveSpare = (input: PlanInput) =>
    editPools(input.state, [
        ...input.state.pools.rows.filter(pool => pool.name === "letters"),
        { name: "reserve", vms: [], minAvailable: 0, spare: true },
        { name: "deeds", vms: ["spare-0"], minAvailable: 0 },
    ]);
