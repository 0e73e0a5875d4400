import type { ExecutorStandIn, StartedRun } from "@almondusher/job-platform-stand-in/executor";

/** What the runs on the executors show of the promise that each task runs once. */
export interface RunChecks {
    /** Task of each run during which another run of the same task was active; a task may be listed several times. */
    readonly overlappingRuns: readonly string[];
    /** Tasks that were started after an acknowledged end as done. */
    readonly startedAfterDone: readonly string[];
    /**
     * Tasks that would be in one of the lists above, but for a start that was ordered in a former life of its executor, got
     * no response and was carried out after its restart. The executor has forgotten the stop of such a start.
     */
    readonly startedByFormerLife: readonly string[];
}

/** Checks that each task ran once; a start that its stand-in records as one from a former life is listed apart. */
export const checkRuns = (executors: readonly Pick<ExecutorStandIn, "started">[]): RunChecks => {
    const runs = executors.flatMap(({ started }) => started);
    const overlapping = runs.flatMap(run => runs.filter(other => isActiveAtStart(run, other)).map(() => run));
    const afterDone = runs.filter(run => runs.some(other => isDoneBefore(run, other)));
    return {
        overlappingRuns: overlapping.filter(isOrderedInThisLife).map(taskOf),
        startedAfterDone: afterDone.filter(isOrderedInThisLife).map(taskOf),
        startedByFormerLife: [...new Set([...overlapping, ...afterDone].filter(isOrderedInFormerLife).map(taskOf))],
    };
};

const taskOf = ({ task }: StartedRun): string => task;

const isOrderedInFormerLife = ({ isFromFormerLife }: StartedRun): boolean => isFromFormerLife;

const isOrderedInThisLife = ({ isFromFormerLife }: StartedRun): boolean => !isFromFormerLife;

/** True if the other run of the task was active when the run started. */
const isActiveAtStart = (run: StartedRun, other: StartedRun): boolean =>
    other !== run &&
    other.task === run.task &&
    other.startedAtMs <= run.startedAtMs &&
    run.startedAtMs < (other.endedAtMs ?? Infinity);

/** True if the other run of the task had ended as done when the run started, and that end was acknowledged by now. */
const isDoneBefore = (run: StartedRun, { task, how, endAcknowledged, endedAtMs = Infinity }: StartedRun): boolean =>
    task === run.task && how === "done" && endAcknowledged && run.startedAtMs > endedAtMs;
