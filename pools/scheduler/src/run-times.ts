import type { QueueName } from "@almondusher/jobs/ids";

/** Sums of a linear regression of the logarithms of observed run times on those of declared ones. */
interface RunTimeSums {
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

// Prior of the regression slope. Until enough runs were observed, the logarithm of the expected run time changes only
// half as much as the logarithm of the declared time.
const PRIOR_SLOPE = 0.5;
// Number of samples that the prior weighs as much as.
const PRIOR_SAMPLES = 6;
// Variance of the logarithm of declared times that the prior's samples are assumed to have.
const PRIOR_VARIANCE = 0.5;
const DEFAULT_RUN_MS = 1000;
const MIN_RUN_MS = 20;

/** Adds the run time of a task that ran from its start to its end without resuming from a checkpoint. */
export const learnRunTime = (table: RunTimeTable, queue: QueueName, declaredMs: number, observedMs: number): void => {
    const sums = table.get(queue) ?? emptySums();
    table.set(queue, sums);
    const observed = Math.log(Math.max(observedMs, MIN_RUN_MS));
    if (declaredMs <= 0) {
        sums.undeclaredSamples++;
        sums.undeclaredObserved += observed;
        return;
    }
    const declared = Math.log(declaredMs);
    sums.samples++;
    sums.declared += declared;
    sums.observed += observed;
    sums.declaredSquares += declared * declared;
    sums.products += declared * observed;
};

/** Expected run time in milliseconds of a task with the given declared run time (0 if it has none). */
export const estimateRunTime = (table: RunTimeTable, queue: QueueName, declaredMs: number): number => {
    const sums = table.get(queue);
    if (sums === undefined || sums.samples + sums.undeclaredSamples === 0) {
        return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
    }
    const meanObserved = (sums.observed + sums.undeclaredObserved) / (sums.samples + sums.undeclaredSamples);
    if (declaredMs <= 0 || sums.samples === 0) {
        return Math.exp(meanObserved);
    }
    const meanDeclared = sums.declared / sums.samples;
    return Math.exp(sums.observed / sums.samples + slopeOf(sums) * (Math.log(declaredMs) - meanDeclared));
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
