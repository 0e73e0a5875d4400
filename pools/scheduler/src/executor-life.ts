import { clockWentBack, hearClock } from "./lease-time.js";
import { forgetRun, type Executor, type PoolTables, type Run } from "./pool-tables.js";

/** What an answer or record of an executor tells of its life; steady times in milliseconds. */
interface LifeSign {
    readonly clockMs: number;
    /** Unix time of the executor's start; undefined where it is not named, as in answers to orders. */
    readonly bornMs: number | undefined;
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
}

/**
 * Notes the clock of an executor, and that it has restarted under its id if another start is named or, in an answer
 * that names none, the clock went back. The clock tells it before a run that was started in the new life can be taken
 * for one of the former life. An outdated sign is ignored.
 */
export const noteLife = (executor: Executor, sign: LifeSign): void => {
    if (isOutdated(executor, sign)) {
        return;
    }
    if (isNewLife(executor, sign)) {
        beginLife(executor, sign.receivedAtMs);
    }
    if (sign.bornMs !== undefined) {
        nameLife(executor, sign.bornMs);
    }
    hearClock(executor, sign.clockMs, sign.receivedAtMs);
};

const isNewLife = (executor: Executor, { bornMs, clockMs, sentAtMs }: LifeSign): boolean =>
    bornMs === undefined
        ? clockWentBack(executor, clockMs, sentAtMs)
        : executor.isLifeNamed && bornMs !== executor.record.bornMs;

/** True for an answer to a call from before the present life was noticed, unless it names that life. */
export const isOutdated = (executor: Executor, { bornMs, sentAtMs }: Pick<LifeSign, "bornMs" | "sentAtMs">): boolean =>
    sentAtMs < executor.lifeSinceMs &&
    (bornMs === undefined || executor.isLifeNamed !== (bornMs === executor.record.bornMs));

/** Notes that an executor has accepted a start, after its clock in the answer was noted. */
export const confirmStart = (tables: PoolTables, run: Run, nowMs: number): void => {
    const { executor } = run;
    if (executor.leaseUntilMs === 0 && executor.clock !== undefined) {
        // The lease was sent for the clock of the former life; the executor has shortened it to the longest one.
        executor.leaseUntilMs = executor.clock.clockMs + tables.maxLeaseMs;
    }
    run.confirmedAtMs = nowMs;
    run.phase = run.phase === "starting" ? "running" : run.phase;
};

/** Begins a life whose start is not known yet. Starts without an answer may have reached it; other runs have ended. */
export const beginLife = (executor: Executor, nowMs: number): void => {
    [...executor.runs.values()].filter(({ confirmedAtMs }) => confirmedAtMs !== undefined).forEach(forgetRun);
    resetCounts(executor, nowMs);
    executor.isLifeNamed = false;
};

/** Notes when the present life of an executor began, in Unix milliseconds. */
export const nameLife = (executor: Executor, bornMs: number): void => {
    executor.record = { ...executor.record, bornMs };
    executor.isLifeNamed = true;
};

/** Forgets all runs of an executor that has ended, as another one has its address. */
export const endLife = (executor: Executor, nowMs: number): void => {
    [...executor.runs.values()].forEach(forgetRun);
    resetCounts(executor, nowMs);
};

const resetCounts = (executor: Executor, nowMs: number): void => {
    executor.life++;
    executor.lifeSinceMs = nowMs;
    executor.clock = undefined;
    executor.leaseUntilMs = 0;
    executor.seenEnd = 0;
    executor.storedEnd = 0;
    executor.failureStreak = 0;
    executor.strays = [];
    executor.inspected = false;
};

/**
 * Number of the last end that the executor may forget. None while a start may have reached a later life, whose ends
 * have the same numbers and would be forgotten unseen.
 */
export const acknowledgedEnd = (executor: Executor): number =>
    executor.hasUncheckedStart || [...executor.runs.values()].some(({ confirmedAtMs }) => confirmedAtMs === undefined)
        ? 0
        : executor.storedEnd;
