import { countInRanges } from "@almondusher/fleet/number-ranges";
import type { QueueName } from "@almondusher/jobs/ids";
import { occurrencesOf } from "@almondusher/jobs/job";
import type { Progress, StepProgress, TaskFailures } from "@almondusher/jobs/progress";
import type { OpenJob, OpenStep, PoolTables, Task } from "./pool-tables.js";

/** Progress of a job as it is stored; for one in a final state, the state alone. */
export const progressOf = (job: OpenJob): Progress =>
    isJobEnded(job)
        ? { state: job.state, steps: [] }
        : {
              state: job.state,
              steps: [...job.occurrences.values()].flat().map(stepProgress).filter(hasContent),
              ...(job.completedOccurrences.length === 0 ? {} : { completedOccurrences: job.completedOccurrences }),
          };

const stepProgress = (step: OpenStep): StepProgress => ({
    occurrence: step.occurrence,
    step: step.index,
    done: doneIndexes(step),
    failures: step.tasks.filter(hasCountedFailures).map(toTaskFailures),
    checkpoints: step.tasks.filter(isResumable).map(({ index, checkpoint }) => ({ index, checkpoint })),
});

// The open tasks of a step are all of them, or none of those that are done.
const doneIndexes = ({ doneTasks, tasks }: OpenStep): readonly number[] =>
    doneTasks.length > 0
        ? doneTasks.flatMap(([first, last]) =>
              Array.from({ length: last - first + 1 }, (unused, offset) => first + offset),
          )
        : tasks.filter(task => task.done).map(task => task.index);

const toTaskFailures = ({ index, failures, failedRuns, countedUpToRun }: Task): TaskFailures => ({
    index,
    attempts: failures,
    lastRun: Math.max(countedUpToRun, ...failedRuns),
    // Without a list, all runs up to `lastRun` are counted.
    ...(countedUpToRun > 0 ? {} : { runs: [...failedRuns] }),
});

const hasCountedFailures = ({ done, failures }: Task): boolean => !done && failures > 0;

const isResumable = ({ done, checkpoint }: Task): boolean => !done && checkpoint !== "";

const hasContent = ({ done, failures, checkpoints }: StepProgress): boolean =>
    done.length + failures.length + checkpoints.length > 0;

/** True once every task of every occurrence is done. */
export const isCompleted = (job: OpenJob): boolean =>
    job.occurrences.size + countInRanges(job.completedOccurrences) === occurrencesOf(job.job) &&
    [...job.occurrences.values()].every(isOccurrenceCompleted);

/** True if all tasks of an occurrence, given by its steps, are done. */
export const isOccurrenceCompleted = (steps: readonly OpenStep[]): boolean => steps.every(step => step.remaining === 0);

/** True for a step with remaining tasks whose dependencies are all done. */
export const isReady = (step: OpenStep): boolean => {
    const steps = step.job.occurrences.get(step.occurrence);
    return step.remaining > 0 && step.step.after.every(earlier => steps?.[earlier]?.remaining === 0);
};

/** Records that an executor has begun a task of the job. */
export const markStarted = (job: OpenJob): void => {
    if (job.state === "queued") {
        job.state = "running";
    }
};

/** Number of accepted jobs of which no executor is known to have begun a task, by queue. */
export const countPendingJobs = (tables: PoolTables): ReadonlyMap<QueueName, number> => {
    const counts = new Map<QueueName, number>();
    tables.jobs.forEach(({ queue, state }) =>
        counts.set(queue, (counts.get(queue) ?? 0) + (state === "queued" ? 1 : 0)),
    );
    return counts;
};

/** True for a job in a final state, which must not start further runs. */
export const isJobEnded = ({ state }: OpenJob): boolean => state !== "queued" && state !== "running";
