import { expectedRunMs } from "./order-steps.js";
import type { PoolTables, Run } from "./pool-tables.js";

// A run that has not ended may take a little longer, so reported progress above 99% counts as 99%.
const MAX_PERCENT = 99;
// Reported progress below this is too low to derive a rate from it.
const MIN_PERCENT = 10;
const COMPLETE_PERCENT = 100;

/** Estimated remaining time of a run in milliseconds, by its expected run time or its rate, whichever gives more. */
export const remainingRunMs = (tables: PoolTables, run: Run, nowMs: number): number => {
    const percent = Math.min(run.percent, MAX_PERCENT);
    const expectedMs = expectedRunMs(tables, run.task.step) * (1 - percent / COMPLETE_PERCENT);
    const elapsedMs = nowMs - run.startedAtMs;
    const atObservedRateMs = percent < MIN_PERCENT ? 0 : (elapsedMs * (COMPLETE_PERCENT - percent)) / percent;
    return Math.max(expectedMs, atObservedRateMs);
};
