import { highRunMs, runMsAtAge } from "./learned-times.js";
import type { PoolTables, Run } from "./pool-tables.js";

// A run that has not ended may take a little longer, so reported progress above 99% counts as 99%.
const MAX_PERCENT = 99;
// Reported progress below this is too low to derive a rate from it.
const MIN_PERCENT = 10;
const COMPLETE_PERCENT = 100;

/**
 * Estimated remaining time of a run in milliseconds, by its expected run time or its rate, whichever gives more. Without a
 * rate, one that has lasted longer than expected has as long to go as others of its kind that lasted so long.
 */
export const remainingRunMs = (tables: PoolTables, run: Run, nowMs: number): number => {
    const percent = Math.min(run.percent, MAX_PERCENT);
    const elapsedMs = nowMs - run.startedAtMs;
    const expectedMs = runMsAtAge(tables, run, 0) * (1 - percent / COMPLETE_PERCENT);
    if (percent >= MIN_PERCENT) {
        return Math.max(expectedMs, (elapsedMs * (COMPLETE_PERCENT - percent)) / percent);
    }
    // The age of a run that began with a checkpoint is no bound of its kind's run time.
    return run.resumedFrom === "" ? Math.max(expectedMs, runMsAtAge(tables, run, elapsedMs) - elapsedMs) : expectedMs;
};

/** Remaining time of a run in milliseconds that is exceeded rarely. A run whose rate is known has that of its rate. */
export const highRemainingRunMs = (tables: PoolTables, run: Run, nowMs: number): number => {
    const remainingMs = remainingRunMs(tables, run, nowMs);
    return run.percent >= MIN_PERCENT
        ? remainingMs
        : Math.max(remainingMs, highRunMs(tables, run.task.step) - (nowMs - run.startedAtMs));
};
