import { chooseExecutor, type ExecutorChoice, type TicketedExecutors } from "./choose-executor.js";
import { isUsable } from "./executor-usability.js";
import { executorsWithUndeliveredStart } from "./inherited-starts.js";
import type { OrderBudget } from "./order-budget.js";
import { orderSteps } from "./order-steps.js";
import { planGang } from "./plan-gang.js";
import type { Executor, OpenStep, PoolTables, Run, Task } from "./pool-tables.js";
import {
    demandOf,
    fits,
    freeResources,
    isNotOvercommitted,
    maxOfEach,
    subtract,
    type FreeByExecutor,
} from "./resources.js";
import { reserveForRelocation } from "./relocation-room.js";
import { reserveForWaiting } from "./reserve-for-waiting.js";
import { takeRunNumber } from "./run-numbers.js";
import { addRun } from "./run-table.js";
import { inheritedGateOf, jobGateOf, mayStart } from "./start-gates.js";
import { createTenantRoom, type TenantRoom } from "./tenant-room.js";

/** Time of a placement pass, the orders that it may send, and the executors to which a step is restricted in it. */
export interface PlacementOptions {
    /** Current time of the monotonic clock. */
    readonly nowMs: number;
    readonly budget: OrderBudget;
    /**
     * Executors that may run the step; undefined if the step needs no ticket. For some queues the advice service
     * decides where a step may run, and issues a ticket for each executor that it chooses.
     */
    readonly executorsWithTicket: (step: OpenStep) => TicketedExecutors;
}

interface PassOptions extends PlacementOptions {
    /** What the tenants' grants leave in this pass. */
    readonly tenantRoom: TenantRoom;
}

/**
 * Assigns executors to the tasks that can start and records the new runs in the tables. Tasks beyond the budget, or beyond
 * the reserved run numbers, keep waiting in the order of their steps.
 */
export const placeTasks = (tables: PoolTables, options: PlacementOptions): readonly Run[] => {
    if (options.budget.isExhausted()) {
        return [];
    }
    const freeByExecutor = freeOfUsable(tables, options.nowMs, ({ id }) => options.budget.allows(id));
    if (freeByExecutor.size === 0) {
        return [];
    }
    const inheritedGate = inheritedGateOf(tables, options.nowMs);
    const tenantRoom = createTenantRoom(tables, options.nowMs);
    let largestFree = maxOfEach([...freeByExecutor.values()]);
    // In a full pool most steps fit nowhere; they are neither ranked nor searched an executor for.
    const fitsAndMayStart = ({ step, job }: OpenStep): boolean =>
        fits(demandOf(step), largestFree) && jobGateOf(tables, job, inheritedGate) === undefined;
    const mayBePlaced = (step: OpenStep): boolean => fitsAndMayStart(step) && tenantRoom.hasRoom(step);
    let isRoomReserved = false;
    return orderSteps(tables, options.nowMs, mayBePlaced).flatMap(({ step }) => {
        if (!step.step.longRunning && !isRoomReserved) {
            isRoomReserved = true;
            reserveForRelocation(tables, freeByExecutor, options.executorsWithTicket);
            reserveForWaiting(tables, freeByExecutor, options);
        }
        if (options.budget.isExhausted() || !mayBePlaced(step)) {
            return [];
        }
        const runs = placeStep(tables, step, freeByExecutor, { ...options, tenantRoom });
        largestFree = runs.length === 0 ? largestFree : maxOfEach([...freeByExecutor.values()]);
        return runs;
    });
};

/** Free resources of the usable executors that the filter accepts and that are not overcommitted. */
export const freeOfUsable = (
    tables: PoolTables,
    nowMs: number,
    accepts: (executor: Executor) => boolean,
): FreeByExecutor =>
    new Map(
        [...tables.executors.values()]
            .filter(executor => isUsable(tables, executor, nowMs) && accepts(executor))
            .map(executor => [executor, freeResources(executor)] as const)
            .filter(([, free]) => isNotOvercommitted(free)),
    );

const placeStep = (
    tables: PoolTables,
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    options: PassOptions,
): readonly Run[] =>
    step.step.gang
        ? placeGang(tables, step, freeByExecutor, options)
        : placeWaitingTasks(tables, step, freeByExecutor, options);

const placeWaitingTasks = (
    tables: PoolTables,
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    options: PassOptions,
): readonly Run[] => {
    const waiting = step.tasks.filter(task => mayStart(tables, task));
    const runs: Run[] = [];
    // Tasks of a step differ only in the executors on which they failed, so if one does not fit, no other one does.
    // Searching again for each task of a large step would exhaust the CPU when the pool is full.
    waiting.every(task => {
        if (options.budget.isExhausted() || !options.tenantRoom.hasRoom(step)) {
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
    options: PassOptions,
): Run | undefined => {
    const choice = { freeByExecutor, tickets: options.executorsWithTicket(task.step), planned: [] };
    const executor = chooseFormer(tables, task, choice, options.nowMs) ?? chooseExecutor(task, choice);
    const number = executor === undefined ? undefined : takeRunNumber(tables.runNumbers);
    return executor === undefined || number === undefined
        ? undefined
        : startRun(task, executor, number, freeByExecutor, options);
};

// An executor that was shown the token of this holder, or a stop, rejects the start that got no response for as long as its
// incarnation lasts; if it restarts, the run that is placed there is gone as well.
const chooseFormer = (tables: PoolTables, task: Task, choice: ExecutorChoice, nowMs: number): Executor | undefined => {
    const preferred = executorsWithUndeliveredStart(tables, task, nowMs);
    return preferred.size === 0
        ? undefined
        : chooseExecutor(task, {
              ...choice,
              freeByExecutor: new Map([...choice.freeByExecutor].filter(([{ id }]) => preferred.has(id))),
          });
};

const placeGang = (
    tables: PoolTables,
    step: OpenStep,
    freeByExecutor: FreeByExecutor,
    options: PassOptions,
): readonly Run[] => {
    // All members of a gang run together, so the gang is not started again until its last remaining run has ended.
    if (!step.tasks.every(task => mayStart(tables, task))) {
        return [];
    }
    const plan = planGang(step, freeByExecutor, options.executorsWithTicket(step));
    const run = plan === undefined ? undefined : takeRunNumber(tables.runNumbers);
    if (plan === undefined || run === undefined) {
        return [];
    }
    // The members start together, so the last gang of a pass may exceed the budget.
    return plan.map(({ task, executor }) => startRun(task, executor, run, freeByExecutor, options));
};

const startRun = (
    task: Task,
    executor: Executor,
    number: number,
    freeByExecutor: FreeByExecutor,
    { nowMs, budget, tenantRoom }: PassOptions,
): Run => {
    budget.spend(executor.id);
    tenantRoom.take(task.step, 1);
    freeByExecutor.set(
        executor,
        subtract(freeByExecutor.get(executor) ?? executor.record.capacity, demandOf(task.step.step)),
    );
    return addRun({ task, number, executor, phase: "starting", startedAtMs: nowMs, resumedFrom: task.checkpoint });
};
