/** Exponential moving averages of the actual and expected run times of one class, in milliseconds. */
export interface RunTimes {
    actualMs: number;
    expectedMs: number;
}

// Assumed until the first request has finished.
const INITIAL_RUN_TIME_MS = 1_000;
// Weight of the newest run time; the average covers about the last 20 requests.
const NEWEST_WEIGHT = 0.05;
// Bounds the correction, so that a single wrong estimate does not reduce the expected wait to zero or raise it to
// hours.
const MAX_CORRECTION = 10;

export const createRunTimes = (): RunTimes => ({ actualMs: INITIAL_RUN_TIME_MS, expectedMs: INITIAL_RUN_TIME_MS });

/** Updates the averages with a finished request. */
export const recordRunTime = (runTimes: RunTimes, actualMs: number, expectedMs: number): void => {
    runTimes.actualMs += NEWEST_WEIGHT * (actualMs - runTimes.actualMs);
    runTimes.expectedMs += NEWEST_WEIGHT * (expectedMs - runTimes.expectedMs);
};

/** Ratio of the actual to the expected run time of recent requests, bounded. */
export const estimateCorrection = (runTimes: RunTimes): number =>
    Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, runTimes.actualMs / Math.max(1, runTimes.expectedMs)));
