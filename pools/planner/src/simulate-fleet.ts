import type { Change } from "@almondusher/fleet/edit";
import { applyEdit } from "@almondusher/fleet/edit";
import { type EntityTable, entityTable } from "@almondusher/fleet/entity-table";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import { type PoolName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { Confirmation, PoolLoad } from "./plan-input.js";
import { planFleet } from "./plan-fleet.js";
import type { PlannerSettings } from "./planner-settings.js";
import { initialPlannerState, type PlannerState } from "./planner-state.js";
import {
    drainMs,
    type FleetShape,
    type Outage,
    rebootMs,
    simulatedDemand,
    simulatedOutages,
    simulatedState,
    simulatedVms,
} from "./simulated-fleet.js";

/** One way to plan, to be compared with others on the same events. */
export interface Variant {
    readonly name: string;
    readonly settings: PlannerSettings;
    /** Maintain a single VM of the whole fleet at a time. */
    readonly oneVmAtATime?: boolean;
}

export interface SimulationOptions {
    readonly shape: FleetShape;
    readonly variant: Variant;
    readonly seed: number;
    readonly days: number;
    /** End when every VM has been maintained since the start. */
    readonly untilMaintained: boolean;
}

/** What a simulated fleet went through. */
export interface SimulationResult {
    readonly hours: number;
    /** VMs maintained since the start. */
    readonly maintained: number;
    /** Moves of VMs between pools. */
    readonly moves: number;
    /** VM hours on loan or on the way. */
    readonly loanHours: number;
    /** VM hours of draining and maintenance. */
    readonly maintenanceHours: number;
    /** Least of available VMs minus budget over all service pools, and the same without VMs that failed by themselves. */
    readonly worstMargin: number;
    readonly worstPlannedMargin: number;
    /** Pool minutes in which the available slots were fewer than the demand. */
    readonly overloadMinutes: number;
    readonly millisecondsPerPlan: number;
}

const TICK_MS = 15_000;
const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;
const START_MS = Date.UTC(2026, 11, 1);
const ENTRIES = ["entry-1", "entry-2", "entry-3"];

/** What a VM is up to; times from the start of the simulation. */
interface Condition {
    readonly vm: Vm;
    readonly outages: readonly Outage[];
    readonly reboots: number;
    readonly awayUntilMs: number;
    /** Absent if it does not drain. */
    readonly drainingSinceMs?: number;
}

interface Run {
    readonly timeMs: number;
    readonly state: FleetState;
    readonly plannerState: PlannerState;
    readonly round: number;
    readonly conditions: EntityTable<VmId, Condition>;
    readonly result: Omit<SimulationResult, "hours" | "maintained" | "millisecondsPerPlan">;
}

const entryVms = ENTRIES.map((id): Vm => ({
    id: toId(id),
    role: "entry",
    state: "live",
    bootId: "0",
    address: "10.0.0.1:1",
    rack: toId("rack-entry"),
    dataCentre: toId("dc-0"),
}));

const registrations = ENTRIES.map(id => ({ processId: toId<ProcessId>(`${id}/1`), vm: toId<VmId>(id) }));

const isListed = ({ outages, awayUntilMs }: Condition, timeMs: number): boolean =>
    awayUntilMs <= timeMs && !outages.some(outage => outage.startMs <= timeMs && timeMs < outage.endMs);

const listVms = (run: Run): readonly Vm[] => [
    ...entryVms,
    ...run.conditions.rows
        .filter(condition => isListed(condition, run.timeMs))
        .map(({ vm, outages, reboots }) => ({
            ...vm,
            bootId: `${reboots}/${outages.filter(outage => outage.startMs <= run.timeMs).length}`,
        })),
];

const confirm = (run: Run, seed: number): readonly Confirmation[] => {
    const inFlightVms = run.conditions.rows
        .filter(
            ({ vm, drainingSinceMs }) =>
                drainingSinceMs !== undefined && run.timeMs - drainingSinceMs < drainMs(seed, vm.id),
        )
        .map(({ vm }) => vm.id);
    return registrations.map(entry => ({
        ...entry,
        revision: run.state.revision,
        round: run.round,
        inFlightVms,
        passedTo: [],
        goneEntryVms: [],
    }));
};

const isMaintenanceDrain = (change: Change): boolean =>
    change.table === "assignments" &&
    change.after?.phase.kind === "draining" &&
    change.after.phase.purpose.kind === "maintenance" &&
    change.before?.phase.kind === "serving";

/** Of the drains for maintenance only the first one, and none while a VM is in maintenance. */
const limitToOne = (state: FleetState, changes: readonly Change[]): readonly Change[] => {
    const isBusy = state.assignments.rows.some(
        ({ phase }) =>
            phase.kind === "maintenance" || (phase.kind === "draining" && phase.purpose.kind === "maintenance"),
    );
    const first = isBusy ? undefined : changes.find(isMaintenanceDrain);
    return changes.filter(change => !isMaintenanceDrain(change) || change === first);
};

const commit = (variant: Variant, state: FleetState, changes: readonly Change[]): FleetState => {
    const permitted = variant.oneVmAtATime === true ? limitToOne(state, changes) : changes;
    return permitted.length === 0
        ? state
        : applyEdit(state, {
              editId: toId(`edit-${state.revision}`),
              author: { kind: "manager", name: "simulation" },
              at: "",
              reason: "",
              changes: [...permitted],
          });
};

const drainCondition = (condition: Condition, run: Run): Condition => {
    const isDraining = run.state.assignments.get(condition.vm.id)?.phase.kind === "draining";
    if (isDraining === (condition.drainingSinceMs !== undefined)) {
        return condition;
    }
    const { vm, outages, reboots, awayUntilMs } = condition;
    const idle = { vm, outages, reboots, awayUntilMs };
    return isDraining ? { ...idle, drainingSinceMs: run.timeMs } : idle;
};

const rebootCondition = (condition: Condition, run: Run, seed: number): Condition => ({
    ...condition,
    reboots: condition.reboots + 1,
    awayUntilMs: run.timeMs + rebootMs(seed, condition.vm.id),
});

const changeConditions = (run: Run, rebooted: readonly VmId[], seed: number): Run => ({
    ...run,
    conditions: conditionTable(
        run.conditions.rows
            .map(condition => drainCondition(condition, run))
            .map(condition => (rebooted.includes(condition.vm.id) ? rebootCondition(condition, run, seed) : condition)),
    ),
});

const conditionTable = (rows: readonly Condition[]): Run["conditions"] => entityTable(rows, ({ vm }) => vm.id);

const countMoves = (before: FleetState, after: FleetState): number =>
    after.assignments.rows.filter(row => {
        const previous = before.assignments.get(row.vm);
        return previous !== undefined && previous.pool !== row.pool;
    }).length;

interface PoolCount {
    readonly margin: number;
    readonly plannedMargin: number;
    readonly isOverloaded: boolean;
}

interface Observation {
    readonly listed: ReadonlySet<VmId>;
    readonly loads: readonly PoolLoad[];
}

const countPool = (run: Run, { listed, loads }: Observation, name: PoolName): PoolCount => {
    const pool = run.state.pools.get(name);
    const serving = run.state.assignments.rows.filter(row => row.pool === name && row.phase.kind === "serving");
    const available = serving.filter(row => listed.has(row.vm)).length;
    const budget = pool?.minAvailable ?? 0;
    const demand = loads.find(load => load.pool === name)?.demandSlots ?? 0;
    return {
        margin: available - budget,
        plannedMargin: serving.length - budget,
        isOverloaded: demand > available * (pool?.slotsPerVm ?? 0),
    };
};

const measure = (run: Run, observation: Observation): Run["result"] => {
    const pools = run.state.pools.rows.filter(pool => !pool.spare);
    const counts = pools.map(pool => countPool(run, observation, pool.name));
    const rows = run.state.assignments.rows;
    const loans = rows.filter(row => row.loanedTo !== undefined).length;
    const away = rows.filter(
        ({ phase }) =>
            phase.kind === "maintenance" || (phase.kind === "draining" && phase.purpose.kind === "maintenance"),
    ).length;
    const { result } = run;
    return {
        moves: result.moves,
        loanHours: result.loanHours + (loans * TICK_MS) / HOUR_MS,
        maintenanceHours: result.maintenanceHours + (away * TICK_MS) / HOUR_MS,
        worstMargin: Math.min(result.worstMargin, ...counts.map(({ margin }) => margin)),
        worstPlannedMargin: Math.min(result.worstPlannedMargin, ...counts.map(({ plannedMargin }) => plannedMargin)),
        overloadMinutes:
            result.overloadMinutes + (counts.filter(({ isOverloaded }) => isOverloaded).length * TICK_MS) / MINUTE_MS,
    };
};

const takeTick = (options: SimulationOptions, run: Run): Run => {
    const vms = listVms(run);
    const nowMs = START_MS + run.timeMs;
    const loads = run.state.pools.rows.map(pool => ({
        pool: pool.name,
        demandSlots: simulatedDemand({ pool, seed: options.seed, timeMs: run.timeMs }),
    }));
    const { decisions, plannerState } = planFleet({
        state: run.state,
        vms,
        listReadAtMs: nowMs,
        registrations,
        confirmations: confirm(run, options.seed),
        loads,
        unresponsiveVms: [],
        plannerState: run.plannerState,
        round: run.round,
        nowMs,
        settings: options.variant.settings,
    });
    const changes = decisions.flatMap(decision => (decision.kind === "edit" ? decision.changes : []));
    const state = commit(options.variant, run.state, changes);
    const rebooted = decisions.flatMap(decision => (decision.kind === "reboot" ? [decision.vm] : []));
    const moves = countMoves(run.state, state);
    const next = changeConditions({ ...run, state, plannerState }, rebooted, options.seed);
    const listed = new Set(vms.map(vm => vm.id));
    const counted = { ...next, result: { ...run.result, moves: run.result.moves + moves } };
    const result = measure(counted, { listed, loads });
    return { ...next, result, round: run.round + 1, timeMs: run.timeMs + TICK_MS };
};

const countMaintained = (state: FleetState): number =>
    state.assignments.rows.filter(row => (row.maintainedAtMs ?? 0) >= START_MS).length;

/** Runs the planner on a simulated fleet, one plan every 15 seconds. */
export const simulateFleet = (options: SimulationOptions): SimulationResult => {
    const vms = simulatedVms(options.shape);
    const outages = simulatedOutages({ vms, seed: options.seed, days: options.days });
    const conditions = vms.map((vm): Condition => ({
        vm,
        outages: outages.filter(outage => outage.vm === vm.id),
        reboots: 0,
        awayUntilMs: 0,
    }));
    const startedMs = performance.now();
    const lastTick = (options.days * 24 * HOUR_MS) / TICK_MS;
    let run: Run = {
        timeMs: 0,
        state: simulatedState(options.shape),
        plannerState: initialPlannerState,
        round: 1,
        conditions: conditionTable(conditions),
        result: {
            moves: 0,
            loanHours: 0,
            maintenanceHours: 0,
            worstMargin: Infinity,
            worstPlannedMargin: Infinity,
            overloadMinutes: 0,
        },
    };
    for (let tick = 0; tick < lastTick; tick += 1) {
        run = takeTick(options, run);
        if (options.untilMaintained && countMaintained(run.state) === vms.length) {
            break;
        }
    }
    return {
        ...run.result,
        hours: run.timeMs / HOUR_MS,
        maintained: countMaintained(run.state),
        millisecondsPerPlan: (performance.now() - startedMs) / (run.timeMs / TICK_MS),
    };
};

/** Time at which simulations start, in milliseconds since 1970. */
export const simulationStartMs = START_MS;
