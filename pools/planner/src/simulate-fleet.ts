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
    simulatedDrainMs,
    type FleetShape,
    type Outage,
    simulatedRebootMs,
    simulatedDemand,
    simulatedOutages,
    simulatedState,
    simulatedVms,
} from "./simulated-fleet.js";

/** A planner configuration that is compared with others on the same events. */
export interface Variant {
    readonly name: string;
    readonly settings: PlannerSettings;
    /** Maintain only one VM of the whole fleet at a time. */
    readonly oneVmAtATime?: boolean;
}

export interface SimulationOptions {
    readonly shape: FleetShape;
    readonly variant: Variant;
    readonly seed: number;
    readonly days: number;
    /** End once every VM has been maintained. */
    readonly untilMaintained: boolean;
}

/** Measurements of one simulation. */
export interface SimulationResult {
    readonly hours: number;
    /** VMs maintained since the start. */
    readonly maintained: number;
    /** Moves of VMs between pools. */
    readonly moves: number;
    /** VM hours of loans, including the moves to the borrower. */
    readonly loanHours: number;
    /** VM hours of draining and maintenance. */
    readonly maintenanceHours: number;
    /**
     * Minimum over all service pools of available VMs minus `minAvailable`; for `worstPlannedMargin`, serving VMs count
     * as available also while the platform does not list them.
     */
    readonly worstMargin: number;
    readonly worstPlannedMargin: number;
    /** Pool minutes in which the demand exceeded the available slots. */
    readonly overloadMinutes: number;
    readonly millisecondsPerPlan: number;
}

const TICK_MS = 15_000;
const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;
const START_MS = Date.UTC(2026, 11, 1);
const ENTRIES = ["entry-1", "entry-2", "entry-3"];

/** State of a simulated VM; times are milliseconds from the start of the simulation. */
interface VmState {
    readonly vm: Vm;
    readonly outages: readonly Outage[];
    readonly reboots: number;
    readonly unavailableUntilMs: number;
    /** Absent if the VM is not draining. */
    readonly drainingSinceMs?: number;
}

interface SimulationState {
    readonly timeMs: number;
    readonly state: FleetState;
    readonly plannerState: PlannerState;
    readonly round: number;
    readonly vmStates: EntityTable<VmId, VmState>;
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

const isListed = ({ outages, unavailableUntilMs }: VmState, timeMs: number): boolean =>
    unavailableUntilMs <= timeMs && !outages.some(outage => outage.startMs <= timeMs && timeMs < outage.endMs);

const listVms = (simulation: SimulationState): readonly Vm[] => [
    ...entryVms,
    ...simulation.vmStates.rows
        .filter(vmState => isListed(vmState, simulation.timeMs))
        .map(({ vm, outages, reboots }) => ({
            ...vm,
            bootId: `${reboots}/${outages.filter(outage => outage.startMs <= simulation.timeMs).length}`,
        })),
];

const simulateConfirmations = (simulation: SimulationState, seed: number): readonly Confirmation[] => {
    const inFlightVms = simulation.vmStates.rows
        .filter(
            ({ vm, drainingSinceMs }) =>
                drainingSinceMs !== undefined && simulation.timeMs - drainingSinceMs < simulatedDrainMs(seed, vm.id),
        )
        .map(({ vm }) => vm.id);
    return registrations.map(entry => ({
        ...entry,
        revision: simulation.state.revision,
        round: simulation.round,
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

/** Keeps only the first new drain for maintenance, or none if a VM is already draining for it or in maintenance. */
const limitToOneDrain = (state: FleetState, changes: readonly Change[]): readonly Change[] => {
    const isBusy = state.assignments.rows.some(
        ({ phase }) =>
            phase.kind === "maintenance" || (phase.kind === "draining" && phase.purpose.kind === "maintenance"),
    );
    const first = isBusy ? undefined : changes.find(isMaintenanceDrain);
    return changes.filter(change => !isMaintenanceDrain(change) || change === first);
};

const applyChanges = (variant: Variant, state: FleetState, changes: readonly Change[]): FleetState => {
    const permitted = variant.oneVmAtATime === true ? limitToOneDrain(state, changes) : changes;
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

const withDrainState = (vmState: VmState, simulation: SimulationState): VmState => {
    const isDraining = simulation.state.assignments.get(vmState.vm.id)?.phase.kind === "draining";
    if (isDraining === (vmState.drainingSinceMs !== undefined)) {
        return vmState;
    }
    const { vm, outages, reboots, unavailableUntilMs } = vmState;
    const idle = { vm, outages, reboots, unavailableUntilMs };
    return isDraining ? { ...idle, drainingSinceMs: simulation.timeMs } : idle;
};

const withReboot = (vmState: VmState, simulation: SimulationState, seed: number): VmState => ({
    ...vmState,
    reboots: vmState.reboots + 1,
    unavailableUntilMs: simulation.timeMs + simulatedRebootMs(seed, vmState.vm.id),
});

const updateVmStates = (simulation: SimulationState, rebooted: readonly VmId[], seed: number): SimulationState => ({
    ...simulation,
    vmStates: vmStateTable(
        simulation.vmStates.rows
            .map(vmState => withDrainState(vmState, simulation))
            .map(vmState => (rebooted.includes(vmState.vm.id) ? withReboot(vmState, simulation, seed) : vmState)),
    ),
});

const vmStateTable = (rows: readonly VmState[]): SimulationState["vmStates"] => entityTable(rows, ({ vm }) => vm.id);

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

const countPool = (simulation: SimulationState, { listed, loads }: Observation, name: PoolName): PoolCount => {
    const pool = simulation.state.pools.get(name);
    const serving = simulation.state.assignments.rows.filter(row => row.pool === name && row.phase.kind === "serving");
    const available = serving.filter(row => listed.has(row.vm)).length;
    const budget = pool?.minAvailable ?? 0;
    const demand = loads.find(load => load.pool === name)?.demandSlots ?? 0;
    return {
        margin: available - budget,
        plannedMargin: serving.length - budget,
        isOverloaded: demand > available * (pool?.slotsPerVm ?? 0),
    };
};

const measure = (simulation: SimulationState, observation: Observation): SimulationState["result"] => {
    const pools = simulation.state.pools.rows.filter(pool => !pool.spare);
    const counts = pools.map(pool => countPool(simulation, observation, pool.name));
    const rows = simulation.state.assignments.rows;
    const loans = rows.filter(row => row.loanedTo !== undefined).length;
    const inMaintenance = rows.filter(
        ({ phase }) =>
            phase.kind === "maintenance" || (phase.kind === "draining" && phase.purpose.kind === "maintenance"),
    ).length;
    const { result } = simulation;
    return {
        moves: result.moves,
        loanHours: result.loanHours + (loans * TICK_MS) / HOUR_MS,
        maintenanceHours: result.maintenanceHours + (inMaintenance * TICK_MS) / HOUR_MS,
        worstMargin: Math.min(result.worstMargin, ...counts.map(({ margin }) => margin)),
        worstPlannedMargin: Math.min(result.worstPlannedMargin, ...counts.map(({ plannedMargin }) => plannedMargin)),
        overloadMinutes:
            result.overloadMinutes + (counts.filter(({ isOverloaded }) => isOverloaded).length * TICK_MS) / MINUTE_MS,
    };
};

const simulateTick = (options: SimulationOptions, simulation: SimulationState): SimulationState => {
    const vms = listVms(simulation);
    const nowMs = START_MS + simulation.timeMs;
    const loads = simulation.state.pools.rows.map(pool => ({
        pool: pool.name,
        demandSlots: simulatedDemand({ pool, seed: options.seed, timeMs: simulation.timeMs }),
    }));
    const { decisions, plannerState } = planFleet({
        state: simulation.state,
        vms,
        listReadAtMs: nowMs,
        registrations,
        confirmations: simulateConfirmations(simulation, options.seed),
        loads,
        unresponsiveVms: [],
        plannerState: simulation.plannerState,
        round: simulation.round,
        nowMs,
        settings: options.variant.settings,
    });
    const changes = decisions.flatMap(decision => (decision.kind === "edit" ? decision.changes : []));
    const state = applyChanges(options.variant, simulation.state, changes);
    const rebooted = decisions.flatMap(decision => (decision.kind === "reboot" ? [decision.vm] : []));
    const moves = countMoves(simulation.state, state);
    const next = updateVmStates({ ...simulation, state, plannerState }, rebooted, options.seed);
    const listed = new Set(vms.map(vm => vm.id));
    const counted = { ...next, result: { ...simulation.result, moves: simulation.result.moves + moves } };
    const result = measure(counted, { listed, loads });
    return { ...next, result, round: simulation.round + 1, timeMs: simulation.timeMs + TICK_MS };
};

const countMaintained = (state: FleetState): number =>
    state.assignments.rows.filter(row => (row.maintainedAtMs ?? 0) >= START_MS).length;

/** Simulates a fleet with one planning run every 15 seconds. */
export const simulateFleet = (options: SimulationOptions): SimulationResult => {
    const vms = simulatedVms(options.shape);
    const outages = simulatedOutages({ vms, seed: options.seed, days: options.days });
    const vmStates = vms.map((vm): VmState => ({
        vm,
        outages: outages.filter(outage => outage.vm === vm.id),
        reboots: 0,
        unavailableUntilMs: 0,
    }));
    const startedMs = performance.now();
    const lastTick = (options.days * 24 * HOUR_MS) / TICK_MS;
    let simulation: SimulationState = {
        timeMs: 0,
        state: simulatedState(options.shape),
        plannerState: initialPlannerState,
        round: 1,
        vmStates: vmStateTable(vmStates),
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
        simulation = simulateTick(options, simulation);
        if (options.untilMaintained && countMaintained(simulation.state) === vms.length) {
            break;
        }
    }
    return {
        ...simulation.result,
        hours: simulation.timeMs / HOUR_MS,
        maintained: countMaintained(simulation.state),
        millisecondsPerPlan: (performance.now() - startedMs) / (simulation.timeMs / TICK_MS),
    };
};

/** Start time of simulations, in milliseconds since the Unix epoch. */
export const simulationStartMs = START_MS;
