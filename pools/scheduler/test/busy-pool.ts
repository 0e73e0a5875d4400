import type { Step } from "@almondusher/jobs/job";
import type { PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { allRuns, forgetRun } from "@almondusher/scheduler/run-table";
import { addJob, place } from "./fixture.js";

/** A pool with more short work than it can run. */
export interface BusyPool {
    readonly nowMs: () => number;
    /** Ends what has run for its time, adds short work and places tasks, until the condition holds or the time is over. */
    readonly playUntil: (isOver: () => boolean, durationMs: number) => void;
    /** Runs of tasks that last. */
    readonly lastingRuns: () => readonly Run[];
}

export interface BusyPoolOptions {
    readonly tables: PoolTables;
    /** Steps of the short work, each added again whenever none of it waits. */
    readonly backlog: readonly Step[];
    /** Executors report the progress of their runs. */
    readonly reportsProgress: boolean;
}

// Time between two passes, in milliseconds.
const PASS_INTERVAL_MS = 50;

export const createBusyPool = ({ tables, backlog, reportsProgress }: BusyPoolOptions): BusyPool => {
    let nowMs = 0;
    let added = 0;
    // The first runs end at different times, so that room becomes free in parts.
    const workMsOf = (run: Run): number =>
        run.task.step.step.estimateMs * (run.startedAtMs === 0 ? ((run.number % 8) + 1) / 8 : 1);
    const isShort = ({ task }: Run): boolean => !task.step.step.longRunning;
    const advance = (): void => {
        allRuns(tables)
            .filter(isShort)
            .forEach(run => {
                const share = (nowMs - run.startedAtMs) / workMsOf(run);
                run.phase = "running";
                run.percent = reportsProgress ? Math.min(100, Math.round(100 * share)) : 0;
                if (share >= 1) {
                    forgetRun(run);
                    run.task.done = true;
                    run.task.step.remaining--;
                }
            });
        backlog.forEach((step, index) => {
            const isWaiting = [...tables.jobs.values()].some(({ id, occurrences }) =>
                id.startsWith(`short${index}-`)
                    ? [...occurrences.values()]
                          .flat()
                          .some(({ tasks }) => tasks.some(task => task.runs.length === 0 && !task.done))
                    : false,
            );
            if (!isWaiting) {
                addJob(tables, { id: `short${index}-${added++}`, steps: [step], arrivedAtMs: nowMs });
            }
        });
        place(tables, nowMs);
    };
    return {
        nowMs: () => nowMs,
        playUntil: (isOver, durationMs) => {
            const endMs = nowMs + durationMs;
            while (!isOver() && nowMs < endMs) {
                advance();
                nowMs += PASS_INTERVAL_MS;
            }
        },
        lastingRuns: () => allRuns(tables).filter(run => !isShort(run)),
    };
};
