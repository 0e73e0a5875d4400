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

/** Rules of the protocol; without any one of them the explorer must find a broken invariant. */
export const maintenanceGuards = [
    "reboot-names-boot",
    "epoch",
    "back-with-another-boot",
    "row-kept-in-maintenance",
    "list-covers-maintenance",
] as const;
export type MaintenanceGuard = (typeof maintenanceGuards)[number];

/** An edit that a manager has decided on. Its write may take effect at any time. */
interface PendingEdit {
    readonly base: number;
    readonly epoch: number;
    readonly after?: Assignment;
}

interface Manager {
    /** Epoch of the lease that the manager acquired last; 0 before the first. */
    readonly epoch: number;
    /** Boot of the VM in the list that the manager read last. */
    readonly listedBoot: number;
    /** Planner state: the VMs that were seen in maintenance, and since when. */
    readonly maintenanceSince: PlannerState["maintenanceSince"];
    readonly pendingEdit?: PendingEdit;
}

export interface MaintenanceState {
    readonly revision: number;
    /** The pools table assigns the VM to the pool. */
    readonly isInPool: boolean;
    readonly row?: Assignment;
    /** Number of reboots of the VM so far, which serves as its boot id. */
    readonly boot: number;
    readonly epoch: number;
    readonly managers: readonly Manager[];
    /** Boot ids in the reboot requests that have not taken effect yet. */
    readonly reboots: readonly number[];
    /** Number of edits by the operator so far. */
    readonly edits: number;
    readonly faults: number;
    /** Violations found when a step was applied. */
    readonly broken: readonly string[];
}

export type MaintenanceStep =
    | { readonly type: "start-maintenance" | "remove" | "add" | "restart" }
    | { readonly type: "plan" | "commit" | "read-list" | "take-over"; readonly manager: number }
    | { readonly type: "reboot"; readonly index: number };

export interface MaintenanceOptions {
    readonly disabledGuard?: MaintenanceGuard;
    readonly maxFaults: number;
    /** Bound on the operator's edits, including those that start maintenance. */
    readonly maxEdits: number;
}

const VM = toId<VmId>("vm-1");
const POOL = toId<PoolName>("letters");
const MAX_PENDING_REBOOTS = 2;
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
        pools: [poolSchema.parse({ name: POOL, vms: state.isInPool ? [VM] : [], minAvailable: 0 })],
        assignments: state.row === undefined ? [] : [state.row],
    });

/** Input of a planner whose drains are confirmed in both rounds. The boot number serves as the clock. */
const planInputOf = (
    state: MaintenanceState,
    manager: Manager,
    disabledGuard: MaintenanceGuard | undefined,
): PlanInput => ({
    state: fleetOf(state),
    vms: [vmOf(VM, "endpoint", manager.listedBoot), vmOf(entry.vm, "entry", 0)],
    listReadAtMs: disabledGuard === "list-covers-maintenance" ? state.boot : manager.listedBoot,
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

const planCache = new Map<string, FleetPlan>();

const runPlanner = (
    state: MaintenanceState,
    manager: Manager,
    disabledGuard: MaintenanceGuard | undefined,
): FleetPlan => {
    const { listedBoot, maintenanceSince } = manager;
    const known = [state.revision, state.isInPool, state.row, state.boot, listedBoot, maintenanceSince, disabledGuard];
    const key = JSON.stringify(known);
    const fleetPlan = planCache.get(key) ?? planFleet(planInputOf(state, manager, disabledGuard));
    planCache.set(key, fleetPlan);
    return fleetPlan;
};

/** The row that the planner decides on, or a wrong one if the guard that prevents it is disabled. */
const planRow = (state: MaintenanceState, manager: Manager, disabledGuard: MaintenanceGuard | undefined) => {
    const row = state.row;
    if (row?.phase.kind === "maintenance" && disabledGuard === "back-with-another-boot") {
        return { changed: true, after: { ...row, phase: { kind: "serving" as const } } };
    }
    if (row?.phase.kind === "maintenance" && disabledGuard === "row-kept-in-maintenance" && !state.isInPool) {
        return { changed: true, after: undefined };
    }
    const changes = runPlanner(state, manager, disabledGuard).decisions.flatMap(decision =>
        decision.kind === "edit" ? decision.changes : [],
    );
    const change = changes.find(other => other.table === "assignments");
    return { changed: change !== undefined, after: change?.table === "assignments" ? change.after : undefined };
};

const plan = (
    state: MaintenanceState,
    index: number,
    disabledGuard: MaintenanceGuard | undefined,
): MaintenanceState => {
    const manager = state.managers[index] as Manager;
    const { changed, after } = planRow(state, manager, disabledGuard);
    const { decisions, plannerState } = runPlanner(state, manager, disabledGuard);
    const boots = decisions.flatMap(decision => (decision.kind === "reboot" ? [Number(decision.bootId)] : []));
    const base = { base: state.revision, epoch: manager.epoch };
    const pendingEdit = after === undefined ? base : { ...base, after };
    const next = changeManager(state, index, ({ epoch, listedBoot }) => {
        const observed = { epoch, listedBoot, maintenanceSince: plannerState.maintenanceSince };
        return changed ? { ...observed, pendingEdit } : observed;
    });
    return { ...next, reboots: [...state.reboots, ...boots].slice(0, MAX_PENDING_REBOOTS) };
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

const commit = (
    state: MaintenanceState,
    index: number,
    disabledGuard: MaintenanceGuard | undefined,
): MaintenanceState => {
    const pendingEdit = state.managers[index]?.pendingEdit;
    const rest = changeManager(state, index, ({ epoch, listedBoot, maintenanceSince }) => ({
        epoch,
        listedBoot,
        maintenanceSince,
    }));
    if (pendingEdit === undefined) {
        return rest;
    }
    const isHolder = pendingEdit.epoch === state.epoch || disabledGuard === "epoch";
    if (pendingEdit.base !== state.revision || !isHolder) {
        return rest;
    }
    const violations = pendingEdit.epoch === state.epoch ? [] : ["an edit of a manager without the lease was accepted"];
    return { ...withRow(rest, pendingEdit.after), broken: [...state.broken, ...violations] };
};

const reboot = (
    state: MaintenanceState,
    index: number,
    disabledGuard: MaintenanceGuard | undefined,
): MaintenanceState => {
    const rest = { ...state, reboots: state.reboots.filter((unused, other) => other !== index) };
    if (state.reboots[index] !== state.boot && disabledGuard !== "reboot-names-boot") {
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
    disabledGuard: MaintenanceGuard | undefined,
): MaintenanceState => {
    switch (step.type) {
        case "start-maintenance":
            return { ...startMaintenance(state), edits: state.edits + 1 };
        case "remove":
        case "add":
            return { ...state, revision: state.revision + 1, isInPool: step.type === "add", edits: state.edits + 1 };
        case "restart":
            return { ...state, boot: state.boot + 1 };
        case "plan":
            return plan(state, step.manager, disabledGuard);
        case "commit":
            return commit(state, step.manager, disabledGuard);
        case "read-list":
            return changeManager(state, step.manager, other => ({ ...other, listedBoot: other.listedBoot + 1 }));
        case "take-over":
            return changeManager({ ...state, epoch: state.epoch + 1 }, step.manager, other => ({
                ...other,
                epoch: state.epoch + 1,
            }));
        case "reboot":
            return reboot(state, step.index, disabledGuard);
    }
};

const managerSteps = (
    state: MaintenanceState,
    manager: Manager,
    index: number,
    disabledGuard: MaintenanceGuard | undefined,
): readonly MaintenanceStep[] => {
    const next = manager.epoch > 0 && manager.pendingEdit === undefined ? plan(state, index, disabledGuard) : state;
    return [
        // A plan that only repeats pending reboots leaves the state unchanged and is left out.
        ...(JSON.stringify(next) === JSON.stringify(state) ? [] : [{ type: "plan", manager: index } as const]),
        ...(manager.pendingEdit === undefined ? [] : [{ type: "commit", manager: index } as const]),
        ...(manager.listedBoot < state.boot ? [{ type: "read-list", manager: index } as const] : []),
        ...(manager.epoch < state.epoch ? [{ type: "take-over", manager: index } as const] : []),
    ];
};

const isFault = (step: MaintenanceStep): boolean => faultTypes.includes(step.type);

/**
 * Models maintenance: two managers, one VM that is rebooted, and an operator who removes the VM from its pool and adds it
 * to the pool again.
 */
export const maintenanceProtocol = (options: MaintenanceOptions): Protocol<MaintenanceState, MaintenanceStep> => ({
    name: "maintenance",
    initial: {
        revision: 1,
        isInPool: true,
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
            ...state.managers.flatMap((manager, index) => managerSteps(state, manager, index, options.disabledGuard)),
            ...state.reboots.map((unused, index): MaintenanceStep => ({ type: "reboot", index })),
            ...(state.edits < options.maxEdits ? editSteps(state) : []),
            { type: "restart" } as const,
        ].filter(step => !isFault(step) || state.faults < options.maxFaults),
    apply: (state, step) => {
        const next = applyStep(state, step, options.disabledGuard);
        return isFault(step) ? { ...next, faults: state.faults + 1 } : next;
    },
    violations: state => state.broken,
    isProgress: step => !isFault(step),
    isSettled: state =>
        state.reboots.length === 0 && (state.isInPool ? state.row?.phase.kind === "serving" : state.row === undefined),
});

const editSteps = (state: MaintenanceState): readonly MaintenanceStep[] => [
    ...(state.row?.phase.kind === "serving" && state.isInPool ? [{ type: "start-maintenance" } as const] : []),
    { type: state.isInPool ? "remove" : "add" },
];
