/** Remembers since when each key has had its current value. */
export interface ValuePeriods<Value> {
    /** Notes the value that a key has now; undefined if it has none. */
    readonly observe: (key: string, value: Value | undefined) => void;
    /** Monotonic time at which the current value was first observed, in milliseconds; undefined if there is none. */
    readonly sinceMs: (key: string) => number | undefined;
    /** Forgets all values. */
    readonly clear: () => void;
}

/** Creates the record; `monotonicMs` returns the monotonic time in milliseconds. */
export const createValuePeriods = <Value>(monotonicMs: () => number): ValuePeriods<Value> => {
    const periods = new Map<string, { readonly value: Value; readonly sinceMs: number }>();
    return {
        observe: (key, value) => {
            if (value === undefined) {
                periods.delete(key);
            } else if (periods.get(key)?.value !== value) {
                periods.set(key, { value, sinceMs: monotonicMs() });
            }
        },
        sinceMs: key => periods.get(key)?.sinceMs,
        clear: () => periods.clear(),
    };
};
