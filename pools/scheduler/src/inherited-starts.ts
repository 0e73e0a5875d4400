import type { ExecutorId, TaskId } from "@almondusher/jobs/ids";
import { areRunsRead } from "./inherited-runs.js";
import { hasLongestLeaseExpired } from "./lease-time.js";
import type { Executor, PoolTables, Task, UndeliveredStart } from "./pool-tables.js";
import {
    hasUndeliveredStart,
    hasUndeliveredStartOf,
    MAX_ORDER_DELAY_MS,
    unansweredStarts,
} from "./undelivered-starts.js";

/** Most undelivered starts that the row of a pool lease lists. */
export const MAX_LISTED_STARTS = 128;

/** Adds starts of earlier holders. One whose time is later than now counts as sent now. */
export const inheritStarts = (tables: PoolTables, starts: readonly UndeliveredStart[], nowMs: number): void =>
    starts
        .slice(0, MAX_LISTED_STARTS)
        .map(start => ({ ...start, sentAtMs: Math.min(start.sentAtMs, nowMs) }))
        .filter(start => isPending(start, nowMs))
        .forEach(start => {
            const known = tables.inheritedStarts.get(start.task) ?? [];
            tables.inheritedStarts.set(start.task, [...known, start]);
        });

/** Removes the starts of earlier holders that can no longer be carried out. */
export const dropPastInheritedStarts = (tables: PoolTables, nowMs: number): void =>
    tables.inheritedStarts.forEach((starts, task) =>
        replaceStarts(
            tables,
            task,
            starts.filter(start => isPending(start, nowMs)),
        ),
    );

/** Removes a start that an executor has carried out, as a report shows. */
export const forgetInheritedStart = (tables: PoolTables, executor: ExecutorId, task: TaskId, number: number): void => {
    const starts = tables.inheritedStarts.get(task);
    if (starts !== undefined) {
        replaceStarts(
            tables,
            task,
            starts.filter(start => start.executor !== executor || start.number !== number),
        );
    }
};

const replaceStarts = ({ inheritedStarts }: PoolTables, task: TaskId, starts: readonly UndeliveredStart[]): void => {
    if (starts.length === 0) {
        inheritedStarts.delete(task);
    } else {
        inheritedStarts.set(task, starts);
    }
};

const isPending = ({ sentAtMs }: Pick<UndeliveredStart, "sentAtMs">, nowMs: number): boolean =>
    nowMs < sentAtMs + MAX_ORDER_DELAY_MS;

/**
 * True if a start of an earlier holder may still run the task on an executor whose current incarnation has not been read:
 * reading it makes the start fail, since it shows a higher fencing token. An unreachable executor is waited for no longer
 * than the longest lease of the start.
 */
export const isHeldByInheritedStart = (tables: PoolTables, task: TaskId): boolean =>
    (tables.inheritedStarts.get(task) ?? []).some(start => {
        const executor = tables.executors.get(start.executor);
        return executor !== undefined && !areRunsRead(executor) && !hasExpired(tables, start, executor);
    });

const hasExpired = ({ maxLeaseMs }: PoolTables, { sentAtMs }: UndeliveredStart, executor: Executor): boolean =>
    !executor.reachable && hasLongestLeaseExpired(sentAtMs, maxLeaseMs, executor.unansweredPollSentAtMs);

/**
 * The starts of this holder and of earlier ones that got no response and may still be carried out, for the row of the pool
 * lease. Beyond the bound only the latest ones are listed.
 */
export const undeliveredStarts = (tables: PoolTables, nowMs: number): readonly UndeliveredStart[] =>
    [...[...tables.inheritedStarts.values()].flat(), ...unansweredStarts(tables, nowMs)]
        .filter(start => isPending(start, nowMs))
        .sort((left, right) => right.sentAtMs - left.sentAtMs)
        .slice(0, MAX_LISTED_STARTS);

/** Executors that may still carry out a start of the task, by this holder or an earlier one. */
export const executorsWithUndeliveredStart = (
    { executors, inheritedStarts }: PoolTables,
    task: Task,
    nowMs: number,
): ReadonlySet<ExecutorId> =>
    new Set([
        ...(inheritedStarts.get(task.id) ?? []).map(({ executor }) => executor),
        ...[...executors.values()].filter(executor => hasUndeliveredStartOf(executor, task, nowMs)).map(({ id }) => id),
    ]);

/**
 * True if a start that got no response, by this holder or an earlier one, may still reach a later incarnation of the executor.
 * A restart has to be noticed soon then, since the new incarnation knows neither the stop nor the fencing token that make such
 * a start fail.
 */
export const mayReceiveLateStart = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    hasUndeliveredStart(executor, nowMs) ||
    [...tables.inheritedStarts.values()].some(starts =>
        starts.some(start => start.executor === executor.id && isPending(start, nowMs)),
    );
