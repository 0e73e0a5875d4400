import type { QueueName } from "@almondusher/jobs/ids";

/** Sums of a linear regression of the logarithms of observed run times on those of declared ones. */
export interface RunTimeSums {
    samples: number;
    declared: number;
    observed: number;
    declaredSquares: number;
    products: number;
    /** Number of samples without a declared run time. They contribute only to the mean of the observed run times. */
    undeclaredSamples: number;
    /** Sum of the logarithms of the run times observed for these samples. */
    undeclaredObserved: number;
}

/** Regression sums by queue. */
export type RunTimeTable = Map<QueueName, RunTimeSums>;

// After this many runs of a queue or kind, an old one counts half as much.
const HALF_LIFE_RUNS = 200;
/** What is left of the weight of a run after one further run. */
export const FADE = 2 ** (-1 / HALF_LIFE_RUNS);

// Prior of the regression slope. Until enough runs were observed, the logarithm of the expected run time changes only
// half as much as the logarithm of the declared time.
const PRIOR_SLOPE = 0.5;
// Number of samples that the prior weighs as much as.
const PRIOR_SAMPLES = 6;
// Variance of the logarithm of declared times that the prior's samples are assumed to have.
const PRIOR_VARIANCE = 0.5;
const DEFAULT_RUN_MS = 1000;
const MIN_RUN_MS = 20;
// Longer times, declared or observed, count as this, so that no sum overflows.
const MAX_RUN_MS = 1e9;

/** A run time in milliseconds within the range that is learned. */
export const clampRunMs = (ms: number): number => Math.min(MAX_RUN_MS, Math.max(MIN_RUN_MS, ms));

/** True for a declared time that says something. */
export const isDeclared = (declaredMs: number): boolean => declaredMs > 0 && Number.isFinite(declaredMs);

/** Adds the run time of a task that ran from its start to its end without resuming from a checkpoint. */
export const learnRunTime = (table: RunTimeTable, queue: QueueName, declaredMs: number, observedMs: number): void => {
    if (Number.isNaN(observedMs)) {
        return;
    }
    const sums = table.get(queue) ?? emptySums();
    table.set(queue, sums);
    scaleSums(sums, FADE);
    const observed = Math.log(clampRunMs(observedMs));
    if (!isDeclared(declaredMs)) {
        sums.undeclaredSamples++;
        sums.undeclaredObserved += observed;
        return;
    }
    const declared = Math.log(clampRunMs(declaredMs));
    sums.samples++;
    sums.declared += declared;
    sums.observed += observed;
    sums.declaredSquares += declared * declared;
    sums.products += declared * observed;
};

/** Expected run time in milliseconds of a task with the given declared run time (0 if it has none). */
export const estimateRunTime = (table: RunTimeTable, queue: QueueName, declaredMs: number): number =>
    table.has(queue)
        ? Math.exp(expectedLog(regressionOf(table, queue), declaredMs))
        : isDeclared(declaredMs)
          ? clampRunMs(declaredMs)
          : DEFAULT_RUN_MS;

/** A regression line between logarithms of times in milliseconds. */
export interface Regression {
    readonly slope: number;
    readonly intercept: number;
    /** Expected logarithm without a declared time. */
    readonly undeclaredLog: number;
}

/** Expected logarithm of a run time with the given declared run time. */
export const expectedLog = ({ slope, intercept, undeclaredLog }: Regression, declaredMs: number): number =>
    isDeclared(declaredMs) ? intercept + slope * Math.log(clampRunMs(declaredMs)) : undeclaredLog;

/** The regression of a queue; without runs, declared times are expected to be right. */
export const regressionOf = (table: RunTimeTable, queue: QueueName): Regression => {
    const sums = table.get(queue);
    if (sums === undefined || sums.samples + sums.undeclaredSamples === 0) {
        return { slope: 1, intercept: 0, undeclaredLog: Math.log(DEFAULT_RUN_MS) };
    }
    const undeclaredLog = (sums.observed + sums.undeclaredObserved) / (sums.samples + sums.undeclaredSamples);
    if (sums.samples === 0) {
        return { slope: 0, intercept: undeclaredLog, undeclaredLog };
    }
    const slope = slopeOf(sums);
    return { slope, intercept: (sums.observed - slope * sums.declared) / sums.samples, undeclaredLog };
};

/** Multiplies the weight of all samples. */
export const scaleSums = (sums: RunTimeSums, factor: number): void => {
    sums.samples *= factor;
    sums.declared *= factor;
    sums.observed *= factor;
    sums.declaredSquares *= factor;
    sums.products *= factor;
    sums.undeclaredSamples *= factor;
    sums.undeclaredObserved *= factor;
};

const slopeOf = ({ samples, declared, observed, declaredSquares, products }: RunTimeSums): number => {
    const variance = Math.max(0, declaredSquares - (declared * declared) / samples);
    const covariance = products - (declared * observed) / samples;
    const prior = PRIOR_SAMPLES * PRIOR_VARIANCE;
    return Math.min(1, Math.max(0, (covariance + PRIOR_SLOPE * prior) / (variance + prior)));
};

const emptySums = (): RunTimeSums => ({
    samples: 0,
    declared: 0,
    observed: 0,
    declaredSquares: 0,
    products: 0,
    undeclaredSamples: 0,
    undeclaredObserved: 0,
});
