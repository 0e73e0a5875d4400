import type { Assignment } from "@almondusher/fleet/assignment";
import { type FleetState, fleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import { poolSchema } from "@almondusher/fleet/pool";
import type { Vm } from "@almondusher/fleet/vm";
import { type FleetPlan, planFleet } from "@almondusher/planner/plan-fleet";
import type { PlanInput } from "@almondusher/planner/plan-input";
import { defaultPlannerSettings } from "@almondusher/planner/planner-settings";
import { initialPlannerState, type PlannerState } from "@almondusher/planner/planner-state";
import type { Protocol } from "./protocol.js";

/** Rules whose removal must break an invariant. */
export const maintenanceGuards = [
    "reboot-names-boot",
    "epoch",
    "back-with-another-boot",
    "row-kept-in-maintenance",
    "list-covers-maintenance",
] as const;
export type MaintenanceGuard = (typeof maintenanceGuards)[number];

/** An edit that a manager has decided on and whose write may arrive at any time. */
interface Decided {
    readonly base: number;
    readonly epoch: number;
    readonly after?: Assignment;
}

interface Manager {
    /** Epoch of the lease that it took last; 0 before. */
    readonly epoch: number;
    /** Boot of the VM on the list as it last read it. */
    readonly listedBoot: number;
    /** What the planner keeps: the maintenance that it knows of, and since when. */
    readonly maintenanceSince: PlannerState["maintenanceSince"];
    readonly decided?: Decided;
}

export interface MaintenanceState {
    readonly revision: number;
    /** The pools table names the VM. */
    readonly isWanted: boolean;
    readonly row?: Assignment;
    readonly boot: number;
    readonly epoch: number;
    readonly managers: readonly Manager[];
    /** Boots named by reboots that are still on their way. */
    readonly reboots: readonly number[];
    readonly edits: number;
    readonly faults: number;
    readonly broken: readonly string[];
}

export type MaintenanceStep =
    | { readonly type: "start-maintenance" | "remove" | "add" | "restart" }
    | { readonly type: "plan" | "commit" | "read-list" | "take-over"; readonly manager: number }
    | { readonly type: "reboot"; readonly index: number };

export interface MaintenanceOptions {
    readonly without?: MaintenanceGuard;
    readonly maxFaults: number;
    /** Maintenances and edits of the operator. */
    readonly maxEdits: number;
}

const VM = toId<VmId>("vm-1");
const POOL = toId<PoolName>("letters");
const MAX_REBOOTS_UNDER_WAY = 2;
const entry = { processId: toId<ProcessId>("entry-1/1"), vm: toId<VmId>("entry-1") };
const faultTypes: readonly MaintenanceStep["type"][] = ["restart", "take-over"];

const vmOf = (id: VmId, role: Vm["role"], boot: number): Vm => ({
    id,
    role,
    state: "live",
    bootId: String(boot),
    address: "10.0.0.1:1",
    rack: toId("rack"),
    dataCentre: toId("north"),
});

const fleetOf = (state: MaintenanceState): FleetState =>
    fleetState(state.revision, {
        routes: [],
        pools: [poolSchema.parse({ name: POOL, vms: state.isWanted ? [VM] : [], minAvailable: 0 })],
        assignments: state.row === undefined ? [] : [state.row],
    });

/** Input of a manager whose entries have confirmed everything twice. The number of boots serves as the clock. */
const inputOf = (state: MaintenanceState, manager: Manager, without: MaintenanceGuard | undefined): PlanInput => ({
    state: fleetOf(state),
    vms: [vmOf(VM, "endpoint", manager.listedBoot), vmOf(entry.vm, "entry", 0)],
    listReadAtMs: without === "list-covers-maintenance" ? state.boot : manager.listedBoot,
    registrations: [entry],
    confirmations: [{ ...entry, revision: state.revision, round: 2, inFlightVms: [], passedTo: [], goneEntryVms: [] }],
    loads: [],
    unresponsiveVms: [],
    plannerState: {
        ...initialPlannerState,
        maintenanceSince: manager.maintenanceSince,
        confirmedDrains:
            state.row?.phase.kind === "draining"
                ? [{ vm: VM, sinceRevision: state.row.phase.sinceRevision, processes: [entry.processId], round: 1 }]
                : [],
    },
    round: 2,
    nowMs: state.boot,
    settings: { ...defaultPlannerSettings, listLagMs: 0 },
});

const planned = new Map<string, FleetPlan>();

const decide = (state: MaintenanceState, manager: Manager, without: MaintenanceGuard | undefined): FleetPlan => {
    const { listedBoot, maintenanceSince } = manager;
    const known = [state.revision, state.isWanted, state.row, state.boot, listedBoot, maintenanceSince, without];
    const key = JSON.stringify(known);
    const fleetPlan = planned.get(key) ?? planFleet(inputOf(state, manager, without));
    planned.set(key, fleetPlan);
    return fleetPlan;
};

/** The row that the planner wants, or a wrong one without the guard. */
const decidedRow = (state: MaintenanceState, manager: Manager, without: MaintenanceGuard | undefined) => {
    const row = state.row;
    if (row?.phase.kind === "maintenance" && without === "back-with-another-boot") {
        return { changed: true, after: { ...row, phase: { kind: "serving" as const } } };
    }
    if (row?.phase.kind === "maintenance" && without === "row-kept-in-maintenance" && !state.isWanted) {
        return { changed: true, after: undefined };
    }
    const changes = decide(state, manager, without).decisions.flatMap(decision =>
        decision.kind === "edit" ? decision.changes : [],
    );
    const change = changes.find(other => other.table === "assignments");
    return { changed: change !== undefined, after: change?.table === "assignments" ? change.after : undefined };
};

const plan = (state: MaintenanceState, index: number, without: MaintenanceGuard | undefined): MaintenanceState => {
    const manager = state.managers[index] as Manager;
    const { changed, after } = decidedRow(state, manager, without);
    const { decisions, plannerState } = decide(state, manager, without);
    const boots = decisions.flatMap(decision => (decision.kind === "reboot" ? [Number(decision.bootId)] : []));
    const base = { base: state.revision, epoch: manager.epoch };
    const decided = after === undefined ? base : { ...base, after };
    const next = changeManager(state, index, ({ epoch, listedBoot }) => {
        const observed = { epoch, listedBoot, maintenanceSince: plannerState.maintenanceSince };
        return changed ? { ...observed, decided } : observed;
    });
    return { ...next, reboots: [...state.reboots, ...boots].slice(0, MAX_REBOOTS_UNDER_WAY) };
};

const changeManager = (
    state: MaintenanceState,
    index: number,
    change: (manager: Manager) => Manager,
): MaintenanceState => ({
    ...state,
    managers: state.managers.map((manager, other) => (other === index ? change(manager) : manager)),
});

const withRow = (state: MaintenanceState, row: Assignment | undefined): MaintenanceState => {
    const next = { ...state, revision: state.revision + 1 };
    if (row === undefined) {
        delete next.row;
        return next;
    }
    return { ...next, row };
};

const commit = (state: MaintenanceState, index: number, without: MaintenanceGuard | undefined): MaintenanceState => {
    const decided = state.managers[index]?.decided;
    const rest = changeManager(state, index, ({ epoch, listedBoot, maintenanceSince }) => ({
        epoch,
        listedBoot,
        maintenanceSince,
    }));
    if (decided === undefined) {
        return rest;
    }
    const isHolder = decided.epoch === state.epoch || without === "epoch";
    if (decided.base !== state.revision || !isHolder) {
        return rest;
    }
    const broken = decided.epoch === state.epoch ? [] : ["an edit of a manager without the lease was accepted"];
    return { ...withRow(rest, decided.after), broken: [...state.broken, ...broken] };
};

const reboot = (state: MaintenanceState, index: number, without: MaintenanceGuard | undefined): MaintenanceState => {
    const rest = { ...state, reboots: state.reboots.filter((unused, other) => other !== index) };
    if (state.reboots[index] !== state.boot && without !== "reboot-names-boot") {
        return rest;
    }
    const inService = state.row !== undefined && state.row.phase.kind !== "maintenance";
    return {
        ...rest,
        boot: state.boot + 1,
        broken: inService ? [...state.broken, "a VM in service was rebooted"] : state.broken,
    };
};

const startMaintenance = (state: MaintenanceState): MaintenanceState =>
    state.row === undefined
        ? state
        : withRow(state, {
              ...state.row,
              phase: { kind: "draining", purpose: { kind: "maintenance" }, sinceRevision: state.revision + 1 },
          });

const applyStep = (
    state: MaintenanceState,
    step: MaintenanceStep,
    without: MaintenanceGuard | undefined,
): MaintenanceState => {
    switch (step.type) {
        case "start-maintenance":
            return { ...startMaintenance(state), edits: state.edits + 1 };
        case "remove":
        case "add":
            return { ...state, revision: state.revision + 1, isWanted: step.type === "add", edits: state.edits + 1 };
        case "restart":
            return { ...state, boot: state.boot + 1 };
        case "plan":
            return plan(state, step.manager, without);
        case "commit":
            return commit(state, step.manager, without);
        case "read-list":
            return changeManager(state, step.manager, other => ({ ...other, listedBoot: other.listedBoot + 1 }));
        case "take-over":
            return changeManager({ ...state, epoch: state.epoch + 1 }, step.manager, other => ({
                ...other,
                epoch: state.epoch + 1,
            }));
        case "reboot":
            return reboot(state, step.index, without);
    }
};

const managerSteps = (
    state: MaintenanceState,
    manager: Manager,
    index: number,
    without: MaintenanceGuard | undefined,
): readonly MaintenanceStep[] => {
    const next = manager.epoch > 0 && manager.decided === undefined ? plan(state, index, without) : state;
    return [
        // A plan that repeats a reboot already under way changes nothing.
        ...(JSON.stringify(next) === JSON.stringify(state) ? [] : [{ type: "plan", manager: index } as const]),
        ...(manager.decided === undefined ? [] : [{ type: "commit", manager: index } as const]),
        ...(manager.listedBoot < state.boot ? [{ type: "read-list", manager: index } as const] : []),
        ...(manager.epoch < state.epoch ? [{ type: "take-over", manager: index } as const] : []),
    ];
};

const isFault = (step: MaintenanceStep): boolean => faultTypes.includes(step.type);

/** The protocol of maintenance: two managers, one VM that is rebooted, an operator who removes and adds it. */
export const maintenanceProtocol = (options: MaintenanceOptions): Protocol<MaintenanceState, MaintenanceStep> => ({
    name: "maintenance",
    initial: {
        revision: 1,
        isWanted: true,
        row: { vm: VM, pool: POOL, phase: { kind: "serving" }, maintainedAtMs: 0 },
        boot: 0,
        epoch: 1,
        managers: [
            { epoch: 1, listedBoot: 0, maintenanceSince: [] },
            { epoch: 0, listedBoot: 0, maintenanceSince: [] },
        ],
        reboots: [],
        edits: 0,
        faults: 0,
        broken: [],
    },
    steps: state =>
        [
            ...state.managers.flatMap((manager, index) => managerSteps(state, manager, index, options.without)),
            ...state.reboots.map((unused, index): MaintenanceStep => ({ type: "reboot", index })),
            ...(state.edits < options.maxEdits ? editSteps(state) : []),
            { type: "restart" } as const,
        ].filter(step => !isFault(step) || state.faults < options.maxFaults),
    apply: (state, step) => {
        const next = applyStep(state, step, options.without);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    violations: state => state.broken,
    isProgress: step => !isFault(step),
    isSettled: state =>
        state.reboots.length === 0 && (state.isWanted ? state.row?.phase.kind === "serving" : state.row === undefined),
});

const editSteps = (state: MaintenanceState): readonly MaintenanceStep[] => [
    ...(state.row?.phase.kind === "serving" && state.isWanted ? [{ type: "start-maintenance" } as const] : []),
    { type: state.isWanted ? "remove" : "add" },
];
