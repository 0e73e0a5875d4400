import { chooseExecutor, type PlannedMember } from "./choose-executor.js";
import { isUsable } from "./executor-usability.js";
import { isJobEnded, isReady } from "./job-progress.js";
import { isWaiting, stepsOf, type PoolTables, type Task } from "./pool-tables.js";
import { demandOf, freeResources, subtract, type FreeByExecutor } from "./resources.js";

/** Room on other executors for long-running tasks that are stopped in one pass because their VMs are evacuated. */
export interface RelocationRoom {
    /** Reserves room for a task; returns false if no executor can take it now. */
    readonly claim: (task: Task) => boolean;
}

/** Finds the room at the first claim, after reserving it for the long-running tasks that wait already. */
export const createRelocationRoom = (tables: PoolTables, nowMs: number): RelocationRoom => {
    const planned: PlannedMember[] = [];
    let freeByExecutor: FreeByExecutor | undefined;
    const reserve = (task: Task, free: FreeByExecutor): boolean => {
        const executor = chooseExecutor(task, {
            freeByExecutor: free,
            tickets: undefined,
            planned: planned.filter(member => member.task.step === task.step),
        });
        if (executor === undefined) {
            return false;
        }
        const available = free.get(executor) ?? executor.record.capacity;
        free.set(executor, subtract(available, demandOf(task.step.step)));
        planned.push({ task, executor });
        return true;
    };
    const findRoom = (): FreeByExecutor => {
        const free: FreeByExecutor = new Map(
            [...tables.executors.values()]
                .filter(executor => isUsable(tables, executor, nowMs))
                .map(executor => [executor, freeResources(executor)]),
        );
        waitingLongRunningTasks(tables).forEach(task => void reserve(task, free));
        return free;
    };
    return {
        claim: task => {
            freeByExecutor ??= findRoom();
            return reserve(task, freeByExecutor);
        },
    };
};

const waitingLongRunningTasks = (tables: PoolTables): readonly Task[] =>
    [...tables.jobs.values()]
        .filter(job => !isJobEnded(job))
        .flatMap(job => stepsOf(job).filter(step => step.step.longRunning && isReady(step)))
        .flatMap(step => step.tasks.filter(isWaiting));
