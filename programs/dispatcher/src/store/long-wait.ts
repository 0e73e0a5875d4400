/** How long something has waited, and when that is logged next, in milliseconds of the monotonic clock. */
export interface LongWait {
    readonly sinceMs: number;
    logAtMs: number;
}

/** Begins a wait that is logged for the first time after the given time, in milliseconds. */
export const beginWait = (sinceMs: number, firstLogAfterMs: number): LongWait => ({
    sinceMs,
    logAtMs: sinceMs + firstLogAfterMs,
});

/** Delays the next log line until the wait has doubled. */
export const delayNextLog = (wait: LongWait, nowMs: number): void => {
    wait.logAtMs = wait.sinceMs + 2 * (nowMs - wait.sinceMs);
};
