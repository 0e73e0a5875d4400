import { expectedRunMs } from "./order-steps.js";
import type { PoolTables, Run } from "./pool-tables.js";

// A task may end a moment after it was last seen at 99%.
const MAX_PERCENT = 99;
// Below this the reported progress says little about the pace.
const MIN_PERCENT = 10;
const COMPLETE_PERCENT = 100;

/** Time that a run is likely to need until its end, in milliseconds; the longer of what its kind takes and its own pace. */
export const remainingRunMs = (tables: PoolTables, run: Run, nowMs: number): number => {
    const percent = Math.min(run.percent, MAX_PERCENT);
    const expectedMs = expectedRunMs(tables, run.task.step) * (1 - percent / COMPLETE_PERCENT);
    const elapsedMs = nowMs - run.startedAtMs;
    const atObservedRateMs = percent < MIN_PERCENT ? 0 : (elapsedMs * (COMPLETE_PERCENT - percent)) / percent;
    return Math.max(expectedMs, atObservedRateMs);
};
