import type { Assignment } from "@almondusher/fleet/assignment";
import type { PoolName } from "@almondusher/fleet/ids";
import { isUp } from "./budget.js";
import type { Waiting } from "./decision.js";
import { drainingRow } from "./drains.js";
import { locationOf, type PoolStatus, poolStatuses, poolsWithLoss } from "./fleet-view.js";
import { dueAtMs, isInMaintenance } from "./maintenance-due.js";
import { addDecisions, changeRows, type Plan, type VmLocation } from "./plan.js";
import { lasted } from "./planner-state.js";

/** Puts VMs that drain for maintenance back to service where their pool has fallen below its budget. */
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

interface Candidate {
    readonly row: Assignment;
    readonly location: VmLocation;
    readonly dueMs: number;
}

// A VM that takes too long is counted as down by the budget, but must not stop maintenance everywhere else.
const isSlow = (plan: Plan, row: Assignment): boolean => {
    const { settings, nowMs } = plan.input;
    const age = lasted(plan.plannerState.unavailableSince, row.vm, nowMs);
    return (
        age >
        (row.phase.kind === "maintenance" ? settings.slowDrainMs + settings.rebootTimeoutMs : settings.slowDrainMs)
    );
};

const candidatesOf = (plan: Plan, status: PoolStatus): readonly Candidate[] =>
    status.due.flatMap(row => {
        const location = locationOf(plan, row.vm);
        return location === undefined ? [] : [{ row, location, dueMs: dueAtMs(plan, row) }];
    });

const byDue = (left: Candidate, right: Candidate): number => left.dueMs - right.dueMs;

interface WavePool {
    readonly name: PoolName;
    /** VMs that may start now by the budget and the load. */
    readonly allowed: number;
    readonly candidates: readonly Candidate[];
    /** Rack in which the pool has VMs in maintenance. */
    readonly busyRack: VmLocation | undefined;
}

interface Wave {
    readonly busy: readonly VmLocation[];
    readonly busyPools: readonly PoolName[];
    readonly pools: readonly WavePool[];
}

const isSameRack = (left: VmLocation, right: VmLocation): boolean =>
    left.rack === right.rack && left.dataCentre === right.dataCentre;

const surveyWave = (plan: Plan, statuses: readonly PoolStatus[], lossPools: readonly PoolName[]): Wave => {
    const rows = plan.assignments.rows.filter(row => isInMaintenance(row) && !isSlow(plan, row));
    const located = rows.flatMap(row => {
        const location = locationOf(plan, row.vm);
        return location === undefined ? [] : [{ pool: row.pool, location }];
    });
    const pools = statuses
        .filter(status => status.due.length > 0 && !lossPools.includes(status.pool.name))
        .map(status => ({
            name: status.pool.name,
            allowed: status.available - status.required,
            candidates: candidatesOf(plan, status),
            busyRack: located.find(({ pool }) => pool === status.pool.name)?.location,
        }));
    return {
        busy: located.map(({ location }) => location),
        busyPools: [...new Set(rows.map(row => row.pool))],
        pools,
    };
};

const firstCandidate = (pools: readonly WavePool[]): Candidate | undefined =>
    pools
        .filter(pool => pool.allowed > 0)
        .flatMap(pool => pool.candidates)
        .reduce<Candidate | undefined>(
            (first, next) => (first === undefined || next.dueMs < first.dueMs ? next : first),
            undefined,
        );

/** The VMs of a pool that start now: all of one rack in the given data centre, as many as allowed. */
const chooseRack = (pool: WavePool, wave: Wave, dataCentre: string): readonly Candidate[] => {
    const here = pool.candidates.filter(({ location }) => location.dataCentre === dataCentre).sort(byDue);
    const shared = here.find(({ location }) => wave.busy.some(busy => isSameRack(busy, location)));
    const rack = pool.busyRack ?? (shared ?? here[0])?.location;
    return rack === undefined
        ? []
        : here.filter(({ location }) => isSameRack(location, rack)).slice(0, Math.max(0, pool.allowed));
};

/**
 * Starts maintenance of VMs that are due: in one data centre at a time, in each pool one rack at a time, as many VMs as
 * the budget and the load of their pool permit, in a limited number of pools at once.
 */
export const startWave = (plan: Plan): Plan => {
    const statuses = poolStatuses(plan).rows;
    if (statuses.every(status => status.due.length === 0)) {
        return plan;
    }
    if (plan.assignments.rows.some(row => isInMaintenance(row) && !isSlow(plan, row) && !plan.locations.has(row.vm))) {
        // A manager that has just started waits for the reboots under way, since it cannot tell where they are.
        return plan;
    }
    const lossPools = poolsWithLoss(plan);
    const wave = surveyWave(plan, statuses, lossPools);
    const dataCentre = (wave.busy[0] ?? firstCandidate(wave.pools)?.location)?.dataCentre;
    const limit = plan.input.settings.maxPoolsInMaintenance - wave.busyPools.length;
    const chosen = dataCentre === undefined ? [] : choosePools(wave, dataCentre, limit);
    return addDecisions(
        changeRows(plan, {
            written: chosen.map(({ row }) => drainingRow(plan, row, { kind: "maintenance" })),
            reasons: chosen.map(({ row }) => `drain ${row.vm} from ${row.pool}: maintenance`),
        }),
        explainWaiting(plan, statuses, lossPools),
    );
};

const choosePools = (wave: Wave, dataCentre: string, limit: number): readonly Candidate[] => {
    const choices = wave.pools
        .map(pool => ({ pool, chosen: chooseRack(pool, wave, dataCentre) }))
        .filter(({ chosen }) => chosen.length > 0)
        .sort((left, right) => (left.chosen[0]?.dueMs ?? 0) - (right.chosen[0]?.dueMs ?? 0));
    const isBusy = ({ pool }: { pool: WavePool }): boolean => wave.busyPools.includes(pool.name);
    const begun = choices.filter(isBusy);
    const fresh = choices.filter(choice => !isBusy(choice)).slice(0, Math.max(0, limit));
    return [...begun, ...fresh].flatMap(({ chosen }) => chosen);
};

const explainWaiting = (
    plan: Plan,
    statuses: readonly PoolStatus[],
    lossPools: readonly PoolName[],
): readonly Waiting[] =>
    statuses
        .filter(status => status.due.length > 0 && status.inMaintenance === 0)
        .flatMap((status): readonly Waiting[] => {
            const { name } = status.pool;
            if (lossPools.includes(name)) {
                return [{ kind: "waiting", subject: name, on: "correlated-loss", names: [name] }];
            }
            return status.available > status.required
                ? []
                : [{ kind: "waiting", subject: name, on: "budget", names: status.due.map(row => row.vm) }];
        });
