/** Runs scheduling passes on request, with pauses proportional to the duration of the last pass. */
export interface PassThrottle {
    /** Requests a pass. Requests made before that pass starts are merged into it. */
    readonly request: () => void;
    /** Runs a pass immediately, even if the pause after the last one has not ended. */
    readonly run: () => void;
}

export interface PassThrottleOptions {
    readonly pass: () => void;
    /** Monotonic clock in milliseconds. */
    readonly monotonicMs: () => number;
    /** Calls back after a time in milliseconds. */
    readonly after: (waitMs: number, callback: () => void) => void;
}

// Pause after a pass as a multiple of its duration. A pass iterates over all open tasks, so most of the processor time
// has to be left for handling the requests and responses that it depends on.
const PAUSE_FACTOR = 3;
// Shortest pause after a pass. Answers that arrive during it are handled by one pass, not by one each.
const MIN_PAUSE_MS = 10;

export const createPassThrottle = ({ pass, monotonicMs, after }: PassThrottleOptions): PassThrottle => {
    let requested = false;
    let earliestNextPassMs = Number.NEGATIVE_INFINITY;
    const run = (): void => {
        requested = false;
        const startedAtMs = monotonicMs();
        pass();
        const endedAtMs = monotonicMs();
        earliestNextPassMs = endedAtMs + Math.max(MIN_PAUSE_MS, (endedAtMs - startedAtMs) * PAUSE_FACTOR);
    };
    return {
        run,
        request: () => {
            if (!requested) {
                requested = true;
                after(Math.max(0, earliestNextPassMs - monotonicMs()), run);
            }
        },
    };
};
