/** Runs scheduling passes on request, with pauses that grow with the time that a pass takes. */
export interface PassPacer {
    /** Requests a pass; requests until it begins are covered by it. */
    readonly request: () => void;
    readonly run: () => void;
}

/** Options of a pacer. */
export interface PassPacerOptions {
    readonly pass: () => void;
    /** Steady clock in milliseconds. */
    readonly steadyMs: () => number;
    /** Calls back after a time in milliseconds. */
    readonly after: (waitMs: number, callback: () => void) => void;
}

// A pass looks at every open task, so it leaves most of the processor to the calls whose answers it waits for.
const PAUSE_FACTOR = 3;

/** Creates a pacer. */
export const createPassPacer = ({ pass, steadyMs, after }: PassPacerOptions): PassPacer => {
    let requested = false;
    let nextAtMs = Number.NEGATIVE_INFINITY;
    const run = (): void => {
        requested = false;
        const beganAtMs = steadyMs();
        pass();
        const endedAtMs = steadyMs();
        nextAtMs = endedAtMs + (endedAtMs - beganAtMs) * PAUSE_FACTOR;
    };
    return {
        run,
        request: () => {
            if (!requested) {
                requested = true;
                after(Math.max(0, nextAtMs - steadyMs()), run);
            }
        },
    };
};
