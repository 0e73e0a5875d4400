import type { Resources } from "@almondusher/jobs/job";
import { refusalOf, type PlannedMember, type TicketedExecutors } from "./choose-executor.js";
import { longRunningSteps } from "./relocation-room.js";
import { expectedRunMs } from "./order-steps.js";
import { isWaiting, type Executor, type OpenStep, type PoolTables, type Run, type Task } from "./pool-tables.js";
import { remainingRunMs } from "./remaining-time.js";
import { add, demandOf, fits, freeResources, subtract, withoutDeficit, type FreeByExecutor } from "./resources.js";
import { inheritedGateOf, jobGateOf, mayStart } from "./start-gates.js";
import { createTenantRoom } from "./tenant-room.js";

/** What a reservation depends on apart from the tables. */
interface ReservationOptions {
    /** Current time of the monotonic clock in milliseconds. */
    readonly nowMs: number;
    readonly executorsWithTicket: (step: OpenStep) => TicketedExecutors;
}

/** Resources that the end of a run sets free. */
interface Release {
    /** Expected time until the run ends, in milliseconds. */
    readonly inMs: number;
    readonly demand: Resources;
}

/** Room on an executor, apart from what is reserved. */
interface RoomForecast {
    /** Negative where reservations exceed what is free now. */
    freeNow: Resources;
    /** In the order of their times. */
    readonly releases: readonly Release[];
}

/** The executors' room, which is determined when it is first asked for. */
interface Forecasts {
    readonly of: (executor: Executor) => RoomForecast;
    /** What is free on each executor asked for once all runs that end by themselves or are being stopped have ended. */
    readonly freeLater: FreeByExecutor;
    readonly executors: readonly Executor[];
    /** Longest expected time until an executor has the room that is reserved on it, in milliseconds. */
    readonly maxWaitMs: number;
}

// A reservation stays on its executor unless another one is expected to have the room this much earlier, in milliseconds.
// Otherwise changed estimates would move it to and fro, and room that has become free would be lost each time.
const MIN_GAIN_MS = 500;
// Executors are compared again after this time, in milliseconds. A pass follows each end of a run.
const COMPARISON_INTERVAL_MS = 200;
// Smaller tasks must not wait for longer, in milliseconds, while most of the pool is free.
const MAX_WAIT_IN_FREE_POOL_MS = 2700;
const MIN_SHARE_IN_USE = 0.5;

/**
 * Reserves room for the long-running tasks that can start but fit nowhere, each on the executor that is expected to have it
 * first. What becomes free there is kept for the task until it fits, so that smaller tasks don't take each part of it.
 */
export const reserveForWaiting = (tables: PoolTables, free: FreeByExecutor, options: ReservationOptions): void => {
    const inheritedGate = inheritedGateOf(tables, options.nowMs);
    const tenantRoom = createTenantRoom(tables, options.nowMs);
    const groups = longRunningSteps(tables)
        .filter(({ job }) => jobGateOf(tables, job, inheritedGate) === undefined)
        // Room that is kept for a task which its tenant's cap keeps back would serve nobody.
        .map(step => groupsOf(tables, step).filter(group => tenantRoom.take(step, group.filter(isWaiting).length)))
        .filter(ofStep => ofStep.length > 0);
    if (groups.length === 0) {
        return;
    }
    const forecasts = createForecasts(tables, free, options.nowMs);
    // Tasks of a step differ only in the executors on which they failed.
    const planned = groups.flatMap(ofStep =>
        takeWhileDefined(ofStep, group => reserveGroup(group, forecasts, options)),
    );
    planned.flat().forEach(({ task, executor }) => {
        const now = free.get(executor);
        if (now !== undefined) {
            free.set(executor, withoutDeficit(subtract(now, demandOf(task.step.step))));
        }
    });
};

/** Tasks of a step that need room together. */
const groupsOf = (tables: PoolTables, { step, tasks }: OpenStep): readonly (readonly Task[])[] => {
    if (!step.gang) {
        return tasks.filter(task => mayStart(tables, task)).map(task => [task]);
    }
    return tasks.every(task => mayStart(tables, task) || isBeingStopped(task)) ? [tasks] : [];
};

// A run on an executor that does not respond may end much later.
const isBeingStopped = ({ runs }: Task): boolean =>
    runs.length > 0 && runs.every(({ phase, executor }) => phase === "stopping" && executor.reachable);

const takeWhileDefined = <Item, Result>(
    items: readonly Item[],
    map: (item: Item) => Result | undefined,
): readonly Result[] => {
    const results: Result[] = [];
    items.every(item => {
        const result = map(item);
        results.push(...(result === undefined ? [] : [result]));
        return result !== undefined;
    });
    return results;
};

const createForecasts = (tables: PoolTables, free: FreeByExecutor, nowMs: number): Forecasts => {
    const known = new Map<Executor, RoomForecast>();
    const freeLater: FreeByExecutor = new Map();
    const forecast = (executor: Executor): RoomForecast => {
        const releases = releasesOf(tables, executor, nowMs);
        const freeNow = free.get(executor) ?? executor.record.capacity;
        const created = { freeNow, releases };
        known.set(executor, created);
        freeLater.set(
            executor,
            releases.reduce((sum, { demand }) => add(sum, demand), freeNow),
        );
        return created;
    };
    const executors = [...free.keys()];
    return {
        of: executor => known.get(executor) ?? forecast(executor),
        freeLater,
        executors,
        maxWaitMs: isMostlyFree(executors) ? MAX_WAIT_IN_FREE_POOL_MS : Infinity,
    };
};

const isMostlyFree = (executors: readonly Executor[]): boolean => {
    const sumOf = (amountOf: (executor: Executor) => number): number =>
        executors.reduce((sum, executor) => sum + amountOf(executor), 0);
    return (
        sumOf(executor => freeResources(executor).cpu) >
        (1 - MIN_SHARE_IN_USE) * sumOf(({ record }) => record.capacity.cpu)
    );
};

const releasesOf = (tables: PoolTables, { runs }: Executor, nowMs: number): readonly Release[] =>
    [...runs.values()]
        .filter(({ phase, task }) => phase === "stopping" || !task.step.step.longRunning)
        .map(run => ({ inMs: timeUntilEndMs(tables, run, nowMs), demand: demandOf(run.task.step.step) }))
        .sort((left, right) => left.inMs - right.inMs);

// A run that has taken longer than expected may go on for as long again.
const timeUntilEndMs = (tables: PoolTables, run: Run, nowMs: number): number =>
    run.phase === "stopping"
        ? tables.stopTimeMs
        : Math.max(remainingRunMs(tables, run, nowMs), nowMs - run.startedAtMs - expectedRunMs(tables, run.task.step));

/** Reserves room for all tasks of a group or for none of them, which returns undefined. */
const reserveGroup = (
    group: readonly Task[],
    forecasts: Forecasts,
    options: ReservationOptions,
): readonly PlannedMember[] | undefined => {
    const planned: PlannedMember[] = [];
    const complete = group.every(task => {
        const executor =
            findRecentChoice(task, forecasts, planned, options) ?? chooseSoonest(task, forecasts, planned, options);
        if (executor === undefined) {
            return false;
        }
        planned.push({ task, executor });
        changeRoom(forecasts, executor, free => subtract(free, demandOf(task.step.step)));
        return true;
    });
    if (!complete) {
        planned.forEach(({ task, executor }) =>
            changeRoom(forecasts, executor, free => add(free, demandOf(task.step.step))),
        );
        return undefined;
    }
    return planned;
};

const changeRoom = (forecasts: Forecasts, executor: Executor, change: (free: Resources) => Resources): void => {
    const forecast = forecasts.of(executor);
    forecast.freeNow = change(forecast.freeNow);
    forecasts.freeLater.set(executor, change(forecasts.freeLater.get(executor) ?? executor.record.capacity));
};

const findRecentChoice = (
    task: Task,
    forecasts: Forecasts,
    planned: readonly PlannedMember[],
    options: ReservationOptions,
): Executor | undefined => {
    const { reservation } = task;
    if (reservation === undefined || options.nowMs - reservation.comparedAtMs >= COMPARISON_INTERVAL_MS) {
        return undefined;
    }
    const executor = forecasts.executors.find(({ id }) => id === reservation.executor);
    return executor !== undefined && waitOn(executor, task, forecasts, planned, options) !== undefined
        ? executor
        : undefined;
};

/** What has to end before an executor has room for a task; undefined if no room may be reserved there. */
const waitOn = (
    executor: Executor,
    task: Task,
    forecasts: Forecasts,
    planned: readonly PlannedMember[],
    { executorsWithTicket }: ReservationOptions,
): WaitForRoom | undefined => {
    const forecast = forecasts.of(executor);
    const choice = { freeByExecutor: forecasts.freeLater, tickets: executorsWithTicket(task.step), planned };
    if (refusalOf(task, executor, choice) !== undefined) {
        return undefined;
    }
    const wait = waitForRoom(task, forecast);
    return wait.inMs <= forecasts.maxWaitMs ? wait : undefined;
};

const chooseSoonest = (
    task: Task,
    forecasts: Forecasts,
    planned: readonly PlannedMember[],
    options: ReservationOptions,
): Executor | undefined => {
    const candidates = forecasts.executors
        .flatMap(executor => {
            const wait = waitOn(executor, task, forecasts, planned, options);
            return wait === undefined ? [] : [{ executor, ...wait }];
        })
        .sort((left, right) => left.inMs - right.inMs || left.ends - right.ends);
    const soonestMs = candidates[0]?.inMs ?? 0;
    const kept = candidates.find(
        ({ executor, inMs }) => executor.id === task.reservation?.executor && inMs <= soonestMs + MIN_GAIN_MS,
    );
    const chosen = (kept ?? candidates[0])?.executor;
    task.reservation = chosen === undefined ? undefined : { executor: chosen.id, comparedAtMs: options.nowMs };
    return chosen;
};

/** What has to end before an executor has room for a task. */
interface WaitForRoom {
    /** Expected time until the executor has the room, in milliseconds. */
    readonly inMs: number;
    /** Number of runs that have to end. */
    readonly ends: number;
}

const waitForRoom = ({ step }: Task, { freeNow, releases }: RoomForecast): WaitForRoom => {
    const demand = demandOf(step.step);
    if (fits(demand, freeNow)) {
        return { inMs: 0, ends: 0 };
    }
    let room = freeNow;
    const last = releases.findIndex(release => {
        room = add(room, release.demand);
        return fits(demand, room);
    });
    return { inMs: releases[last]?.inMs ?? Infinity, ends: last + 1 };
};
