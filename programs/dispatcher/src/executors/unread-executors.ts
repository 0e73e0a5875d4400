import type { DataCentreName, PoolName } from "@almondusher/fleet/ids";
import { addUnregistered } from "@almondusher/scheduler/executor-table";
import { areRunsRead, inheritedWaitEndMs } from "@almondusher/scheduler/inherited-runs";
import type { Executor, PoolTables } from "@almondusher/scheduler/pool-tables";
import type { ListedExecutor } from "../leases/lease-rows.js";

const UNKNOWN_DATA_CENTRE = "" as DataCentreName;

/** Returns the executors without the marks of a holder that has not read them. */
export const withoutMarks = (executors: readonly ListedExecutor[]): readonly ListedExecutor[] =>
    executors.map(({ id, address }) => ({ id, address }));

/** Returns the executors with their marks as they apply some time, in milliseconds, after their row was written. */
export const marksAfter = (executors: readonly ListedExecutor[], elapsedMs: number): readonly ListedExecutor[] =>
    executors.map(({ id, address, earlierRunsForMs }) => ({
        id,
        address,
        earlierRunsForMs: earlierRunsForMs === undefined ? undefined : Math.max(0, earlierRunsForMs - elapsedMs),
    }));

/**
 * Marks a listed executor as not read if it cannot be reached and nothing was done there under the current lease. From then
 * on no report of it is applied before a row without the mark is stored.
 */
export const markIfUnread = (tables: PoolTables, executor: Executor, nowMs: number): ListedExecutor => {
    const listed = { id: executor.id, address: executor.record.address };
    if (executor.reachable || executor.wasRead || areRunsRead(executor)) {
        return listed;
    }
    executor.isMarkedUnread = true;
    return { ...listed, earlierRunsForMs: Math.max(0, Math.ceil(inheritedWaitEndMs(tables, executor) - nowMs)) };
};

/** Removes the marks that the stored executors do not have; returns whether there were any. */
export const removeMarks = (tables: PoolTables, stored: readonly ListedExecutor[]): boolean => {
    const marked = new Set(stored.filter(({ earlierRunsForMs }) => earlierRunsForMs !== undefined).map(({ id }) => id));
    const changed = [...tables.executors.values()].filter(
        ({ id, isMarkedUnread }) => isMarkedUnread && !marked.has(id),
    );
    changed.forEach(executor => (executor.isMarkedUnread = false));
    return changed.length > 0;
};

/** What a new holder knows of the executors of the previous one. */
export interface InheritedExecutors {
    readonly pool: PoolName;
    readonly executors: readonly ListedExecutor[];
    /** How long the row was observed unchanged before the takeover, in milliseconds. */
    readonly unrenewedMs: number;
    readonly nowMs: number;
}

/**
 * Adds the executors in the row of the previous holder. For those that it had not read, the wait ends when its own would
 * have ended, and never later than for the others.
 */
export const addInherited = (tables: PoolTables, { pool, executors, unrenewedMs, nowMs }: InheritedExecutors): void => {
    executors.forEach(listed => addUnregistered(tables, placeholderRecord(pool, listed)));
    marksAfter(executors, unrenewedMs).forEach(({ id, earlierRunsForMs }) => {
        const executor = tables.executors.get(id);
        if (executor !== undefined && earlierRunsForMs !== undefined) {
            executor.isMarkedUnread = true;
            executor.reachable = false;
            executor.inheritedWaitUntilMs = Math.min(nowMs + earlierRunsForMs, tables.inheritedWaitUntilMs);
        }
    });
};

// Only the address of the executor is known until its registry entry has been read.
const placeholderRecord = (pool: PoolName, { id, address }: ListedExecutor): Executor["record"] => ({
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
