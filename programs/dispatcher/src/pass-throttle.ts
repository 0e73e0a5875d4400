/** Runs scheduling passes on request, with pauses that grow with the time that a pass takes. */
export interface PassThrottle {
    /** Requests a pass; requests until it begins are covered by it. */
    readonly request: () => void;
    readonly run: () => void;
}

/** Options of a pacer. */
export interface PassThrottleOptions {
    readonly pass: () => void;
    /** Steady clock in milliseconds. */
    readonly monotonicMs: () => number;
    /** Calls back after a time in milliseconds. */
    readonly schedule: (waitMs: number, callback: () => void) => void;
}

// A pass looks at every open task, so it leaves most of the processor to the calls whose answers it waits for.
const PAUSE_PER_PASS_TIME = 3;

/** Creates a pacer. */
export const createPassThrottle = ({ pass, monotonicMs, schedule }: PassThrottleOptions): PassThrottle => {
    let requested = false;
    let earliestNextPassMs = Number.NEGATIVE_INFINITY;
    const run = (): void => {
        requested = false;
        const startedAtMs = monotonicMs();
        pass();
        const endedAtMs = monotonicMs();
        earliestNextPassMs = endedAtMs + (endedAtMs - startedAtMs) * PAUSE_PER_PASS_TIME;
    };
    return {
        run,
        request: () => {
            if (!requested) {
                requested = true;
                schedule(Math.max(0, earliestNextPassMs - monotonicMs()), run);
            }
        },
    };
};
