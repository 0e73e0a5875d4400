import { chooseTogether, type PlannedMember, type TicketedExecutors } from "./choose-executor.js";
import { isUsable } from "./executor-usability.js";
import { isJobEnded, isReady } from "./job-progress.js";
import { stepsOf, type OpenStep, type PoolTables, type Task } from "./pool-tables.js";
import { freeResources, type FreeByExecutor } from "./resources.js";

/** Room on other executors for long-running tasks that are stopped in one pass because their VMs are evacuated. */
export interface RelocationRoom {
    /**
     * Reserves room for a task; returns false if no executor can take it now. The stop of one member of a gang ends all, so
     * the members on evacuated VMs need room together.
     */
    readonly claim: (task: Task) => boolean;
}

/** What the room in a pool depends on. */
export interface RelocationOptions {
    /** Current time of the monotonic clock in milliseconds. */
    readonly nowMs: number;
    /** Executors with a ticket for a step; undefined if none of the steps needs one. */
    readonly executorsWithTicket?: (step: OpenStep) => TicketedExecutors;
}

/** Reserves room for tasks together, or for none of them. */
type Reservation = (tasks: readonly Task[]) => boolean;

/** Finds the room at the first claim, after reserving it for the long-running tasks that wait or are being stopped. */
export const createRelocationRoom = (tables: PoolTables, options: RelocationOptions): RelocationRoom => {
    const gangs = new Map<OpenStep, boolean>();
    let reserve: Reservation | undefined;
    const findRoom = (): Reservation => {
        const free: FreeByExecutor = new Map(
            [...tables.executors.values()]
                .filter(executor => isUsable(tables, executor, options.nowMs))
                .map(executor => [executor, freeResources(executor)]),
        );
        const reserveIn = createReservation(free, options.executorsWithTicket);
        reserveForSteps(tables, needsRoom, reserveIn);
        return reserveIn;
    };
    return {
        claim: task => {
            reserve ??= findRoom();
            if (!task.step.step.gang) {
                return reserve([task]);
            }
            const claimed = gangs.get(task.step) ?? reserve(task.step.tasks.filter(isOnEvacuatedVm));
            gangs.set(task.step, claimed);
            return claimed;
        },
    };
};

/**
 * Reserves room for the long-running tasks that are being stopped for an evacuation. They wait for it only once the ends of
 * their runs are known; until then, other tasks must not take it.
 */
export const reserveForRelocation = (
    tables: PoolTables,
    free: FreeByExecutor,
    executorsWithTicket: RelocationOptions["executorsWithTicket"],
): void => reserveForSteps(tables, isWaitingSoon, createReservation(free, executorsWithTicket));

const reserveForSteps = (tables: PoolTables, needs: (task: Task) => boolean, reserve: Reservation): void =>
    longRunningSteps(tables).forEach(({ step, tasks }) => {
        const chosen = tasks.filter(needs);
        const groups = step.gang ? [chosen] : chosen.map(task => [task]);
        groups.forEach(group => void reserve(group));
    });

const createReservation = (
    free: FreeByExecutor,
    executorsWithTicket: RelocationOptions["executorsWithTicket"],
): Reservation => {
    let planned: readonly PlannedMember[] = [];
    return tasks => {
        const trial: FreeByExecutor = new Map(free);
        const members = chooseTogether(tasks, {
            freeByExecutor: trial,
            ticketsOf: step => executorsWithTicket?.(step),
            planned,
        });
        if (members === undefined) {
            return false;
        }
        planned = [...planned, ...members];
        trial.forEach((resources, executor) => free.set(executor, resources));
        return true;
    };
};

/** Steps with long-running tasks of jobs that have not ended, once the steps before them have. */
export const longRunningSteps = (tables: PoolTables): readonly OpenStep[] =>
    [...tables.jobs.values()]
        .filter(job => !isJobEnded(job))
        .flatMap(job => stepsOf(job).filter(step => step.step.longRunning && isReady(step)));

const isOnEvacuatedVm = ({ runs }: Task): boolean => runs.some(({ executor }) => executor.evacuation !== undefined);

// A task that was stopped in an earlier pass waits once the end of its run is known.
const needsRoom = ({ done, runs }: Task): boolean => !done && runs.every(({ phase }) => phase === "stopping");

// A run on an executor that does not respond may end much later.
const isWaitingSoon = (task: Task): boolean =>
    needsRoom(task) &&
    task.runs.length > 0 &&
    task.runs.every(({ stopCause, executor }) => stopCause === "evacuation" && executor.reachable);
