import type { DataCentreName, PoolName } from "@almondusher/fleet/ids";
import { countPendingJobs } from "@almondusher/scheduler/job-progress";
import { areInheritedRunsOver } from "@almondusher/scheduler/inherited-runs";
import type { Executor, PoolTables } from "@almondusher/scheduler/pool-tables";
import type { ListedExecutor, PendingCount } from "./lease-rows.js";

const UNKNOWN_DATA_CENTRE = "" as DataCentreName;

/** Counts the jobs of each queue that have not started. */
export const pendingCounts = (tables: PoolTables): readonly PendingCount[] =>
    [...countPendingJobs(tables)].map(([queue, jobs]) => ({ queue, jobs }));

/**
 * Returns the IDs of the evacuations whose VMs have no runs left. On an executor that cannot be reached runs of an earlier
 * holder may be active until their leases have expired.
 */
export const completedEvacuations = (tables: PoolTables, nowMs: number): readonly string[] => {
    const executors = [...tables.executors.values()].filter(({ evacuation }) => evacuation !== undefined);
    // A VM may have an entry for an earlier executor in addition to that of its current one.
    const incompleteIds = new Set(
        executors.filter(executor => !isEvacuated(tables, executor, nowMs)).map(({ evacuation }) => evacuation?.id),
    );
    const ids = new Set(executors.map(({ evacuation }) => evacuation?.id).filter(id => id !== undefined));
    return [...ids].filter(id => !incompleteIds.has(id));
};

/**
 * Executors that may have runs or get some, to be stored in the lease. A successor waits for those that it cannot reach, so
 * executors that ended with their VMs must not be among them: evacuated ones, which are moved or maintained next, and
 * unreachable ones without runs.
 */
export const executorsToList = (tables: PoolTables, nowMs: number): readonly Executor[] =>
    [...tables.executors.values()].filter(executor => mayGetRuns(executor) || mayHaveRuns(tables, executor, nowMs));

const mayGetRuns = ({ registered, reachable, evacuation }: Executor): boolean =>
    registered && reachable && evacuation === undefined;

const mayHaveRuns = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    executor.runs.size > 0 || executor.orphanedRuns.length > 0 || !areInheritedRunsOver(tables, executor, nowMs);

/**
 * Returns the executors to store in the lease with a renewal. Those that it leaves out get no runs until a later renewal
 * lists them again.
 */
export const listExecutors = (tables: PoolTables, nowMs: number): readonly ListedExecutor[] => {
    const listed = new Set(executorsToList(tables, nowMs));
    [...tables.executors.values()]
        .filter(executor => !listed.has(executor))
        .forEach(executor => (executor.listedInLease = false));
    return [...listed].map(({ id, record }) => ({ id, address: record.address }));
};

const isEvacuated = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    executor.runs.size === 0 &&
    executor.orphanedRuns.length === 0 &&
    (executor.reconciled || (!executor.reachable && areInheritedRunsOver(tables, executor, nowMs)));

/** Returns a placeholder for an executor of which only the address is known until its registry entry has been read. */
export const placeholderRecord = (pool: PoolName, { id, address }: ListedExecutor): Executor["record"] => ({
    id,
    vm: undefined,
    pool,
    address,
    dataCentre: UNKNOWN_DATA_CENTRE,
    draining: false,
    remainingMs: undefined,
    capacity: { cpu: 0, memoryMb: 0, gpu: 0 },
    labels: [],
    startedAtMs: 0,
    clockMs: undefined,
});
