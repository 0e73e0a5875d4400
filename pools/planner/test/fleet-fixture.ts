import { applyEdit, type Edit } from "@almondusher/fleet/edit";
import { emptyFleetState, type FleetState } from "@almondusher/fleet/fleet-state";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { diffTables, parseTableFile } from "@almondusher/fleet/table-file";
import type { Vm } from "@almondusher/fleet/vm";
import type { Decision } from "../src/decision.js";
import type { Confirmation, EntryProcess, PlanInput } from "../src/plan-input.js";
import { defaultPlannerSettings } from "../src/planner-settings.js";
import { initialPlannerState } from "../src/planner-state.js";
import { planFleet } from "../src/plan-fleet.js";

/** Creates a VM of the platform's list. */
export const vmOf = (id: string, parts: Partial<Vm> = {}): Vm => ({
    id: toId<VmId>(id),
    role: id.startsWith("entry") ? "entry" : "endpoint",
    state: "live",
    bootId: `${id}-boot-1`,
    address: "10.0.0.1:8080",
    rack: toId("rack-1"),
    dataCentre: toId("north"),
    ...parts,
});

/** Creates an entry process on a VM. */
export const entryOf = (vm: string, run = 1): EntryProcess => ({ processId: toId(`${vm}-run-${run}`), vm: toId(vm) });

/** Creates a status response of an entry process. */
export const confirmationOf = (entry: EntryProcess, parts: Partial<Confirmation> = {}): Confirmation => ({
    ...entry,
    revision: 0,
    round: 0,
    inFlightVms: [],
    passedTo: [],
    goneEntryVms: [],
    ...parts,
});

/** Returns the state after an operator writes the given pools. */
export const editPools = (state: FleetState, pools: readonly object[]): FleetState =>
    applyEdit(state, {
        editId: toId(`operator-${state.revision}`),
        author: { kind: "operator", name: "anna" },
        at: "2026-12-04T09:00:00Z",
        reason: "test",
        changes: [...diffTables(state, parseTableFile("tables.json", JSON.stringify({ routes: [], pools })))],
    });

/** Creates an input with two entry processes and the given pools and VMs. */
export const inputOf = (pools: readonly object[], vms: readonly Vm[]): PlanInput => ({
    state: editPools(emptyFleetState, pools),
    vms: [vmOf("entry-1"), vmOf("entry-2"), ...vms],
    registrations: [entryOf("entry-1"), entryOf("entry-2")],
    confirmations: [],
    loads: [],
    unresponsiveVms: [],
    plannerState: initialPlannerState,
    round: 0,
    nowMs: Date.UTC(2026, 11, 4),
    listReadAtMs: Date.UTC(2026, 11, 4),
    settings: { ...defaultPlannerSettings, listLagMs: 0 },
});

export interface PlanningRun {
    readonly input: PlanInput;
    readonly decisions: readonly Decision[];
}

/** Plans once and applies the edit; the returned input has the new state and the unchanged confirmations. */
export const planOnce = (input: PlanInput): PlanningRun => {
    const { decisions, plannerState } = planFleet(input);
    const state = decisions.reduce((next, decision) => applyDecision(next, decision), input.state);
    return { input: { ...input, state, plannerState }, decisions };
};

const applyDecision = (state: FleetState, decision: Decision): FleetState => {
    if (decision.kind !== "edit") {
        return state;
    }
    const edit: Edit = {
        editId: toId(`manager-${state.revision}`),
        author: { kind: "manager", name: "test" },
        at: "2026-12-04T09:00:00Z",
        reason: decision.reason,
        changes: [...decision.changes],
    };
    return applyEdit(state, edit);
};

/** Returns the input after all registered processes have responded to another status poll at the current revision. */
export const confirmAll = (input: PlanInput, parts: Partial<Confirmation> = {}): PlanInput => ({
    ...input,
    round: input.round + 1,
    confirmations: input.registrations.map(entry =>
        confirmationOf(entry, { revision: input.state.revision, round: input.round + 1, ...parts }),
    ),
});

/** Plans the given number of times plus one, with all entry processes confirming before each. */
export const planRepeatedly = (input: PlanInput, runs = 20): PlanInput => {
    const next = planOnce(confirmAll(input)).input;
    return runs === 0 ? next : planRepeatedly(next, runs - 1);
};
