import { countInRanges, isInRanges, mergeRanges } from "@almondusher/fleet/number-ranges";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { taskIdOf } from "@almondusher/jobs/job";
import { isJobEnded, isReady } from "./job-progress.js";
import {
    findOpenTask,
    findPosition,
    isWaiting,
    stepsOf,
    type OpenStep,
    type PoolTables,
    type Task,
} from "./pool-tables.js";

/** Tasks of a step that are opened with it; a step with more of them opens the others in the order of their indexes. */
export const FIRST_OPEN_TASKS = 32;
/** Most waiting tasks that large steps of a pool have open, apart from the first ones of each step. */
export const MAX_WAITING_TASKS = 10_000;

/** True for a step whose tasks are opened as they may start. A gang starts as a whole, and a long-running task is never done. */
const isOpenedInParts = ({ step }: OpenStep): boolean =>
    step.count > FIRST_OPEN_TASKS && !step.gang && !step.longRunning;

/** Opens the first tasks of a step, or all of them. */
export const openFirstTasks = (step: OpenStep): void =>
    openNextTasks(step, isOpenedInParts(step) ? FIRST_OPEN_TASKS : step.step.count);

/** Opens further tasks of the steps that may start tasks; they share the number of tasks that may wait. */
export const openWaitingTasks = (tables: PoolTables): void => {
    const steps = [...tables.jobs.values()]
        .filter(job => !isJobEnded(job))
        .flatMap(stepsOf)
        .filter(step => hasUnopenedTasks(step) && isReady(step));
    const share = Math.max(1, Math.floor(MAX_WAITING_TASKS / steps.length));
    steps.forEach(step => openNextTasks(step, share - step.tasks.filter(isWaiting).length));
};

const hasUnopenedTasks = ({ nextTask, step }: OpenStep): boolean => nextTask < step.count;

const openNextTasks = (step: OpenStep, count: number): void => {
    let opened = 0;
    while (opened < count && hasUnopenedTasks(step)) {
        const index = step.nextTask++;
        if (findOpenTask(step, index) === undefined && !isInRanges(step.doneTasks, index)) {
            addTask(step, index);
            opened++;
        }
    }
};

/** Returns a task by its index, and opens it if necessary; undefined if the step does not have it or it is done. */
export const openTask = (step: OpenStep, index: number): Task | undefined =>
    findOpenTask(step, index) ??
    (Number.isInteger(index) && index >= 0 && index < step.step.count && !isInRanges(step.doneTasks, index)
        ? addTask(step, index)
        : undefined);

const addTask = (step: OpenStep, index: number): Task => {
    const task: Task = {
        id: taskIdOf(step.id, index),
        step,
        index,
        done: false,
        failures: 0,
        failedRuns: new Set<number>(),
        countedUpToRun: 0,
        checkpoint: "",
        givenUpAtMs: Number.NEGATIVE_INFINITY,
        reservation: undefined,
        runs: [],
        failedOn: new Set<ExecutorId>(),
    };
    (step.tasks as Task[]).splice(findPosition(step.tasks, index), 0, task);
    return task;
};

/**
 * Marks an open task as done. One of a step that is opened in parts is closed: a run of it that is still active is stopped as a
 * duplicate, or as one of an unknown task if it is reported later.
 */
export const markDone = (task: Task): void => {
    const { step } = task;
    task.done = true;
    step.remaining--;
    if (isOpenedInParts(step)) {
        const tasks = step.tasks as Task[];
        tasks.splice(findPosition(tasks, task.index), 1);
        step.doneTasks = mergeRanges(step.doneTasks, [[task.index, task.index]]);
    }
};

/** Marks tasks of a step as done, given by their indexes. */
export const markTasksDone = (step: OpenStep, indexes: readonly number[]): void => {
    const closed = indexes.filter(index => findOpenTask(step, index) === undefined);
    indexes.forEach(index => {
        const task = findOpenTask(step, index);
        if (task !== undefined && !task.done) {
            markDone(task);
        }
    });
    addDoneTasks(step, closed);
};

/** Records that tasks are done which are not open. */
const addDoneTasks = (step: OpenStep, indexes: readonly number[]): void => {
    const before = countInRanges(step.doneTasks);
    const added = indexes.filter(index => index < step.step.count);
    step.doneTasks = mergeRanges(
        step.doneTasks,
        added.map(index => [index, index]),
    );
    step.remaining -= countInRanges(step.doneTasks) - before;
};
