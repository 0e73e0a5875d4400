import type { RoomInUse, Candidate, Commitment } from "@almondusher/selection/select-jobs";
import type { Stage } from "@almondusher/selection/room-profile";
import { densityOf, isNeglected, recordServed, recordSize, sizeClassOf } from "@almondusher/selection/job-sizes";
import { selectJobs } from "@almondusher/selection/select-jobs";
import type { JobId } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import { tasksPerVm } from "./demand.js";
import { isUsable } from "./executor-usability.js";
import { hasBegun, isJobEnded } from "./job-progress.js";
import { completionObjective, expectedRunMs, LATE_MARGIN_MS } from "./order-steps.js";
import { longestRunMs } from "./learned-times.js";
import {
    isWaiting,
    stepsOf,
    type Executor,
    type OpenJob,
    type OpenStep,
    type PoolTables,
    type Run,
} from "./pool-tables.js";
import { demandOf, maxOfEach } from "./resources.js";
import type { Overload } from "./selection-state.js";

/** What the remaining stages of a job are determined from. */
interface PoolRoom {
    /** Room for tasks that end by themselves, in VMs. */
    readonly room: number;
    readonly vmCapacity: Resources;
    readonly nowMs: number;
}

/** Remaining work of an occurrence of a job. */
interface RemainingStages {
    readonly stages: readonly Stage[];
    /** Expected time until the last stage ends if all start as early as they may, in milliseconds. */
    readonly pathMs: number;
    /** Part of the path that is needed because steps are too wide to run at once, in milliseconds. */
    readonly wavesMs: number;
}

// Jobs that arrive in between wait for the next selection, so this is short against the time in which callers expect an end.
const MIN_INTERVAL_MS = 100;
// A selection among many jobs takes long, so that it is made less often.
const INTERVAL_PER_JOB_MS = 0.2;
// A wider step is planned in several waves, so that one job does not take the whole pool.
const MAX_SHARE_OF_ROOM = 0.25;
// Part of a job's slack that is kept for errors of the estimates and the way of orders and reports.
const MARGIN_SHARE = 0.5;
// A job that waits for longer than this multiple of the time in which it was to complete is served among those in time.
const OVERDUE_FACTOR = 3;

/** Selects the jobs that are to be in time; false if that was done shortly before. */
export const updateSelection = (tables: PoolTables, nowMs: number): boolean => {
    const { selection } = tables;
    if (nowMs < selection.nextAtMs) {
        return false;
    }
    const executors = [...tables.executors.values()].filter(executor => isUsable(tables, executor, nowMs));
    const jobs = [...tables.jobs.values()].filter(job => !isJobEnded(job) && stepsOf(job).some(isTimed));
    selection.nextAtMs = nowMs + Math.max(MIN_INTERVAL_MS, jobs.length * INTERVAL_PER_JOB_MS);
    jobs.forEach(job => recordNewJob(tables, job));
    const waiting = jobs.filter(job => stepsOf(job).some(step => isTimed(step) && step.tasks.some(isWaiting)));
    selection.overload =
        executors.length === 0 || waiting.length === 0
            ? undefined
            : selectWaiting(tables, { executors, jobs, waiting, nowMs });
    return true;
};

/** What a selection is made from. */
interface SelectionInput {
    readonly executors: readonly Executor[];
    readonly jobs: readonly OpenJob[];
    /** Jobs with tasks that wait. */
    readonly waiting: readonly OpenJob[];
    readonly nowMs: number;
}

const selectWaiting = (
    tables: PoolTables,
    { executors, jobs, waiting, nowMs }: SelectionInput,
): Overload | undefined => {
    const { selection } = tables;
    const vmCapacity = maxOfEach(executors.map(({ record }) => record.capacity));
    const pool = { room: sumOf(executors, executor => roomOf(executor, vmCapacity)), vmCapacity, nowMs };
    selection.overdue = selection.overload === undefined ? undefined : findOverdue(tables, waiting, nowMs);
    const isOverdue = ({ id }: Candidate<JobId>): boolean => id === selection.overdue;
    const candidates = waiting.map(job => candidateOf(tables, job, pool));
    recordServedJobs(tables, jobs, candidates);
    const outcome = selectJobs<JobId>({
        room: pool.room,
        inUse: [
            ...executors.flatMap(executor => roomInUse(tables, executor, pool)),
            ...candidates.filter(isOverdue).flatMap(startingNow),
        ],
        candidates: candidates.filter(candidate => !isOverdue(candidate)),
    });
    switch (outcome.kind) {
        case "all-in-time":
            return undefined;
        case "overload":
            return outcome;
    }
};

const isTimed = ({ step }: OpenStep): boolean => !step.longRunning;

const sumOf = <Item>(items: readonly Item[], amountOf: (item: Item) => number): number =>
    items.reduce((sum, item) => sum + amountOf(item), 0);

/** Room of an executor for tasks that end by themselves, in VMs of the largest capacity. */
const roomOf = ({ record, runs }: Executor, vmCapacity: Resources): number => {
    const lasting = [...runs.values()].filter(({ task }) => task.step.step.longRunning);
    const share = record.capacity.cpu / Math.max(1, vmCapacity.cpu);
    return Math.max(0, share - sumOf(lasting, ({ task }) => widthOfTask(task.step, vmCapacity)));
};

const widthOfTask = ({ step }: OpenStep, vmCapacity: Resources): number => 1 / tasksPerVm(demandOf(step), vmCapacity);

// A run that has taken longer than expected may go on for as long again. Reported progress of short runs is outdated.
const timeUntilEndMs = (tables: PoolTables, run: Run, nowMs: number): number =>
    run.phase === "stopping"
        ? tables.stopTimeMs
        : Math.abs(run.startedAtMs + expectedRunMs(tables, run.task.step) - nowMs);

const roomInUse = (tables: PoolTables, { runs }: Executor, { vmCapacity, nowMs }: PoolRoom): readonly RoomInUse[] =>
    [...runs.values()]
        .filter(({ task }) => isTimed(task.step))
        .map(run => ({
            untilMs: timeUntilEndMs(tables, run, nowMs),
            width: widthOfTask(run.task.step, vmCapacity),
        }));

const startingNow = ({ stages }: Candidate<JobId>): readonly RoomInUse[] =>
    stages.filter(({ offsetMs }) => offsetMs === 0).map(({ durationMs, width }) => ({ untilMs: durationMs, width }));

// A job that can't be in time any more, and one that was begun although it was deferred, was not served in time.
const recordServedJobs = (
    { selection }: PoolTables,
    jobs: readonly OpenJob[],
    candidates: readonly Candidate<JobId>[],
): void => {
    const { overload, sizes, served } = selection;
    const late = new Map(
        candidates.filter(({ latestStartInMs }) => latestStartInMs < 0).map(candidate => [candidate.id, candidate]),
    );
    jobs.filter(job => !served.has(job) && (late.has(job.id) || hasBegun(job))).forEach(job => {
        served.add(job);
        const isInTime = !late.has(job.id) && (overload === undefined || overload.selected.has(job.id));
        recordServed(sizes, job.queue, selection.classes.get(job) ?? "usual", isInTime);
    });
};

const workOf = (tables: PoolTables, job: OpenJob): number =>
    sumOf(
        stepsOf(job).filter(isTimed),
        step => step.step.count * demandOf(step.step).cpu * expectedRunMs(tables, step),
    );

const recordNewJob = (tables: PoolTables, job: OpenJob): void => {
    const { classes, sizes } = tables.selection;
    if (!classes.has(job)) {
        const work = workOf(tables, job);
        recordSize(sizes, job.queue, work);
        classes.set(job, sizeClassOf(sizes, job.queue, work));
    }
};

// One at a time, so that what has become useless to its caller takes little room from what has not; the oldest first, so
// that each is served in its turn.
const findOverdue = (tables: PoolTables, waiting: readonly OpenJob[], nowMs: number): JobId | undefined => {
    const { overdue } = tables.selection;
    const current = overdue === undefined ? undefined : tables.jobs.get(overdue);
    if (current !== undefined && !isJobEnded(current) && stepsOf(current).some(({ remaining }) => remaining > 0)) {
        return overdue;
    }
    return waiting
        .filter(job => {
            const allowedMs = completionObjective(tables, job, nowMs).objectiveMs - job.arrivedAtMs;
            return nowMs - job.arrivedAtMs > OVERDUE_FACTOR * allowedMs;
        })
        .reduce<OpenJob | undefined>(
            (oldest, job) => (oldest === undefined || job.arrivedAtMs < oldest.arrivedAtMs ? job : oldest),
            undefined,
        )?.id;
};

const candidateOf = (tables: PoolTables, job: OpenJob, pool: PoolRoom): Candidate<JobId> => {
    const remaining = [...job.occurrences.values()].map(steps => remainingStages(tables, steps, pool));
    const pathMs = Math.max(...remaining.map(occurrence => occurrence.pathMs));
    const wavesMs = Math.max(...remaining.map(occurrence => occurrence.wavesMs));
    const queue = tables.queues.get(job.queue);
    const dueMs = completionObjective(tables, job, pool.nowMs).objectiveMs + (queue?.stretch ?? 1) * wavesMs;
    const { sizes, classes } = tables.selection;
    const commitment = commitmentOf(tables, job);
    const isBegun = commitment === "begun";
    const sizeClass = classes.get(job) ?? "usual";
    return {
        id: job.id,
        commitment,
        stages: remaining.flatMap(({ stages }) => stages),
        latestStartInMs: dueMs - pathMs - pool.nowMs + (isBegun ? LATE_MARGIN_MS : 0),
        marginMs: MARGIN_SHARE * Math.max(0, dueMs - job.arrivedAtMs - pathMs),
        priority: queue?.priority ?? 0,
        kind: job.queue,
        sizeClass,
        isNeglected: isNeglected(sizes, job.queue, sizeClass),
        density: densityOf(sizes, job.queue, workOf(tables, job)),
    };
};

const commitmentOf = ({ selection }: PoolTables, job: OpenJob): Commitment => {
    if (hasBegun(job)) {
        return "begun";
    }
    return selection.overload?.selected.has(job.id) === true ? "selected" : "none";
};

// Steps depend only on earlier ones, so the end of a step is known before those that depend on it.
const remainingStages = (
    tables: PoolTables,
    steps: readonly OpenStep[],
    { room, vmCapacity, nowMs }: PoolRoom,
): RemainingStages => {
    const endsMs: number[] = [];
    const stages: Stage[] = [];
    let wavesMs = 0;
    steps.forEach(step => {
        const offsetMs = step.step.after.reduce((latest, earlier) => Math.max(latest, endsMs[earlier] ?? 0), 0);
        if (step.remaining === 0 || step.step.longRunning) {
            endsMs.push(step.remaining === 0 ? 0 : offsetMs);
            return;
        }
        const runs = step.tasks.flatMap(task => task.runs);
        const runningMs = runs.reduce((longest, run) => Math.max(longest, timeUntilEndMs(tables, run, nowMs)), 0);
        const tasks = step.tasks.filter(isWaiting).length;
        if (tasks === 0) {
            endsMs.push(offsetMs + runningMs);
            return;
        }
        const taskWidth = widthOfTask(step, vmCapacity);
        const tasksAtOnce = Math.max(1, Math.floor((room * MAX_SHARE_OF_ROOM) / taskWidth));
        const waves = step.step.gang ? 1 : Math.ceil(tasks / tasksAtOnce);
        stages.push({
            offsetMs,
            durationMs: waves * expectedRunMs(tables, step),
            // What is wider than the pool's room would never be started.
            width: Math.min(taskWidth * Math.ceil(tasks / waves), taskWidth * tasksAtOnce, room),
        });
        wavesMs += (waves - 1) * expectedRunMs(tables, step);
        const waitingMs = (waves - 1) * expectedRunMs(tables, step) + longestRunMs(tables, step);
        endsMs.push(offsetMs + Math.max(runningMs, waitingMs));
    });
    return { stages, pathMs: endsMs.reduce((longest, endMs) => Math.max(longest, endMs), 0), wavesMs };
};
