/** Learned run time of the requests of one key, such as a route; milliseconds. */
export interface RunTime {
    readonly mean: number;
    /** Estimate of the 95th percentile. */
    readonly high: number;
    readonly samples: number;
}

/** Learned run times by key. */
export interface RunTimes {
    readonly rows: Map<string, RunTime>;
}

const MEAN_SHARE = 0.05;
const HIGH_QUANTILE = 0.95;
// Relative step of the quantile estimate: larger follows changes faster and scatters more.
const HIGH_STEP = 0.1;
const MIN_HIGH_MS = 0.01;
const MAX_KEYS = 4_096;

/** Creates an empty table. */
export const createRunTimes = (): RunTimes => ({ rows: new Map() });

/** Learns the run time of one request, with a constant cost. */
export const learnRunTime = (runTimes: RunTimes, key: string, elapsedMs: number): void => {
    const row = runTimes.rows.get(key);
    if (row === undefined && runTimes.rows.size >= MAX_KEYS) {
        const [oldest] = runTimes.rows.keys();
        runTimes.rows.delete(oldest ?? "");
    }
    runTimes.rows.set(key, nextRunTime(row, elapsedMs));
};

/** The learned run time of a key; undefined before its first request. */
export const runTimeOf = (runTimes: RunTimes, key: string): RunTime | undefined => runTimes.rows.get(key);

/** The row after one more sample. */
const nextRunTime = (row: RunTime | undefined, elapsedMs: number): RunTime => {
    if (row === undefined) {
        return { mean: elapsedMs, high: Math.max(MIN_HIGH_MS, elapsedMs), samples: 1 };
    }
    // The first samples weigh more, so that a new key does not stay at its first value.
    const share = Math.max(MEAN_SHARE, 1 / (row.samples + 1));
    return {
        mean: row.mean + share * (elapsedMs - row.mean),
        high: nextHigh(row.high, elapsedMs),
        samples: row.samples + 1,
    };
};

// Moves up with weight 0.95 and down with weight 0.05, which balances where 5% of the samples are above.
const nextHigh = (high: number, elapsedMs: number): number => {
    const step = elapsedMs > high ? HIGH_QUANTILE : HIGH_QUANTILE - 1;
    return Math.max(MIN_HIGH_MS, high * (1 + HIGH_STEP * step));
};
