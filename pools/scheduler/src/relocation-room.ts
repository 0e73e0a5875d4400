import { chooseExecutor, type PlannedMember } from "./choose-executor.js";
import { isUsable } from "./executor-usability.js";
import { isJobEnded, isReady } from "./job-progress.js";
import { stepsOf, type PoolTables, type Task } from "./pool-tables.js";
import { demandOf, freeResources, subtract, type FreeByExecutor } from "./resources.js";

/** Room on other executors for long-running tasks that are stopped in one pass because their VMs are evacuated. */
export interface RelocationRoom {
    /** Reserves room for a task; returns false if no executor can take it now. */
    readonly claim: (task: Task) => boolean;
}

/** Finds the room at the first claim, after reserving it for the long-running tasks that wait or are being stopped. */
export const createRelocationRoom = (tables: PoolTables, nowMs: number): RelocationRoom => {
    let reserve: ((task: Task) => boolean) | undefined;
    const findRoom = (): ((task: Task) => boolean) => {
        const free: FreeByExecutor = new Map(
            [...tables.executors.values()]
                .filter(executor => isUsable(tables, executor, nowMs))
                .map(executor => [executor, freeResources(executor)]),
        );
        const reserveIn = createReservation(free);
        longRunningTasks(tables)
            .filter(needsRoom)
            .forEach(task => void reserveIn(task));
        return reserveIn;
    };
    return {
        claim: task => {
            reserve ??= findRoom();
            return reserve(task);
        },
    };
};

/**
 * Reserves room for the long-running tasks that are being stopped for an evacuation. They wait for it only once the ends of
 * their runs are known; until then, other tasks must not take it.
 */
export const reserveForRelocation = (tables: PoolTables, free: FreeByExecutor): void => {
    const reserve = createReservation(free);
    longRunningTasks(tables)
        .filter(isWaitingSoon)
        .forEach(task => void reserve(task));
};

/** Returns a function that reserves room for a task in the free resources; it returns false if no executor has any. */
const createReservation = (free: FreeByExecutor): ((task: Task) => boolean) => {
    const planned: PlannedMember[] = [];
    return task => {
        const executor = chooseExecutor(task, {
            freeByExecutor: free,
            tickets: undefined,
            planned: planned.filter(member => member.task.step === task.step),
        });
        if (executor === undefined) {
            return false;
        }
        free.set(executor, subtract(free.get(executor) ?? executor.record.capacity, demandOf(task.step.step)));
        planned.push({ task, executor });
        return true;
    };
};

const longRunningTasks = (tables: PoolTables): readonly Task[] =>
    [...tables.jobs.values()]
        .filter(job => !isJobEnded(job))
        .flatMap(job => stepsOf(job).filter(step => step.step.longRunning && isReady(step)))
        .flatMap(step => step.tasks);

// A task that was stopped in an earlier pass waits once the end of its run is known.
const needsRoom = ({ done, runs }: Task): boolean => !done && runs.every(({ phase }) => phase === "stopping");

// A run on an executor that does not respond may end much later.
const isWaitingSoon = (task: Task): boolean =>
    needsRoom(task) &&
    task.runs.length > 0 &&
    task.runs.every(({ stopCause, executor }) => stopCause === "evacuation" && executor.reachable);
