/** Learned run times of one class: moving averages in milliseconds. */
export interface RunTimes {
    actualMs: number;
    expectedMs: number;
}

// Assumed until the first request has finished.
const FIRST_RUN_TIME_MS = 1_000;
// Weight of the newest run time; about the last 20 requests count.
const NEWEST_WEIGHT = 0.05;
// A single wrong estimate must not turn the expected wait to zero or to hours.
const MAX_CORRECTION = 10;

/** Run times before the first request has finished. */
export const createRunTimes = (): RunTimes => ({ actualMs: FIRST_RUN_TIME_MS, expectedMs: FIRST_RUN_TIME_MS });

/** Learns from a finished request. */
export const learnRunTime = (runTimes: RunTimes, actualMs: number, expectedMs: number): void => {
    runTimes.actualMs += NEWEST_WEIGHT * (actualMs - runTimes.actualMs);
    runTimes.expectedMs += NEWEST_WEIGHT * (expectedMs - runTimes.expectedMs);
};

/** Factor by which recent requests ran longer than was expected. */
export const correctionOf = (runTimes: RunTimes): number =>
    Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, runTimes.actualMs / Math.max(1, runTimes.expectedMs)));
