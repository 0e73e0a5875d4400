/** Notes when faults are active. */
export interface FaultPeriod {
    readonly begin: () => void;
    readonly end: () => void;
    /** Time since the last fault in milliseconds; 0 while one is active. */
    readonly calmMs: () => number;
}

export const createFaultPeriod = (): FaultPeriod => {
    let active = false;
    let endedAtMs = Number.NEGATIVE_INFINITY;
    return {
        begin: () => (active = true),
        end: () => {
            active = false;
            endedAtMs = performance.now();
        },
        calmMs: () => (active ? 0 : performance.now() - endedAtMs),
    };
};
