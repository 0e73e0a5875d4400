import type { Executor } from "./pool-tables.js";

/** Rate of the slowest clock of an executor, as a share of ours. */
export const SLOWEST_CLOCK_RATE = 0.98;
const EXPIRY_MARGIN_MS = 100;
// A start without an answer may have been on its way for this long.
const MAX_START_DELIVERY_MS = 500;
// Clocks are told in whole milliseconds.
const CLOCK_ROUNDING_MS = 2;

/** Notes a reading of the executor's clock, unless a newer one is known. */
export const recordClockReading = (executor: Executor, clockMs: number, heardAtMs: number): void => {
    const known = executor.clock;
    if (known === undefined || clockMs >= known.clockMs + SLOWEST_CLOCK_RATE * (heardAtMs - known.heardAtMs)) {
        executor.clock = { clockMs, heardAtMs };
    }
};

/** Time on the executor's clock, at least. */
const minClockMs = (executor: Executor, nowMs: number): number | undefined =>
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
    const earliest = minClockMs(executor, sentAtMs);
    return earliest !== undefined && clockMs + CLOCK_ROUNDING_MS < earliest;
};

/** True when the longest lease of a start that was sent at a steady time has ended, also on the clock of a new life. */
export const hasLongestLeaseExpired = (startedAtMs: number, maxLeaseMs: number, nowMs: number): boolean =>
    nowMs > startedAtMs + MAX_START_DELIVERY_MS + maxLeaseMs / SLOWEST_CLOCK_RATE + EXPIRY_MARGIN_MS;

/** True when every lease that was sent to the executor has ended, however late its clock is. */
export const haveLeasesExpired = (executor: Executor, nowMs: number): boolean => {
    const clock = minClockMs(executor, nowMs);
    return clock !== undefined && clock > executor.leaseUntilMs + EXPIRY_MARGIN_MS;
};
