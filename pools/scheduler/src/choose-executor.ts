import type { Step } from "@almondusher/jobs/job";
import { hasRequiredLabel } from "./executor-usability.js";
import type { Executor, OpenStep, Task } from "./pool-tables.js";
import { demandOf, fits, subtract, type FreeByExecutor } from "./resources.js";

/** Executors with a ticket for a step; undefined if the step needs none. */
export type TicketedExecutors = ReadonlySet<Executor["id"]> | undefined;

/** A task and the executor that is chosen for it. */
export interface PlannedMember {
    readonly task: Task;
    readonly executor: Executor;
}

/** What a choice of an executor depends on apart from the task. */
export interface ExecutorChoice {
    readonly freeByExecutor: FreeByExecutor;
    readonly tickets: TicketedExecutors;
    /** Tasks that are already planned; those of the same step count for the maximum on one executor. */
    readonly planned: readonly PlannedMember[];
}

/** What a choice of executors for several tasks depends on. */
export interface ExecutorsChoice {
    /** The room of the chosen executors is taken from it, also if not all tasks get one. */
    readonly freeByExecutor: FreeByExecutor;
    readonly ticketsOf: (step: OpenStep) => TicketedExecutors;
    readonly planned: readonly PlannedMember[];
}

/** Reasons of refusal in the order of the checks. */
export const refusals = ["no-label", "no-room", "no-ticket", "max-per-executor"] as const;

/** Why a usable executor cannot take a task. */
export type Refusal = (typeof refusals)[number];

/** Returns the first reason for which an executor cannot take a task; undefined if it can. */
export const refusalOf = (task: Task, executor: Executor, choice: ExecutorChoice): Refusal | undefined => {
    const { step } = task.step;
    if (!hasRequiredLabel(step, executor)) {
        return "no-label";
    }
    const free = choice.freeByExecutor.get(executor);
    if (free === undefined || !fits(demandOf(step), free)) {
        return "no-room";
    }
    if (choice.tickets !== undefined && !choice.tickets.has(executor.id)) {
        return "no-ticket";
    }
    return step.maxPerExecutor === undefined ||
        countTasksOfStep(task.step, executor, choice.planned) < step.maxPerExecutor
        ? undefined
        : "max-per-executor";
};

/** Returns the best executor that can take the task; undefined if there is none. */
export const chooseExecutor = (task: Task, choice: ExecutorChoice): Executor | undefined =>
    [...choice.freeByExecutor.keys()]
        .filter(executor => refusalOf(task, executor, choice) === undefined)
        .reduce<Executor | undefined>(
            (best, candidate) =>
                best === undefined || isBetter(task, candidate, best, choice.freeByExecutor) ? candidate : best,
            undefined,
        );

/** Chooses executors for tasks that need room at the same time; undefined if not all of them fit. */
export const chooseTogether = (
    tasks: readonly Task[],
    { freeByExecutor, ticketsOf, planned }: ExecutorsChoice,
): readonly PlannedMember[] | undefined => {
    const members: PlannedMember[] = [];
    const complete = tasks.every(task => {
        const choice = { freeByExecutor, tickets: ticketsOf(task.step), planned: [...planned, ...members] };
        const executor = chooseExecutor(task, choice);
        if (executor === undefined) {
            return false;
        }
        const free = freeByExecutor.get(executor) ?? executor.record.capacity;
        freeByExecutor.set(executor, subtract(free, demandOf(task.step.step)));
        members.push({ task, executor });
        return true;
    });
    return complete ? members : undefined;
};

const countTasksOfStep = (step: OpenStep, executor: Executor, planned: readonly PlannedMember[]): number =>
    [...executor.runs.values()].filter(run => run.task.step === step).length +
    planned.filter(member => member.executor === executor && member.task.step === step).length;

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
