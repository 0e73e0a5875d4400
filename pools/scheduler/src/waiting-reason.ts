import type { ExecutorId, QueueName, TaskId, TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import { refusalOf, refusals, type Refusal, type TicketedExecutors } from "./choose-executor.js";
import { hasRequiredLabel, unusableCauseOf, type UnusableCause } from "./executor-usability.js";
import { areInheritedRunsOver, inheritedWaitEndMs } from "./inherited-runs.js";
import type { OrderBudget } from "./order-budget.js";
import { freeOfUsable } from "./place-tasks.js";
import { planGang } from "./plan-gang.js";
import type { Executor, OpenStep, PoolTables, Run, Task } from "./pool-tables.js";
import { demandOf, fits, freeResources, isNotOvercommitted, maxOfEach, type FreeByExecutor } from "./resources.js";
import { hasRunNumber } from "./run-numbers.js";
import { inheritedGateOf, jobGateOf, taskGateOf, type TaskGate } from "./start-gates.js";
import { createTenantRoom, limitOf } from "./tenant-room.js";

/** A run that has not ended, for which a task waits. */
interface HoldingRun {
    /** The task itself or a member of its gang. */
    readonly member: TaskId;
    readonly executor: ExecutorId;
    readonly run: number;
    readonly phase: Run["phase"];
    readonly ageMs: number;
    readonly reachable: boolean;
}

/** Number of executors that get no starts, by cause. */
type UnusableCounts = Readonly<Partial<Record<UnusableCause, number>>>;

/** Why an inherited job starts no tasks. */
type InheritedReason =
    | {
          readonly kind: "inherited-runs-unknown";
          /** The executor that holds the job up longest; undefined if none does any more. */
          readonly executor: ExecutorId | undefined;
          readonly reachable: boolean | undefined;
          /** Its runs were read, but not all of its ends. */
          readonly hasUnreadEnds: boolean | undefined;
          /** Number of executors that hold the job up. */
          readonly executors: number;
          /** Time until the wait is over for executors that cannot be read; 0 if it was not proved to be over. */
          readonly remainingMs: number;
      }
    | { readonly kind: "progress-not-read" };

/** Why executors that have the label and get starts cannot take a task. */
type ExecutorRefusal = Exclude<Refusal, "no-label">;

/** Why a task of a step that is ready is not placed. */
export type WaitingReason =
    | (HoldingRun & { readonly kind: "run-not-ended" | "gang-member-run-not-ended" })
    | InheritedReason
    | { readonly kind: "job-read-unconfirmed"; readonly readBeforeMs: number; readonly confirmedBeforeMs: number }
    | {
          readonly kind: "give-up-unconfirmed";
          /** The task itself or a member of its gang. */
          readonly member: TaskId;
          readonly givenUpBeforeMs: number;
          readonly confirmedBeforeMs: number;
      }
    /** A start of an earlier holder may still run the task itself or a member of its gang. */
    | { readonly kind: "inherited-start-possible"; readonly member: TaskId }
    /** The task itself or a member of its gang has failed, and its queue was removed: the operator has to add it again. */
    | { readonly kind: "attempts-unknown"; readonly member: TaskId; readonly queue: QueueName }
    /** The tenant's runs on this pool leave too little of what it was granted of the tenant's cap. */
    | { readonly kind: "tenant-cap"; readonly tenant: TenantName; readonly limit: Resources }
    | { readonly kind: "run-numbers-exhausted"; readonly reservedUpTo: number }
    /** No executor of the pool has the label. */
    | { readonly kind: "no-label"; readonly label: string | undefined }
    /** Executors with the label get no starts. */
    | { readonly kind: "no-usable-executor"; readonly unusable: UnusableCounts }
    /** Executors that get starts cannot take the task. `unusable` counts others that have room for it. */
    | { readonly kind: ExecutorRefusal; readonly usable: number; readonly unusable: UnusableCounts }
    | { readonly kind: "no-room-for-gang"; readonly members: number; readonly unusable: UnusableCounts }
    | { readonly kind: "order-budget-exhausted" }
    /** Nothing prevents the start now: steps of a higher rank take what is free, or the next pass places the task. */
    | { readonly kind: "none" };

/** True for a task that is not done and has no run at work on an executor that responds. */
export const isHeldUp = ({ done, runs }: Task): boolean =>
    !done && !runs.some(({ phase, executor }) => phase === "running" && executor.reachable);

/** State of the pool at one time, from which the reasons of many tasks are determined. */
export interface WaitingSurvey {
    /** True if an executor that is registered and not draining has the free resources for a task of the step. */
    readonly hasRoom: (step: OpenStep) => boolean;
    /** Why a task of a step that is ready is not placed. */
    readonly reasonOf: (task: Task) => WaitingReason;
}

/** What placement depends on apart from the tables. */
export interface SurveyOptions {
    /** Current time of the monotonic clock. */
    readonly nowMs: number;
    readonly budget: OrderBudget;
    readonly executorsWithTicket: (step: OpenStep) => TicketedExecutors;
}

/** What the survey has found out about one executor. */
interface SurveyedExecutor {
    readonly executor: Executor;
    readonly free: Resources;
    readonly unusableCause: UnusableCause | undefined;
}

/** Surveys the executors of the pool, with the predicates of placement. */
export const surveyWaiting = (tables: PoolTables, options: SurveyOptions): WaitingSurvey => {
    const { nowMs } = options;
    const executors = [...tables.executors.values()].map(executor => ({
        executor,
        free: freeResources(executor),
        unusableCause: unusableCauseOf(tables, executor, nowMs),
    }));
    const freeByExecutor = freeOfUsable(tables, nowMs, () => true);
    const inheritedReason = findInheritedReason(tables, nowMs);
    const freeIfUp = executors
        .filter(({ executor }) => executor.registered && !executor.record.draining)
        .map(({ free }) => free)
        .filter(isNotOvercommitted);
    const largestFree = freeIfUp.length === 0 ? undefined : maxOfEach(freeIfUp);
    const tenantRoom = createTenantRoom(tables, nowMs);
    const tenantReasonOf = ({ step }: Task): WaitingReason | undefined => {
        const { tenant } = step.job.job;
        return tenant === undefined || tenantRoom.hasRoom(step)
            ? undefined
            : { kind: "tenant-cap", tenant, limit: limitOf(tables, tenant) };
    };
    const reasonsOfStep = new Map<OpenStep, WaitingReason>();
    const executorReasonOf = (task: Task): WaitingReason => {
        // The tasks of a step that have no run differ in nothing that keeps them from starting.
        const known =
            reasonsOfStep.get(task.step) ?? findExecutorReason(tables, task, { executors, freeByExecutor, options });
        reasonsOfStep.set(task.step, known);
        return known;
    };
    return {
        hasRoom: ({ step }) => {
            const demand = demandOf(step);
            return largestFree !== undefined && fits(demand, largestFree) && freeIfUp.some(free => fits(demand, free));
        },
        reasonOf: task =>
            findTaskReason(tables, task, nowMs) ??
            findJobReason(tables, task.step, inheritedReason, nowMs) ??
            tenantReasonOf(task) ??
            executorReasonOf(task),
    };
};

// All members of a gang start together, so what holds up one of them holds up all.
const findTaskReason = (tables: PoolTables, task: Task, nowMs: number): WaitingReason | undefined => {
    const others = task.step.step.gang ? task.step.tasks.filter(member => member !== task) : [];
    const findHeld = (gate: TaskGate): Task | undefined =>
        [task, ...others].find(member => taskGateOf(tables, member) === gate);
    const holder = findHeld("run-not-ended");
    const [run] = holder?.runs ?? [];
    if (run !== undefined) {
        return {
            kind: holder === task ? "run-not-ended" : "gang-member-run-not-ended",
            ...describeRun(run, nowMs),
        };
    }
    const givenUp = findHeld("give-up-unconfirmed");
    if (givenUp !== undefined) {
        return {
            kind: "give-up-unconfirmed",
            member: givenUp.id,
            givenUpBeforeMs: nowMs - givenUp.givenUpAtMs,
            confirmedBeforeMs: nowMs - tables.leaseHeldAtMs,
        };
    }
    const held = findHeld("inherited-start-possible");
    if (held !== undefined) {
        return { kind: "inherited-start-possible", member: held.id };
    }
    const failed = findHeld("attempts-unknown");
    return failed === undefined
        ? undefined
        : { kind: "attempts-unknown", member: failed.id, queue: task.step.job.queue };
};

const describeRun = ({ task, executor, number, phase, startedAtMs }: Run, nowMs: number): HoldingRun => ({
    member: task.id,
    executor: executor.id,
    run: number,
    phase,
    ageMs: nowMs - startedAtMs,
    reachable: executor.reachable,
});

const findInheritedReason = (tables: PoolTables, nowMs: number): InheritedReason | undefined => {
    const gate = inheritedGateOf(tables, nowMs);
    switch (gate) {
        case undefined:
            return undefined;
        case "inherited-runs-unknown":
            return describeInheritedRuns(tables, nowMs);
        case "progress-not-read":
            return { kind: gate };
    }
};

const findJobReason = (
    tables: PoolTables,
    { job }: OpenStep,
    inheritedReason: InheritedReason | undefined,
    nowMs: number,
): WaitingReason | undefined => {
    const gate = jobGateOf(tables, job, inheritedReason?.kind);
    switch (gate) {
        case undefined:
            return undefined;
        case "inherited-runs-unknown":
        case "progress-not-read":
            return inheritedReason;
        case "job-read-unconfirmed":
            return {
                kind: gate,
                readBeforeMs: nowMs - job.readAtMs,
                confirmedBeforeMs: nowMs - tables.leaseHeldAtMs,
            };
    }
};

const describeInheritedRuns = (tables: PoolTables, nowMs: number): InheritedReason => {
    const holders = [...tables.executors.values()].filter(executor => !areInheritedRunsOver(tables, executor, nowMs));
    // The wait ends by time for all others.
    const holder = holders.find(({ hasUnreadEnds }) => hasUnreadEnds) ?? holders[0];
    return {
        kind: "inherited-runs-unknown",
        executor: holder?.id,
        reachable: holder?.reachable,
        hasUnreadEnds: holder?.hasUnreadEnds,
        executors: holders.length,
        remainingMs: Math.max(0, (holder === undefined ? nowMs : inheritedWaitEndMs(tables, holder)) - nowMs),
    };
};

interface ExecutorSurvey {
    readonly executors: readonly SurveyedExecutor[];
    /** Free resources of the executors that get starts. */
    readonly freeByExecutor: FreeByExecutor;
    readonly options: SurveyOptions;
}

const findExecutorReason = (
    tables: PoolTables,
    task: Task,
    { executors, freeByExecutor, options: { budget, executorsWithTicket } }: ExecutorSurvey,
): WaitingReason => {
    const { step } = task.step;
    const labelled = executors.filter(({ executor }) => hasRequiredLabel(step, executor));
    if (labelled.length === 0) {
        return { kind: "no-label", label: step.requiredLabel };
    }
    const usable = labelled.filter(({ unusableCause }) => unusableCause === undefined);
    if (usable.length === 0) {
        return { kind: "no-usable-executor", unusable: countUnusable(labelled) };
    }
    const demand = demandOf(step);
    const unusable = countUnusable(labelled.filter(({ free }) => fits(demand, free)));
    const tickets = executorsWithTicket(task.step);
    const choice = { freeByExecutor, tickets, planned: [] };
    const judged = usable.map(({ executor }) => ({ executor, refusal: refusalOf(task, executor, choice) }));
    const refusal = lastRefusal(judged.map(({ refusal: found }) => found));
    if (refusal !== undefined) {
        return { kind: refusal, usable: usable.length, unusable };
    }
    if (step.gang && planGang(task.step, freeByExecutor, tickets) === undefined) {
        return { kind: "no-room-for-gang", members: step.count, unusable };
    }
    if (!hasRunNumber(tables.runNumbers)) {
        return { kind: "run-numbers-exhausted", reservedUpTo: tables.runNumbers.reservedUpTo };
    }
    const isPlacedWithin = (within: OrderBudget): boolean =>
        step.gang
            ? planGang(task.step, new Map([...freeByExecutor].filter(([{ id }]) => within.allows(id))), tickets) !==
              undefined
            : judged.some(({ executor, refusal: found }) => found === undefined && within.allows(executor.id));
    return { kind: !budget.isExhausted() && isPlacedWithin(budget) ? "none" : "order-budget-exhausted" };
};

// The executor that passed most checks tells what is missing; undefined if one passed all.
const lastRefusal = (found: readonly (Refusal | undefined)[]): ExecutorRefusal | undefined =>
    found.includes(undefined)
        ? undefined
        : refusals.filter(refusal => refusal !== "no-label").findLast(refusal => found.includes(refusal));

const countUnusable = (executors: readonly SurveyedExecutor[]): UnusableCounts =>
    executors.reduce<Partial<Record<UnusableCause, number>>>((counts, { unusableCause }) => {
        if (unusableCause !== undefined) {
            counts[unusableCause] = (counts[unusableCause] ?? 0) + 1;
        }
        return counts;
    }, {});
