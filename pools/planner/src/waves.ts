import type { Assignment } from "@almondusher/fleet/assignment";
import type { PoolName } from "@almondusher/fleet/ids";
import { isUp } from "./budget.js";
import type { WaitingDecision } from "./decision.js";
import { drainingRow } from "./drains.js";
import { locationOf, type PoolStatus, poolStatuses, poolsWithCorrelatedLoss } from "./pool-status.js";
import { dueAtMs, isInMaintenance } from "./maintenance-due.js";
import { addDecisions, changeRows, type Plan, type VmLocation } from "./plan.js";
import { elapsedSince } from "./planner-state.js";

/** Cancels maintenance drains in pools with fewer than `minAvailable` available VMs and returns the VMs to service. */
export const cancelMaintenance = (plan: Plan): Plan => {
    const cancelled = poolStatuses(plan)
        .rows.filter(status => status.available < status.pool.minAvailable && status.inMaintenance > 0)
        .flatMap(status =>
            plan.assignments.rows
                .filter(row => row.pool === status.pool.name && row.phase.kind === "draining")
                .filter(row => isInMaintenance(row) && isUp(plan, row))
                .slice(0, status.pool.minAvailable - status.available),
        );
    return changeRows(plan, {
        written: cancelled.map(row => ({ ...row, phase: { kind: "serving" } })),
        reasons: cancelled.map(row => `put ${row.vm} back: ${row.pool} is below its budget`),
    });
};

interface MaintenanceCandidate {
    readonly row: Assignment;
    readonly location: VmLocation;
    readonly dueMs: number;
}

// A VM whose drain or reboot has timed out still counts as unavailable in its pool, but no longer blocks maintenance of
// other racks and data centres.
const isStalled = (plan: Plan, row: Assignment): boolean => {
    const { settings, nowMs } = plan.input;
    const age = elapsedSince(plan.plannerState.unavailableSince, row.vm, nowMs);
    return (
        age >
        (row.phase.kind === "maintenance" ? settings.slowDrainMs + settings.rebootTimeoutMs : settings.slowDrainMs)
    );
};

const maintenanceCandidates = (plan: Plan, status: PoolStatus): readonly MaintenanceCandidate[] =>
    status.due.flatMap(row => {
        const location = locationOf(plan, row.vm);
        return location === undefined ? [] : [{ row, location, dueMs: dueAtMs(plan, row) }];
    });

const byDueTime = (left: MaintenanceCandidate, right: MaintenanceCandidate): number => left.dueMs - right.dueMs;

interface EligiblePool {
    readonly name: PoolName;
    /** Number of VMs that can start maintenance now without violating `minAvailable` or the load requirement. */
    readonly maxStarts: number;
    readonly candidates: readonly MaintenanceCandidate[];
    /** Location of a VM of the pool that is in maintenance; further VMs are taken from the same rack only. */
    readonly activeRack: VmLocation | undefined;
}

interface WaveState {
    /** Locations of the VMs in maintenance, except those whose drain or reboot has timed out. */
    readonly busy: readonly VmLocation[];
    /** Pools of the VMs in maintenance, except those whose drain or reboot has timed out. */
    readonly activePools: readonly PoolName[];
    /** Pools with due VMs and without a correlated loss. */
    readonly pools: readonly EligiblePool[];
}

const isSameRack = (left: VmLocation, right: VmLocation): boolean =>
    left.rack === right.rack && left.dataCentre === right.dataCentre;

const collectWaveState = (
    plan: Plan,
    statuses: readonly PoolStatus[],
    poolsWithLoss: readonly PoolName[],
): WaveState => {
    const rows = plan.assignments.rows.filter(row => isInMaintenance(row) && !isStalled(plan, row));
    const locatedRows = rows.flatMap(row => {
        const location = locationOf(plan, row.vm);
        return location === undefined ? [] : [{ pool: row.pool, location }];
    });
    const pools = statuses
        .filter(status => status.due.length > 0 && !poolsWithLoss.includes(status.pool.name))
        .map(status => ({
            name: status.pool.name,
            maxStarts: status.available - status.required,
            candidates: maintenanceCandidates(plan, status),
            activeRack: locatedRows.find(({ pool }) => pool === status.pool.name)?.location,
        }));
    return {
        busy: locatedRows.map(({ location }) => location),
        activePools: [...new Set(rows.map(row => row.pool))],
        pools,
    };
};

const earliestDueCandidate = (pools: readonly EligiblePool[]): MaintenanceCandidate | undefined =>
    pools
        .filter(pool => pool.maxStarts > 0)
        .flatMap(pool => pool.candidates)
        .reduce<MaintenanceCandidate | undefined>(
            (first, next) => (first === undefined || next.dueMs < first.dueMs ? next : first),
            undefined,
        );

/** Selects up to `maxStarts` VMs of one rack in the data centre, preferably of a rack already in maintenance. */
const selectRackCandidates = (
    pool: EligiblePool,
    wave: WaveState,
    dataCentre: string,
): readonly MaintenanceCandidate[] => {
    const inDataCentre = pool.candidates.filter(({ location }) => location.dataCentre === dataCentre).sort(byDueTime);
    const inActiveRack = inDataCentre.find(({ location }) => wave.busy.some(active => isSameRack(active, location)));
    const rack = pool.activeRack ?? (inActiveRack ?? inDataCentre[0])?.location;
    return rack === undefined
        ? []
        : inDataCentre.filter(({ location }) => isSameRack(location, rack)).slice(0, Math.max(0, pool.maxStarts));
};

/**
 * Starts maintenance of VMs that are due. At any time, VMs in maintenance are in one data centre, and those of a pool
 * are in one rack. Each pool keeps the larger of `minAvailable` and the number of VMs that its load requires available,
 * and at most `maxPoolsInMaintenance` pools have VMs in maintenance. VMs whose drain or reboot has timed out
 * (`isStalled`) do not count for the limits on data centres, racks and pools.
 */
export const startWave = (plan: Plan): Plan => {
    const statuses = poolStatuses(plan).rows;
    if (statuses.every(status => status.due.length === 0)) {
        return plan;
    }
    if (
        plan.assignments.rows.some(row => isInMaintenance(row) && !isStalled(plan, row) && !plan.locations.has(row.vm))
    ) {
        // After a manager restart, the location of a rebooting VM is unknown until the platform lists it again. No
        // maintenance starts before that, because it could be in another rack or data centre.
        return plan;
    }
    const poolsWithLoss = poolsWithCorrelatedLoss(plan);
    const wave = collectWaveState(plan, statuses, poolsWithLoss);
    const dataCentre = (wave.busy[0] ?? earliestDueCandidate(wave.pools)?.location)?.dataCentre;
    const limit = plan.input.settings.maxPoolsInMaintenance - wave.activePools.length;
    const chosen = dataCentre === undefined ? [] : selectCandidates(wave, dataCentre, limit);
    return addDecisions(
        changeRows(plan, {
            written: chosen.map(({ row }) => drainingRow(plan, row, { kind: "maintenance" })),
            reasons: chosen.map(({ row }) => `drain ${row.vm} from ${row.pool}: maintenance`),
        }),
        waitingPools(plan, statuses, poolsWithLoss),
    );
};

const selectCandidates = (wave: WaveState, dataCentre: string, limit: number): readonly MaintenanceCandidate[] => {
    const choices = wave.pools
        .map(pool => ({ pool, chosen: selectRackCandidates(pool, wave, dataCentre) }))
        .filter(({ chosen }) => chosen.length > 0)
        .sort((left, right) => (left.chosen[0]?.dueMs ?? 0) - (right.chosen[0]?.dueMs ?? 0));
    const isActive = ({ pool }: { pool: EligiblePool }): boolean => wave.activePools.includes(pool.name);
    const continuing = choices.filter(isActive);
    const starting = choices.filter(choice => !isActive(choice)).slice(0, Math.max(0, limit));
    return [...continuing, ...starting].flatMap(({ chosen }) => chosen);
};

const waitingPools = (
    plan: Plan,
    statuses: readonly PoolStatus[],
    poolsWithLoss: readonly PoolName[],
): readonly WaitingDecision[] =>
    statuses
        .filter(status => status.due.length > 0 && status.inMaintenance === 0)
        .flatMap((status): readonly WaitingDecision[] => {
            const { name } = status.pool;
            if (poolsWithLoss.includes(name)) {
                return [{ kind: "waiting", subject: name, on: "correlated-loss", names: [name] }];
            }
            return status.available > status.required
                ? []
                : [{ kind: "waiting", subject: name, on: "budget", names: status.due.map(row => row.vm) }];
        });
