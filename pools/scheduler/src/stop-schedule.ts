/** When stop requests of a run were sent. */
export interface StopSchedule {
    /** When a stop request was last sent, in milliseconds of the monotonic clock. */
    stopSentAtMs: number | undefined;
    /** Number of stop requests that were sent. */
    stopsSent: number;
}

/** Current time and shortest interval between two stop requests of a run, in milliseconds. */
export interface StopTimes {
    readonly nowMs: number;
    readonly resendAfterMs: number;
}

// Bounds the interval, so that a run whose stop requests were lost ends soon after its executor responds again.
const MAX_RESEND_FACTOR = 4;

/** True if a stop request is due. The interval doubles with each request that is sent, up to a bound. */
export const isStopDue = ({ stopSentAtMs, stopsSent }: StopSchedule, { nowMs, resendAfterMs }: StopTimes): boolean =>
    stopSentAtMs === undefined ||
    nowMs - stopSentAtMs >= resendAfterMs * Math.min(2 ** (stopsSent - 1), MAX_RESEND_FACTOR);

/** Records that a stop request is sent now. */
export const recordStop = (schedule: StopSchedule, nowMs: number): void => {
    schedule.stopSentAtMs = nowMs;
    schedule.stopsSent++;
};
