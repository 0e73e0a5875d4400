import { countPendingJobs } from "@almondusher/scheduler/job-progress";
import { areInheritedRunsOver } from "@almondusher/scheduler/inherited-runs";
import type { Executor, PoolTables } from "@almondusher/scheduler/pool-tables";
import type { ListedExecutor, PendingCount } from "../leases/lease-rows.js";
import { markIfUnread } from "../executors/unread-executors.js";

/** Counts the jobs of each queue that have not started. */
export const pendingCounts = (tables: PoolTables): readonly PendingCount[] =>
    [...countPendingJobs(tables)].map(([queue, jobs]) => ({ queue, jobs }));

/** Returns the IDs of the evacuations whose VMs have no runs left. */
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
    return [...listed].map(executor => markIfUnread(tables, executor, nowMs));
};

// An executor that this holder has not reached may have runs of earlier ones.
const isEvacuated = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    executor.runs.size === 0 &&
    executor.orphanedRuns.length === 0 &&
    (executor.reachable ? executor.reconciled : areInheritedRunsOver(tables, executor, nowMs));
