/** Estimated run time in milliseconds of the requests of one key, such as a route. */
export interface RunTime {
    readonly mean: number;
    /** Estimate of the 95th percentile. */
    readonly p95: number;
    readonly samples: number;
}

/** Estimated run times by key. */
export interface RunTimes {
    readonly rows: Map<string, RunTime>;
}

const MIN_MEAN_WEIGHT = 0.05;
const QUANTILE = 0.95;
// Relative step of the quantile estimate: a larger step follows changes faster but has a higher variance.
const QUANTILE_STEP = 0.1;
const MIN_P95_MS = 0.01;
const MAX_KEYS = 4_096;

/** Creates an empty table. */
export const createRunTimes = (): RunTimes => ({ rows: new Map() });

/** Updates the estimates of a key with the run time of one request, in constant time. */
export const recordRunTime = (runTimes: RunTimes, key: string, elapsedMs: number): void => {
    const row = runTimes.rows.get(key);
    if (row === undefined && runTimes.rows.size >= MAX_KEYS) {
        const [oldest] = runTimes.rows.keys();
        runTimes.rows.delete(oldest ?? "");
    }
    runTimes.rows.set(key, nextRunTime(row, elapsedMs));
};

/** Returns the estimates of a key; undefined before its first request. */
export const runTimeOf = (runTimes: RunTimes, key: string): RunTime | undefined => runTimes.rows.get(key);

/** Returns the estimates after one more sample. */
const nextRunTime = (row: RunTime | undefined, elapsedMs: number): RunTime => {
    if (row === undefined) {
        return { mean: elapsedMs, p95: Math.max(MIN_P95_MS, elapsedMs), samples: 1 };
    }
    // The first samples have a higher weight, so that the mean of a new key does not stay close to its first sample.
    const weight = Math.max(MIN_MEAN_WEIGHT, 1 / (row.samples + 1));
    return {
        mean: row.mean + weight * (elapsedMs - row.mean),
        p95: nextP95(row.p95, elapsedMs),
        samples: row.samples + 1,
    };
};

// Steps up with weight 0.95 and down with weight 0.05, so that 5% of the samples are above the stable estimate.
const nextP95 = (p95: number, elapsedMs: number): number => {
    const step = elapsedMs > p95 ? QUANTILE : QUANTILE - 1;
    return Math.max(MIN_P95_MS, p95 * (1 + QUANTILE_STEP * step));
};
