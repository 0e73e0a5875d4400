import type { QueueName } from "@almondusher/jobs/ids";

/** Sums of a regression of logarithms of seen run times on those of declared ones. */
interface RunTimeSums {
    samples: number;
    declared: number;
    seen: number;
    declaredSquares: number;
    products: number;
    /** Samples without a declared time, which tell only the mean. */
    undeclaredSamples: number;
    undeclaredSeen: number;
}

/** Run times by queue. */
export type RunTimeTable = Map<QueueName, RunTimeSums>;

// Before anything was seen, a declared time counts as half true: the slope that these samples stand for.
const PRIOR_SLOPE = 0.5;
const PRIOR_SAMPLES = 6;
// Spread of declared times, as the variance of their logarithm, that the first samples are taken to have.
const PRIOR_VARIANCE = 0.5;
const DEFAULT_RUN_MS = 1000;
const MIN_RUN_MS = 20;

/** Learns from a task that ran from its start to its end. */
export const learnRunTime = (table: RunTimeTable, queue: QueueName, declaredMs: number, seenMs: number): void => {
    const times = table.get(queue) ?? emptySums();
    table.set(queue, times);
    const seen = Math.log(Math.max(seenMs, MIN_RUN_MS));
    if (declaredMs <= 0) {
        times.undeclaredSamples++;
        times.undeclaredSeen += seen;
        return;
    }
    const declared = Math.log(declaredMs);
    times.samples++;
    times.declared += declared;
    times.seen += seen;
    times.declaredSquares += declared * declared;
    times.products += declared * seen;
};

/** Expected run time in milliseconds of a task with the given declared time, 0 if it has none. */
export const estimateRunTime = (table: RunTimeTable, queue: QueueName, declaredMs: number): number => {
    const times = table.get(queue);
    if (times === undefined || times.samples + times.undeclaredSamples === 0) {
        return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
    }
    const meanSeen = (times.seen + times.undeclaredSeen) / (times.samples + times.undeclaredSamples);
    if (declaredMs <= 0 || times.samples === 0) {
        return Math.exp(meanSeen);
    }
    const meanDeclared = times.declared / times.samples;
    return Math.exp(times.seen / times.samples + slopeOf(times) * (Math.log(declaredMs) - meanDeclared));
};

const slopeOf = ({ samples, declared, seen, declaredSquares, products }: RunTimeSums): number => {
    const variance = Math.max(0, declaredSquares - (declared * declared) / samples);
    const covariance = products - (declared * seen) / samples;
    const prior = PRIOR_SAMPLES * PRIOR_VARIANCE;
    return Math.min(1, Math.max(0, (covariance + PRIOR_SLOPE * prior) / (variance + prior)));
};

const emptySums = (): RunTimeSums => ({
    samples: 0,
    declared: 0,
    seen: 0,
    declaredSquares: 0,
    products: 0,
    undeclaredSamples: 0,
    undeclaredSeen: 0,
});
