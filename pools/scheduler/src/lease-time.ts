import type { Executor } from "./pool-tables.js";

/** Lowest rate at which an executor's clock may run, relative to the clock of this process. */
export const SLOWEST_CLOCK_RATE = 0.98;
/** Added to the calculated end of a lease, in milliseconds. */
export const EXPIRY_MARGIN_MS = 100;
// An unanswered start request may have reached the executor this long after it was sent. Covers the time limit of a
// request, which a stall of the event loop doubles at most.
const MAX_START_DELIVERY_MS = 800;
// Clock readings are rounded to whole milliseconds.
const CLOCK_ROUNDING_MS = 2;

/** Records a reading of the executor's clock unless a more recent one is known. */
export const recordClockReading = (executor: Executor, clockMs: number, heardAtMs: number): void => {
    const known = executor.clock;
    if (known === undefined || clockMs >= known.clockMs + SLOWEST_CLOCK_RATE * (heardAtMs - known.heardAtMs)) {
        executor.clock = { clockMs, heardAtMs };
    }
};

/** Lower bound of the time on the executor's clock; undefined while no reading is known. */
const minClockMs = (executor: Executor, nowMs: number): number | undefined =>
    executor.clock === undefined
        ? undefined
        : executor.clock.clockMs + SLOWEST_CLOCK_RATE * (nowMs - executor.clock.heardAtMs);

/**
 * End, on the executor's clock, of a lease of at most the given length; undefined while no reading of the clock is known.
 * A lease computed from an old reading may be shorter, but never longer: a successor waits only for the given length.
 */
export const leaseUntil = (executor: Executor, nowMs: number, lengthMs: number): number | undefined => {
    const clockMs = minClockMs(executor, nowMs);
    return clockMs === undefined ? undefined : Math.floor(clockMs + lengthMs);
};

/** True if the known reading of the clock is so old that less than half of a lease of the given length may be granted. */
export const isClockReadingOld = ({ clock }: Executor, nowMs: number, lengthMs: number): boolean =>
    clock === undefined || (1 - SLOWEST_CLOCK_RATE) * (nowMs - clock.heardAtMs) > lengthMs / 2;

/** A reading of an executor's clock in the response to a request, and when the request was sent on the monotonic clock. */
export interface ClockEvidence {
    readonly clockMs: number;
    readonly sentAtMs: number;
}

/**
 * True if a reading cannot belong to the incarnation of the known one. Only a request that was sent after the known reading
 * was received proves this: responses on different connections overtake each other.
 */
export const clockWentBack = (executor: Executor, { clockMs, sentAtMs }: ClockEvidence): boolean => {
    const earliest = minClockMs(executor, sentAtMs);
    return earliest !== undefined && !wasOvertaken(executor, sentAtMs) && clockMs + CLOCK_ROUNDING_MS < earliest;
};

/**
 * True if a reading in an overtaken response is earlier than the time between the two explains. Either the response comes
 * from a new incarnation, or this process was suspended in between and its clock with it.
 */
export const isReadingAmbiguous = (executor: Executor, { clockMs, sentAtMs }: ClockEvidence): boolean =>
    executor.clock !== undefined &&
    wasOvertaken(executor, sentAtMs) &&
    clockMs + CLOCK_ROUNDING_MS < executor.clock.clockMs - (executor.clock.heardAtMs - sentAtMs);

const wasOvertaken = ({ clock }: Executor, sentAtMs: number): boolean =>
    clock !== undefined && sentAtMs < clock.heardAtMs;

/** True once the longest possible lease of a start request has expired, even on the clock of a new incarnation. */
export const hasLongestLeaseExpired = (startedAtMs: number, maxLeaseMs: number, nowMs: number): boolean =>
    nowMs > startedAtMs + MAX_START_DELIVERY_MS + maxLeaseMs / SLOWEST_CLOCK_RATE + EXPIRY_MARGIN_MS;

/** True once every lease that was sent to the incarnation has expired, even if its clock runs at the lowest rate. */
export const haveOwnLeasesExpired = (executor: Executor, nowMs: number): boolean => {
    const clock = minClockMs(executor, nowMs);
    return clock !== undefined && clock > executor.leaseUntilMs + EXPIRY_MARGIN_MS;
};
