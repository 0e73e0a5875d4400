import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import type { PlanInput } from "../src/plan-input.js";
import {
    confirmAll,
    confirmationOf,
    editPools,
    entryOf,
    inputOf,
    planRepeatedly,
    planOnce,
    vmOf,
} from "./fleet-fixture.js";

const vms = [vmOf("vm-1"), vmOf("vm-2"), vmOf("vm-3")];
const pools = (letters: string[], deeds: string[], minAvailable = 0) => [
    { name: "letters", vms: letters, minAvailable },
    { name: "deeds", vms: deeds, minAvailable: 0 },
];

const assigned = (): PlanInput => planOnce(inputOf(pools(["vm-1", "vm-2"], ["vm-3"]), vms)).input;
const edited = (input: PlanInput, next: readonly object[]): PlanInput => ({
    ...input,
    state: editPools(input.state, next),
});
const rowOf = (input: PlanInput, vm: string) => input.state.assignments.get(toId(vm));
/** vm-2 is draining for its move from letters to deeds. */
const startMove = (): PlanInput => planOnce(edited(assigned(), pools(["vm-1"], ["vm-2", "vm-3"]))).input;

test("a new VM serves in the pool that lists it once the platform lists it", () => {
    const { input, decisions } = planOnce(inputOf(pools(["vm-1", "vm-9"], []), vms));
    assert.deepEqual(rowOf(input, "vm-1")?.phase, { kind: "serving" });
    assert.equal(rowOf(input, "vm-9"), undefined);
    assert.ok(decisions.some(decision => decision.kind === "waiting" && decision.subject === "vm-9"));
});

test("a move completes only after every entry process has confirmed the drain twice", () => {
    const start = startMove();
    assert.equal(rowOf(start, "vm-2")?.phase.kind, "draining");
    const once = planOnce(confirmAll(start)).input;
    assert.equal(rowOf(once, "vm-2")?.phase.kind, "draining");
    const twice = planOnce(confirmAll(once)).input;
    assert.deepEqual(rowOf(twice, "vm-2")?.phase, { kind: "serving" });
    assert.equal(rowOf(twice, "vm-2")?.pool, "deeds");
});

test("an entry process with an old revision or requests in flight blocks a move and is reported", () => {
    const start = startMove();
    const revision = start.state.revision;
    const held = planOnce({
        ...start,
        round: 1,
        confirmations: [
            confirmationOf(entryOf("entry-1"), { revision: revision - 1, round: 1 }),
            confirmationOf(entryOf("entry-2"), { revision, round: 1, inFlightVms: [toId("vm-2")] }),
        ],
    });
    const waiting = held.decisions.filter(decision => decision.kind === "waiting");
    assert.deepEqual(
        waiting.map(decision => [decision.subject, decision.on, decision.names]),
        [
            ["vm-2", "entries", ["entry-1-run-1"]],
            ["vm-2", "requests", ["entry-2-run-1"]],
        ],
    );
});

test("replacing a process between the two confirmations restarts the confirmation", () => {
    const once = planOnce(confirmAll(startMove())).input;
    const replaced = { ...once, registrations: [entryOf("entry-1", 2), entryOf("entry-2")] };
    assert.equal(rowOf(planOnce(confirmAll(replaced)).input, "vm-2")?.phase.kind, "draining");
    assert.equal(rowOf(planRepeatedly(replaced, 2), "vm-2")?.pool, "deeds");
});

test("a registered process on a VM not yet listed must confirm; one on a VM that left the list need not", () => {
    const start = startMove();
    const registrations = [...start.registrations, entryOf("entry-3")];
    const confirmed = confirmAll(start).confirmations;
    const unlisted: PlanInput = { ...start, registrations, confirmations: confirmed };
    const held = planOnce(unlisted);
    assert.ok(held.decisions.some(decision => decision.kind === "waiting" && decision.names.includes("entry-3-run-1")));
    const seen = planOnce({ ...unlisted, vms: [...start.vms, vmOf("entry-3")] }).input;
    const gone = { ...seen, vms: start.vms };
    const first = planOnce({ ...gone, ...confirmationsOf(gone, start) }).input;
    assert.equal(rowOf(planOnce({ ...first, ...confirmationsOf(first, start) }).input, "vm-2")?.pool, "deeds");
});

const confirmationsOf = (input: PlanInput, start: PlanInput) => {
    const confirmed = confirmAll({ ...input, registrations: start.registrations });
    return { round: confirmed.round, confirmations: confirmed.confirmations };
};

test("an unregistered process that an entry process reports must confirm", () => {
    const start = confirmAll(startMove(), { passedTo: [entryOf("entry-9")] });
    const held = planOnce(start);
    assert.ok(held.decisions.some(decision => decision.kind === "waiting" && decision.names.includes("entry-9-run-1")));
});

test("a VM whose move is reverted by the operator returns to service without confirmations", () => {
    const back = planOnce(edited(startMove(), pools(["vm-1", "vm-2"], ["vm-3"]))).input;
    assert.deepEqual(rowOf(back, "vm-2")?.phase, { kind: "serving" });
    assert.equal(rowOf(back, "vm-2")?.pool, "letters");
});

test("a VM removed from the pools table is drained and then removed", () => {
    const start = planOnce(edited(assigned(), pools(["vm-1"], ["vm-3"]))).input;
    assert.equal(rowOf(start, "vm-2")?.phase.kind, "draining");
    assert.equal(rowOf(planRepeatedly(start, 2), "vm-2"), undefined);
});

test("a move waits while it would leave its pool with fewer VMs than minAvailable", () => {
    const input = {
        ...edited(assigned(), pools(["vm-2", "vm-3"], ["vm-1"], 1)),
        unresponsiveVms: [toId<VmId>("vm-2")],
    };
    const { input: next, decisions } = planOnce(input);
    assert.equal(rowOf(next, "vm-1")?.phase.kind, "serving");
    assert.ok(decisions.some(decision => decision.kind === "waiting" && decision.on === "budget"));
    assert.equal(rowOf(planRepeatedly({ ...next, unresponsiveVms: [] }, 4), "vm-1")?.pool, "deeds");
});

test("a drain waits until the platform's VM list was read at least listLagMs after the entry processes registered", () => {
    const withListLag = (input: PlanInput): PlanInput => ({
        ...input,
        settings: { ...input.settings, listLagMs: 30_000 },
    });
    const replaced = (input: PlanInput): PlanInput =>
        withListLag({ ...input, registrations: [entryOf("entry-1", 2), entryOf("entry-2")] });
    const withLaterList = (input: PlanInput): PlanInput => ({ ...input, listReadAtMs: input.nowMs + 30_000 });
    const start = planRepeatedly(replaced(startMove()), 4);
    assert.equal(rowOf(start, "vm-2")?.phase.kind, "draining");
    assert.equal(rowOf(planRepeatedly(withLaterList(start), 1), "vm-2")?.pool, "deeds");
});
