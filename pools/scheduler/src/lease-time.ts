import type { Executor } from "./pool-tables.js";

/** Rate of the slowest clock of an executor, as a share of ours. */
export const SLOWEST_CLOCK_RATE = 0.98;
const LAPSE_MARGIN_MS = 100;

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

/** True when every lease that was sent to the executor has ended, however late its clock is. */
export const leaseLapsed = (executor: Executor, nowMs: number): boolean => {
    const clock = earliestClock(executor, nowMs);
    return clock !== undefined && clock > executor.leaseUntilMs + LAPSE_MARGIN_MS;
};
