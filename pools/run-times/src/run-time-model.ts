import type { QueueName } from "@almondusher/jobs/ids";
import {
    clampRunMs,
    expectedLog,
    FADE,
    isDeclared,
    learnRunTime,
    regressionOf,
    type RunTimeTable,
} from "./declared-regression.js";
import {
    addAtLeast,
    addLog,
    addSketch,
    createSketch,
    meanLog,
    meanLogAbove,
    priorSketch,
    quantileLog,
    scaleSketch,
    varianceLog,
    type RatioSketch,
} from "./ratio-sketch.js";
import type { KindKey, RunKind } from "./run-kind.js";

/** Sums of the logarithms of run times. With them the mean ratio of a kind is one to the regression of now, not of then. */
interface LogSums {
    declaredRuns: number;
    declared: number;
    undeclaredRuns: number;
    observed: number;
}

/** Runs of a kind, with those that still go on. */
export interface KindTimes {
    /** Gives the spread. */
    readonly finished: RatioSketch;
    /** Give the mean. */
    readonly sums: LogSums;
    /** Runs that last longer than expected now; undefined if there is none. */
    overdue: OverdueRuns | undefined;
    /** Variance of the logarithms, which is not computed anew for each estimate; undefined before the first. */
    variance?: KnownVariance;
}

interface OverdueRuns {
    readonly ratios: RatioSketch;
    /** Sum of the logarithms of their ratios. */
    logs: number;
}

interface KnownVariance {
    readonly value: number;
    /** The model's count of learned runs then. */
    readonly learned: number;
}

/** Sum of squares of how much a run differs from its siblings, the finished tasks of the same step. */
export interface SiblingSums {
    weight: number;
    squares: number;
}

/** Finished tasks of one step. */
interface StepTimes {
    runs: number;
    /** Sum of the logarithms of their run times. */
    logs: number;
}

/** What was learned of run times. The kinds are in the order of their last use. */
export interface RunTimeModel {
    readonly declared: RunTimeTable;
    readonly kinds: Map<KindKey, KindTimes>;
    readonly siblings: Map<QueueName, SiblingSums>;
    /** By step; dropped with it. */
    readonly steps: WeakMap<object, StepTimes>;
    /** Finished runs that were learned, to tell whether the state has changed. */
    learned: number;
}

/** A task's kind and its step, whose finished tasks say most about the others. */
export interface RunSubject {
    readonly kind: RunKind;
    readonly step: object;
}

/** Most kinds that are kept; the one that was not used for longest goes first. */
export const MAX_KINDS = 512;
/** Most queues that are kept. */
export const MAX_QUEUES = 64;
// The wider kind counts as much as this many runs of the narrower one.
const BACK_OFF_RUNS = 8;
// Prior of the difference between siblings: a quarter, counting as some runs.
const PRIOR_SIBLING_VARIANCE = Math.log(1.25) ** 2;
const PRIOR_SIBLING_RUNS = 6;
// Bounds of how many siblings weigh as much as the kind.
const MIN_KIND_RUNS = 0.1;
const MAX_KIND_RUNS = 20;
// A kind's variance is computed anew after this many learned runs.
const VARIANCE_REFRESH_RUNS = 16;

export const createRunTimeModel = (): RunTimeModel => ({
    declared: new Map(),
    kinds: new Map(),
    siblings: new Map(),
    steps: new WeakMap(),
    learned: 0,
});

/** Learns from a task that ran from its start to its end. The time is that of an executor near to the data. */
export const learnFinishedRun = (model: RunTimeModel, { kind, step }: RunSubject, observedMs: number): void => {
    if (!Number.isFinite(observedMs) || observedMs < 0) {
        return;
    }
    model.learned++;
    const observedLog = Math.log(clampRunMs(observedMs));
    const ratioLog = observedLog - baseLog(model, kind);
    learnSibling(model, kind.queue, step, observedLog);
    learnRunTime(model.declared, kind.queue, kind.declaredMs, observedMs);
    kind.keys.forEach(key => {
        const { finished, sums } = touchKind(model, key);
        scaleSketch(finished, FADE);
        addLog(finished, ratioLog);
        addLogs(sums, kind, observedLog);
    });
    trim(model.declared, MAX_QUEUES);
    trim(model.siblings, MAX_QUEUES);
    trim(model.kinds, MAX_KINDS);
};

/** Learns from a run that ended without being done, if it had lasted longer than expected: its time is a lower bound. */
export const learnUnfinishedRun = (model: RunTimeModel, { kind }: RunSubject, ageMs: number): void => {
    const overdue = overdueRun(model, kind, ageMs);
    if (overdue === undefined) {
        return;
    }
    const base = baseLog(model, kind);
    kind.keys.forEach(key => {
        const { finished, sums } = touchKind(model, key);
        scaleSketch(finished, FADE);
        addSketch(finished, overdue.ratios);
        addLogs(sums, kind, base + overdue.logs);
    });
    trim(model.kinds, MAX_KINDS);
};

/** Replaces what is known of the runs that still go on. Only those that last longer than expected say something. */
export const observeActiveRuns = (
    model: RunTimeModel,
    runs: readonly { readonly kind: RunKind; readonly ageMs: number }[],
): void => {
    model.kinds.forEach(times => (times.overdue = undefined));
    const overdue = runs.flatMap(({ kind, ageMs }) => {
        const run = overdueRun(model, kind, ageMs);
        return run === undefined ? [] : [{ kind, run }];
    });
    overdue.forEach(({ kind, run }) =>
        kind.keys.forEach(key => {
            const times = touchKind(model, key);
            times.overdue ??= { ratios: createSketch(), logs: 0 };
            addSketch(times.overdue.ratios, run.ratios);
            times.overdue.logs += run.logs;
        }),
    );
    trim(model.kinds, MAX_KINDS);
};

/** Expected run time of a task in milliseconds. */
export const expectedMs = (model: RunTimeModel, { kind, step }: RunSubject): number => {
    const kindLog = baseLog(model, kind) + kindMeanLog(model, kind);
    const siblings = model.steps.get(step);
    if (siblings === undefined) {
        return Math.exp(kindLog);
    }
    const kindRuns = kindRunsOf(model, kind);
    return Math.exp((siblings.logs + kindRuns * kindLog) / (siblings.runs + kindRuns));
};

/** The run time in milliseconds within which the given share of such tasks end. */
export const quantileMs = (model: RunTimeModel, subject: RunSubject, share: number): number => {
    const mix = mixOf(model, subject.kind);
    const above = quantileLog(mix, share) - meanLog(mix);
    return expectedMs(model, subject) * Math.exp(above * narrowing(model, subject, varianceLog(mix)));
};

/** Expected run time in milliseconds of the longest of several tasks of the step. */
export const expectedLongestMs = (model: RunTimeModel, subject: RunSubject, tasks: number): number =>
    expectedMs(model, subject) *
    Math.exp(Math.sqrt(siblingVariance(model, subject.kind.queue) * Math.log(Math.max(1, tasks))));

/** Expected run time in milliseconds of a task that has already run for some time without an end. */
export const expectedMsAtAge = (model: RunTimeModel, subject: RunSubject, ageMs: number): number => {
    const expected = expectedMs(model, subject);
    if (!(ageMs > expected)) {
        return expected;
    }
    const mix = mixOf(model, subject.kind);
    const mean = meanLog(mix);
    const narrow = narrowing(model, subject, varianceLog(mix));
    // The age in terms of the wide kind, whose distribution is narrowed for the step.
    const ageLog = Math.log(clampRunMs(ageMs) / expected);
    const boundLog = mean + ageLog / narrow;
    return Math.max(ageMs, expected * Math.exp((meanLogAbove(mix, boundLog) - mean) * narrow));
};

/** Variance of the logarithms of the run times within one step. */
const siblingVariance = (model: RunTimeModel, queue: QueueName): number => {
    const sums = model.siblings.get(queue) ?? { weight: 0, squares: 0 };
    return (sums.squares + PRIOR_SIBLING_RUNS * PRIOR_SIBLING_VARIANCE) / (sums.weight + PRIOR_SIBLING_RUNS);
};

// Share of the kind's spread that is left for a task of the step, once some of the step's tasks have finished.
const narrowing = (model: RunTimeModel, { kind, step }: RunSubject, variance: number): number => {
    const siblings = model.steps.get(step);
    if (siblings === undefined) {
        return 1;
    }
    const within = Math.min(variance, siblingVariance(model, kind.queue));
    const kindRuns = kindRunsOf(model, kind);
    const between = (variance - within) * (kindRuns / (siblings.runs + kindRuns));
    return Math.min(1, Math.sqrt((within + between) / variance));
};

// How many siblings weigh as much as the kind: the less siblings differ in comparison with other tasks of the kind, the
// fewer.
const kindRunsOf = (model: RunTimeModel, kind: RunKind): number => {
    const within = siblingVariance(model, kind.queue);
    const between = Math.max(0, kindVariance(model, kind) - within);
    return Math.min(MAX_KIND_RUNS, Math.max(MIN_KIND_RUNS, within / Math.max(between, 1e-6)));
};

const kindVariance = (model: RunTimeModel, kind: RunKind): number => {
    const times = kind.keys.map(key => model.kinds.get(key)).findLast(known => known !== undefined);
    const known = times?.variance;
    if (known !== undefined && model.learned - known.learned < VARIANCE_REFRESH_RUNS) {
        return known.value;
    }
    const value = varianceLog(mixOf(model, kind));
    if (times !== undefined) {
        times.variance = { value, learned: model.learned };
    }
    return value;
};

const learnSibling = (model: RunTimeModel, queue: QueueName, step: object, observedLog: number): void => {
    const siblings = model.steps.get(step) ?? { runs: 0, logs: 0 };
    if (siblings.runs > 0) {
        const sums = model.siblings.get(queue) ?? { weight: 0, squares: 0 };
        const difference = observedLog - siblings.logs / siblings.runs;
        sums.weight = sums.weight * FADE + 1;
        // The mean of few siblings is uncertain itself.
        sums.squares = sums.squares * FADE + difference ** 2 / (1 + 1 / siblings.runs);
        model.siblings.set(queue, sums);
    }
    siblings.runs++;
    siblings.logs += observedLog;
    model.steps.set(step, siblings);
};

const baseLog = (model: RunTimeModel, { queue, declaredMs }: RunKind): number =>
    expectedLog(regressionOf(model.declared, queue), declaredMs);

const addLogs = (sums: LogSums, { declaredMs }: RunKind, observedLog: number): void => {
    sums.declaredRuns *= FADE;
    sums.declared *= FADE;
    sums.undeclaredRuns *= FADE;
    sums.observed = sums.observed * FADE + observedLog;
    if (isDeclared(declaredMs)) {
        sums.declaredRuns++;
        sums.declared += Math.log(clampRunMs(declaredMs));
    } else {
        sums.undeclaredRuns++;
    }
};

// What the age of a run says: nothing, unless it has lasted longer than expected of its kind.
const overdueRun = (model: RunTimeModel, kind: RunKind, ageMs: number): OverdueRuns | undefined => {
    if (!Number.isFinite(ageMs) || ageMs <= 0) {
        return undefined;
    }
    const kindMean = kindMeanLog(model, kind);
    const aboveMean = Math.log(clampRunMs(ageMs)) - baseLog(model, kind) - kindMean;
    if (aboveMean <= 0) {
        return undefined;
    }
    const mix = mixOf(model, kind);
    const mean = meanLog(mix);
    const ratios = createSketch();
    addAtLeast(ratios, mean + aboveMean, mix);
    return { ratios, logs: kindMean + Math.max(aboveMean, meanLogAbove(mix, mean + aboveMean) - mean) };
};

/** Mean of the logarithms of the ratios of a kind, from the narrow kinds backed off to the wider ones. */
const kindMeanLog = (model: RunTimeModel, { queue, keys }: RunKind): number => {
    const { slope, intercept, undeclaredLog } = regressionOf(model.declared, queue);
    return keys.reduce((wider, key) => {
        const times = model.kinds.get(key);
        if (times === undefined) {
            return wider;
        }
        const { declaredRuns, declared, undeclaredRuns, observed } = times.sums;
        const expected = declaredRuns * intercept + slope * declared + undeclaredRuns * undeclaredLog;
        const runs = declaredRuns + undeclaredRuns + (times.overdue?.ratios.weight ?? 0);
        return (observed - expected + (times.overdue?.logs ?? 0) + BACK_OFF_RUNS * wider) / (runs + BACK_OFF_RUNS);
    }, 0);
};

/** The spread of the ratios of a kind, from the narrow kinds backed off to the wider ones. */
const mixOf = (model: RunTimeModel, { keys }: RunKind): RatioSketch =>
    keys.reduce((wider, key) => {
        const times = model.kinds.get(key);
        if (times === undefined) {
            return wider;
        }
        const mixed = createSketch();
        addSketch(mixed, wider, BACK_OFF_RUNS / wider.weight);
        addSketch(mixed, times.finished);
        if (times.overdue !== undefined) {
            addSketch(mixed, times.overdue.ratios);
        }
        return mixed;
    }, priorSketch());

const touchKind = (model: RunTimeModel, key: KindKey): KindTimes => {
    const times = model.kinds.get(key) ?? {
        finished: createSketch(),
        sums: { declaredRuns: 0, declared: 0, undeclaredRuns: 0, observed: 0 },
        overdue: undefined,
    };
    model.kinds.delete(key);
    model.kinds.set(key, times);
    return times;
};

const trim = <Key>(map: Map<Key, unknown>, most: number): void => {
    while (map.size > most) {
        map.delete(map.keys().next().value as Key);
    }
};
