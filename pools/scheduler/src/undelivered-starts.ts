import type { Executor, PoolTables, Run, Task, UndeliveredStart } from "./pool-tables.js";

/** A call without a response may be carried out up to this time after it was sent, in milliseconds. */
export const MAX_ORDER_DELAY_MS = 15_000;

/** True if the start request of a run may still be carried out, unless something makes it fail. */
export const mayStillArrive = ({ isStartDelivered, startedAtMs }: Run, nowMs: number): boolean =>
    !isStartDelivered && nowMs < startedAtMs + MAX_ORDER_DELAY_MS;

/**
 * Keeps the start request of a run that is given up, if it may not have reached the executor. What makes it fail there, a
 * stop or the end of its lease, is lost when the executor restarts under its id.
 */
export const keepUndeliveredStart = (run: Run, nowMs: number): void => {
    const { executor } = run;
    executor.undeliveredStarts = [...executor.undeliveredStarts, run].filter(start => mayStillArrive(start, nowMs));
};

/** True if a start request that was given up may still reach a later incarnation of the executor. */
export const hasUndeliveredStart = ({ undeliveredStarts }: Executor, nowMs: number): boolean =>
    undeliveredStarts.some(run => mayStillArrive(run, nowMs));

/** True if a start request of a task that was given up may still reach a later incarnation of the executor. */
export const hasUndeliveredStartOf = ({ undeliveredStarts }: Executor, task: Task, nowMs: number): boolean =>
    undeliveredStarts.some(run => run.task === task && mayStillArrive(run, nowMs));

/** Returns the runs whose start requests may still reach the executor, and keeps none of them. */
export const takeUndeliveredStarts = (executor: Executor, nowMs: number): readonly Run[] => {
    const { undeliveredStarts } = executor;
    executor.undeliveredStarts = [];
    return undeliveredStarts.filter(run => mayStillArrive(run, nowMs));
};

/** The starts of this holder that got no response and may still be carried out. */
export const unansweredStarts = (tables: PoolTables, nowMs: number): readonly UndeliveredStart[] =>
    [...tables.executors.values()]
        .flatMap(({ runs, undeliveredStarts }) => [
            ...[...runs.values()].filter(({ unansweredAtMs }) => unansweredAtMs !== undefined),
            ...undeliveredStarts,
        ])
        .filter(run => mayStillArrive(run, nowMs))
        .map(({ executor, task, number, startedAtMs }) => ({
            executor: executor.id,
            task: task.id,
            number,
            sentAtMs: startedAtMs,
        }));
