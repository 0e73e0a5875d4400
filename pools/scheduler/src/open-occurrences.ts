import { findRange, isInRanges, mergeRanges, type NumberRanges } from "@almondusher/fleet/number-ranges";
import { countDueOccurrences, occurrencesOf, stepIdOf, type Step } from "@almondusher/jobs/job";
import type { JobId, TaskId } from "@almondusher/jobs/ids";
import { isJobEnded, isOccurrenceCompleted } from "./job-progress.js";
import { openFirstTasks, openTask } from "./open-tasks.js";
import { isWaiting, type OpenJob, type OpenStep, type PoolTables, type Task } from "./pool-tables.js";

/** Most waiting tasks of repeated jobs that are open in a pool while further occurrences are due. */
export const MAX_WAITING_SCHEDULED_TASKS = 10_000;

/**
 * Creates the steps of occurrences that are due, in the order of their numbers, until the job has so many waiting tasks; for a
 * job without a waiting task one occurrence in any case.
 */
export const openDueOccurrences = (open: OpenJob, wallMs: number, maxWaitingTasks: number): void => {
    const due = countDueOccurrences(open.job, wallMs);
    let waitingTasks = skipKnownOccurrences(open) < due ? countWaitingTasks([...open.occurrences.values()].flat()) : 0;
    while (skipKnownOccurrences(open) < due && (waitingTasks === 0 || waitingTasks < maxWaitingTasks)) {
        waitingTasks += countWaitingTasks(addOccurrence(open, open.nextOccurrence));
    }
};

/** Opens due occurrences of all jobs of the pool, which share the number of tasks that may wait. */
export const openDueOccurrencesOfPool = (tables: PoolTables, wallMs: number): void => {
    const behind = [...tables.jobs.values()].filter(
        open =>
            open.job.schedule !== undefined &&
            !isJobEnded(open) &&
            open.nextOccurrence < countDueOccurrences(open.job, wallMs),
    );
    const maxWaitingTasks = MAX_WAITING_SCHEDULED_TASKS / behind.length;
    behind.forEach(open => openDueOccurrences(open, wallMs, maxWaitingTasks));
};

/** Moves the number of the next occurrence past those that are open or completed, and returns it. */
const skipKnownOccurrences = (open: OpenJob): number => {
    for (;;) {
        const { nextOccurrence } = open;
        const completed = findRange(open.completedOccurrences, nextOccurrence);
        if (completed !== undefined) {
            open.nextOccurrence = completed[1] + 1;
        } else if (open.occurrences.has(nextOccurrence)) {
            open.nextOccurrence++;
        } else {
            return nextOccurrence;
        }
    }
};

const countWaitingTasks = (steps: readonly OpenStep[]): number =>
    steps.reduce((sum, { tasks }) => sum + tasks.filter(isWaiting).length, 0);

/**
 * Closes those of the given occurrences of a repeated job all of whose tasks are done, so that later passes do not walk them. A
 * run that is still active there is stopped as a duplicate, or as one of an unknown task if it is reported later.
 */
export const closeCompletedOccurrences = (open: OpenJob, candidates: readonly number[]): void => {
    if (open.job.schedule === undefined) {
        return;
    }
    const completed = candidates.filter(occurrence => {
        const steps = open.occurrences.get(occurrence);
        return steps !== undefined && isOccurrenceCompleted(steps);
    });
    completed.forEach(occurrence => open.occurrences.delete(occurrence));
    if (completed.length > 0) {
        addCompletedOccurrences(
            open,
            completed.map(occurrence => [occurrence, occurrence]),
        );
    }
};

/** Records completed occurrences that are not open. */
const addCompletedOccurrences = (open: OpenJob, completed: NumberRanges): void => {
    open.completedOccurrences = mergeRanges(open.completedOccurrences, completed);
};

/**
 * Records occurrences that another holder of the pool lease has completed, and closes them. Ranges with an occurrence that the
 * job does not have are ignored.
 */
export const mergeCompletedOccurrences = (open: OpenJob, stored: NumberRanges): void => {
    const completed = stored.filter(([, last]) => last < occurrencesOf(open.job));
    addCompletedOccurrences(open, completed);
    [...open.occurrences.keys()]
        .filter(occurrence => isInRanges(completed, occurrence))
        .forEach(occurrence => open.occurrences.delete(occurrence));
};

const openSteps = (job: OpenJob, occurrence: number): readonly OpenStep[] =>
    job.job.steps.map((step, index) => openStep(job, occurrence, step, index));

const openStep = (job: OpenJob, occurrence: number, step: Step, index: number): OpenStep => {
    const open: OpenStep = {
        id: stepIdOf(job.id, occurrence, index),
        job,
        occurrence,
        index,
        step,
        tasks: [],
        doneTasks: [],
        nextTask: 0,
        remaining: step.count,
        criticalPath: undefined,
    };
    openFirstTasks(open);
    return open;
};

/** Creates the steps of an occurrence. */
export const addOccurrence = (job: OpenJob, occurrence: number): readonly OpenStep[] => {
    const steps = openSteps(job, occurrence);
    job.occurrences.set(occurrence, steps);
    return steps;
};

/**
 * Finds a task of which an executor lists a run or an end; undefined unless its job is open. That shows that its occurrence
 * was due for an earlier holder of the pool lease, even if this process's clock is behind.
 */
export const findReportedTask = (tables: PoolTables, id: TaskId): Task | undefined => {
    const [jobId, number, step, index] = id.split(".");
    const job = tables.jobs.get(jobId as JobId);
    const occurrence = Number(number);
    if (job !== undefined && !job.occurrences.has(occurrence) && mayBeOpened(job, occurrence)) {
        addOccurrence(job, occurrence);
    }
    const open = job?.occurrences.get(occurrence)?.[Number(step)];
    return open === undefined ? undefined : openTask(open, Number(index));
};

/** True for the number of an occurrence that the job has and that is not completed. */
export const mayBeOpened = ({ job, completedOccurrences }: OpenJob, occurrence: number): boolean =>
    Number.isInteger(occurrence) &&
    occurrence >= 0 &&
    occurrence < occurrencesOf(job) &&
    !isInRanges(completedOccurrences, occurrence);
