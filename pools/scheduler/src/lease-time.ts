import type { Executor } from "./pool-tables.js";

/** Rate of the slowest clock of an executor, as a share of ours. */
export const SLOWEST_CLOCK_RATE = 0.98;
const LAPSE_MARGIN_MS = 100;
// A start without an answer may have been on its way for this long.
const START_SLACK_MS = 500;
// Clocks are told in whole milliseconds.
const CLOCK_ROUNDING_MS = 2;

/** Notes a reading of the executor's clock, unless a newer one is known. */
export const hearClock = (executor: Executor, clockMs: number, heardAtMs: number): void => {
    const known = executor.clock;
    if (known === undefined || clockMs >= known.clockMs + SLOWEST_CLOCK_RATE * (heardAtMs - known.heardAtMs)) {
        executor.clock = { clockMs, heardAtMs };
    }
};

/** Time on the executor's clock, at least. */
const earliestClock = (executor: Executor, nowMs: number): number | undefined =>
    executor.clock === undefined
        ? undefined
        : executor.clock.clockMs + SLOWEST_CLOCK_RATE * (nowMs - executor.clock.heardAtMs);

/** End of a lease of the given length, on the executor's clock; undefined while its clock is unknown. */
export const leaseUntil = (executor: Executor, nowMs: number, lengthMs: number): number | undefined =>
    executor.clock === undefined
        ? undefined
        : Math.floor(executor.clock.clockMs + (nowMs - executor.clock.heardAtMs) + lengthMs);

/** True if a clock that was read after `sentAtMs` cannot be that of the life whose clock is known. */
export const clockWentBack = (executor: Executor, clockMs: number, sentAtMs: number): boolean => {
    const earliest = earliestClock(executor, sentAtMs);
    return earliest !== undefined && clockMs + CLOCK_ROUNDING_MS < earliest;
};

/** True when the longest lease of a start that was sent at a steady time has ended, also on the clock of a new life. */
export const longestLeaseLapsed = (startedAtMs: number, maxLeaseMs: number, nowMs: number): boolean =>
    nowMs > startedAtMs + START_SLACK_MS + maxLeaseMs / SLOWEST_CLOCK_RATE + LAPSE_MARGIN_MS;

/** True when every lease that was sent to the executor has ended, however late its clock is. */
export const leaseLapsed = (executor: Executor, nowMs: number): boolean => {
    const clock = earliestClock(executor, nowMs);
    return clock !== undefined && clock > executor.leaseUntilMs + LAPSE_MARGIN_MS;
};
