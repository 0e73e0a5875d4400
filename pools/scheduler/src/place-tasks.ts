import type { Resources, Step } from "@almondusher/jobs/job";
import type { OrderBudget } from "./order-budget.js";
import { orderSteps } from "./order-steps.js";
import {
    isLeaseHeldSince,
    isWaiting,
    type Executor,
    type OpenStep,
    type PoolTables,
    type Run,
    type Task,
} from "./pool-tables.js";
import { addRun } from "./run-table.js";
import { areInheritedRunsOver } from "./inherited-runs.js";
import { takeRunNumber } from "./run-numbers.js";

/** Time of a placement pass, the orders that it may send, and the executors to which a step is restricted in it. */
export interface PlacementOptions {
    /** Current time of the monotonic clock. */
    readonly nowMs: number;
    readonly budget: OrderBudget;
    /**
     * Executors that may run the step; undefined if the step needs no ticket. For some queues the advice service
     * decides where a step may run, and issues a ticket for each executor that it chooses.
     */
    readonly executorsWithTicket: (step: OpenStep) => ReadonlySet<Executor["id"]> | undefined;
}

/**
 * Assigns executors to the tasks that can start and records the new runs in the tables. Tasks beyond the budget, or beyond
 * the reserved run numbers, keep waiting in the order of their steps.
 */
export const placeTasks = (tables: PoolTables, options: PlacementOptions): readonly Run[] => {
    if (options.budget.isExhausted()) {
        return [];
    }
    const executors = [...tables.executors.values()].filter(
        executor => isSchedulable(tables, executor, options.nowMs) && options.budget.allows(executor.id),
    );
    const freeByExecutor = new Map(
        executors
            .map(executor => [executor, freeResources(executor)] as const)
            .filter(([, free]) => isNotOvercommitted(free)),
    );
    if (freeByExecutor.size === 0) {
        return [];
    }
    const mayStartInherited = tables.isProgressCurrent && areInheritedRunsKnown(tables, options.nowMs);
    let largestFree = maxOfEach([...freeByExecutor.values()]);
    // In a full pool most steps fit nowhere; they are neither ranked nor searched an executor for.
    const mayBePlaced = ({ step, job }: OpenStep): boolean =>
        fits(demandOf(step), largestFree) &&
        isLeaseHeldSince(tables, job.readAtMs) &&
        (!job.inherited || mayStartInherited);
    return orderSteps(tables, options.nowMs, mayBePlaced).flatMap(({ step }) => {
        if (options.budget.isExhausted() || !mayBePlaced(step)) {
            return [];
        }
        const runs = placeStep(tables, step, freeByExecutor, options);
        largestFree = runs.length === 0 ? largestFree : maxOfEach([...freeByExecutor.values()]);
        return runs;
    });
};

/** Capacity of an executor minus the demand of all runs that are or may be present. */
const freeResources = ({ record, runs }: Executor): Resources =>
    [...runs.values()].reduce((free, run) => subtract(free, demandOf(run.task.step.step)), record.capacity);

/** True if an executor gets starts now and its free capacity and labels suffice for a task of the step. */
export const hasRoomFor = (tables: PoolTables, executor: Executor, { step }: OpenStep, nowMs: number): boolean =>
    isSchedulable(tables, executor, nowMs) &&
    hasRequiredLabel(step, executor) &&
    fits(demandOf(step), freeResources(executor));

const hasRequiredLabel = ({ requiredLabel }: Step, { record }: Executor): boolean =>
    requiredLabel === undefined || record.labels.includes(requiredLabel);

/** Resources that a task reserves on its executor. Backfill tasks reserve no CPU. */
export const demandOf = ({ demand, backfill }: Step): Resources => (backfill ? { ...demand, cpu: 0 } : demand);

type FreeByExecutor = Map<Executor, Resources>;

const isSchedulable = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    executor.registered &&
    executor.reachable &&
    executor.reconciled &&
    executor.listedInLease &&
    hasFencingToken(tables, executor, nowMs) &&
    executor.evacuation === undefined &&
    !executor.record.draining &&
    executor.orphanedRuns.length === 0 &&
    executor.backoffUntilMs <= nowMs;

// Time after which a successor may exist, counted from the last known time at which the lease was certainly held.
const SUCCESSOR_POSSIBLE_AFTER_MS = 400;
// Covers a report that the executor holds back for a while and the one before.
const MAX_ANSWER_AGE_MS = 2000;

/**
 * True if the executor rejects the starts of this process should a successor have read it. One that has restarted since has
 * forgotten the successor's token, so once there may be a successor, the executor must have shown lately that it has not.
 */
const hasFencingToken = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    isLeaseHeldSince(tables, executor.incarnationSinceMs) &&
    (isLeaseHeldSince(tables, nowMs - SUCCESSOR_POSSIBLE_AFTER_MS) ||
        nowMs - executor.answeredRequestAtMs < MAX_ANSWER_AGE_MS);

/** True for a waiting task of which no successor can have adopted a run. */
const mayStart = (tables: PoolTables, task: Task): boolean =>
    isWaiting(task) && isLeaseHeldSince(tables, task.givenUpAtMs);

/**
 * True once no run that a previous holder of the pool lease started, and no end of one, can be missing from the tables of
 * any executor.
 */
export const areInheritedRunsKnown = (tables: PoolTables, nowMs: number): boolean =>
    [...tables.executors.values()].every(executor => areInheritedRunsOver(tables, executor, nowMs));

const placeStep = (
    tables: PoolTables,
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    options: PlacementOptions,
): readonly Run[] =>
    step.step.gang
        ? placeGang(tables, step, freeByExecutor, options)
        : placeWaitingTasks(tables, step, freeByExecutor, options);

const placeWaitingTasks = (
    tables: PoolTables,
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    options: PlacementOptions,
): readonly Run[] => {
    const waiting = step.tasks.filter(task => mayStart(tables, task));
    const runs: Run[] = [];
    // Tasks of a step differ only in the executors on which they failed, so if one does not fit, no other one does.
    // Searching again for each task of a large step would exhaust the CPU when the pool is full.
    waiting.every(task => {
        if (options.budget.isExhausted()) {
            return false;
        }
        const run = placeTask(tables, task, freeByExecutor, options);
        runs.push(...(run === undefined ? [] : [run]));
        return run !== undefined;
    });
    return runs;
};

const placeTask = (
    tables: PoolTables,
    task: Task,
    freeByExecutor: FreeByExecutor,
    options: PlacementOptions,
): Run | undefined => {
    const executor = chooseExecutor(task, freeByExecutor, options, undefined);
    const number = executor === undefined ? undefined : takeRunNumber(tables.runNumbers);
    return executor === undefined || number === undefined
        ? undefined
        : startRun(task, executor, number, freeByExecutor, options);
};

const placeGang = (
    tables: PoolTables,
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    options: PlacementOptions,
): readonly Run[] => {
    // All members of a gang run together, so the gang is not started again until its last remaining run has ended.
    if (!step.tasks.every(task => mayStart(tables, task))) {
        return [];
    }
    const racks = step.step.sameRack ? [...new Set([...freeByExecutor.keys()].map(({ rack }) => rack))] : [];
    const plan = [
        ...racks.map(rack => planGang(step, freeByExecutor, options, rack)),
        planGang(step, freeByExecutor, options, undefined),
    ].find(candidate => candidate !== undefined);
    const run = plan === undefined ? undefined : takeRunNumber(tables.runNumbers);
    if (plan === undefined || run === undefined) {
        return [];
    }
    // The members start together, so the last gang of a pass may exceed the budget.
    return plan.map(({ task, executor }) => startRun(task, executor, run, freeByExecutor, options));
};

interface PlannedMember {
    readonly task: Task;
    readonly executor: Executor;
}

const planGang = (
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    options: PlacementOptions,
    rack: string | undefined,
): readonly PlannedMember[] | undefined => {
    const trial: FreeByExecutor = new Map(
        [...freeByExecutor].filter(([executor]) => rack === undefined || executor.rack === rack),
    );
    const members: PlannedMember[] = [];
    const complete = step.tasks.every(task => {
        const executor = chooseExecutor(task, trial, options, members);
        if (executor === undefined) {
            return false;
        }
        trial.set(executor, subtract(trial.get(executor) ?? executor.record.capacity, demandOf(step.step)));
        members.push({ task, executor });
        return true;
    });
    return complete ? members : undefined;
};

const chooseExecutor = (
    task: Task,
    freeByExecutor: FreeByExecutor,
    options: PlacementOptions,
    planned: readonly PlannedMember[] | undefined,
): Executor | undefined => {
    const { step } = task.step;
    const demand = demandOf(step);
    const tickets = options.executorsWithTicket(task.step);
    const candidates = [...freeByExecutor.entries()]
        .filter(([, free]) => fits(demand, free))
        .map(([executor]) => executor)
        .filter(executor => tickets === undefined || tickets.has(executor.id))
        .filter(executor => hasRequiredLabel(step, executor))
        .filter(
            executor =>
                step.maxPerExecutor === undefined ||
                countTasksOfStep(task.step, executor, planned) < step.maxPerExecutor,
        )
        .filter(executor => !task.runs.some(run => run.executor === executor));
    return candidates.reduce<Executor | undefined>(
        (best, candidate) => (best === undefined || isBetter(task, candidate, best, freeByExecutor) ? candidate : best),
        undefined,
    );
};

const countTasksOfStep = (step: OpenStep, executor: Executor, planned: readonly PlannedMember[] | undefined): number =>
    [...executor.runs.values()].filter(run => run.task.step === step).length +
    (planned ?? []).filter(member => member.executor === executor).length;

const isBetter = (task: Task, left: Executor, right: Executor, free: FreeByExecutor): boolean => {
    const difference = placementPenalty(task, left) - placementPenalty(task, right);
    // Ties go to the executor with the least free CPU (best fit), so that others stay empty for large tasks and
    // maintenance.
    return difference < 0 || (difference === 0 && (free.get(left)?.cpu ?? 0) < (free.get(right)?.cpu ?? 0));
};

const REMOTE_DATA_PENALTY = 4;
const FAILED_BEFORE_PENALTY = 8;
const INTERFERENCE_PENALTY = 2;

const placementPenalty = (task: Task, executor: Executor): number => {
    const { step } = task.step;
    const remoteData = step.dataRack !== undefined && executor.rack !== step.dataRack ? REMOTE_DATA_PENALTY : 0;
    const failedBefore = task.failedOn.has(executor.id) ? FAILED_BEFORE_PENALTY : 0;
    return remoteData + failedBefore + interferencePenalty(step, executor);
};

// Backfill slows down latency-sensitive tasks on the same executor, so the two are kept apart where possible.
const interferencePenalty = (step: Step, executor: Executor): number => {
    if (!step.backfill && step.latencyTargetMs === undefined) {
        return 0;
    }
    const others = [...executor.runs.values()].map(run => run.task.step.step);
    const interfering = others.filter(({ backfill, latencyTargetMs }) =>
        step.backfill ? latencyTargetMs !== undefined : backfill,
    );
    return INTERFERENCE_PENALTY * interfering.length;
};

const startRun = (
    task: Task,
    executor: Executor,
    number: number,
    freeByExecutor: FreeByExecutor,
    { nowMs, budget }: PlacementOptions,
): Run => {
    budget.spend(executor.id);
    freeByExecutor.set(
        executor,
        subtract(freeByExecutor.get(executor) ?? executor.record.capacity, demandOf(task.step.step)),
    );
    return addRun({ task, number, executor, phase: "starting", startedAtMs: nowMs, resumedFrom: task.checkpoint });
};

const isNotOvercommitted = ({ cpu, memoryMb, gpu }: Resources): boolean => cpu >= 0 && memoryMb >= 0 && gpu >= 0;

const subtract = (from: Resources, demand: Resources): Resources => ({
    cpu: from.cpu - demand.cpu,
    memoryMb: from.memoryMb - demand.memoryMb,
    gpu: from.gpu - demand.gpu,
});

// The largest amount of each resource; different executors may have them.
const maxOfEach = (all: readonly Resources[]): Resources =>
    all.reduce((largest, { cpu, memoryMb, gpu }) => ({
        cpu: Math.max(largest.cpu, cpu),
        memoryMb: Math.max(largest.memoryMb, memoryMb),
        gpu: Math.max(largest.gpu, gpu),
    }));

const fits = (demand: Resources, free: Resources): boolean =>
    demand.cpu <= free.cpu && demand.memoryMb <= free.memoryMb && demand.gpu <= free.gpu;
