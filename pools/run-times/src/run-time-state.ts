import type { QueueName } from "@almondusher/jobs/ids";
import { scaleSums, type RunTimeSums } from "./declared-regression.js";
import { addLog, binLog, BIN_COUNT, createSketch } from "./ratio-sketch.js";
import { depthOf, encodeName, type KindKey } from "./run-kind.js";
import {
    createRunTimeModel,
    MAX_KINDS,
    MAX_QUEUES,
    type KindTimes,
    type RunTimeModel,
    type SiblingSums,
} from "./run-time-model.js";

/** Most characters of an encoded state, all of them ASCII. */
export const MAX_STATE_CHARS = 1536;
// What a successor takes over counts as at most this many runs of a queue or kind, so that its own runs soon count more.
const TRUSTED_RUNS = 50;
const VERSION = "1";
const DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
const MAX_DIGIT = DIGITS.length - 1;
// Bounds of a mean and of a variance of logarithms of milliseconds, beyond which a row is garbage.
const MAX_MEAN_LOG = 21;
const MAX_VARIANCE_LOG = 110;
const NUMBER_DIGITS = 5;

/** Encodes what was learned, the widest kinds and those with the most runs first, as long as there is room. */
export const encodeRunTimes = (model: RunTimeModel): string => {
    const lines = [
        ...[...model.declared].map(([queue, sums]) => encodeSums(queue, sums)),
        ...[...model.siblings].map(([queue, sums]) => encodeSiblings(queue, sums)),
        ...[...model.kinds]
            .filter(([, { finished }]) => finished.weight >= 1)
            .sort(
                ([leftKey, left], [rightKey, right]) =>
                    depthOf(leftKey) - depthOf(rightKey) || right.finished.weight - left.finished.weight,
            )
            .map(([key, times]) => encodeKind(key, times)),
    ];
    return lines.reduce(
        (text, line) => (text.length + 1 + line.length <= MAX_STATE_CHARS ? `${text};${line}` : text),
        VERSION,
    );
};

/** Starts from an encoded state. What is absent or malformed in it is left out. */
export const decodeRunTimes = (text: string | undefined): RunTimeModel => {
    const model = createRunTimeModel();
    const [version, ...lines] = (text ?? "").slice(0, MAX_STATE_CHARS).split(";");
    if (version === VERSION) {
        lines.forEach(line => decodeLine(model, line.split(",")));
    }
    return model;
};

const decodeLine = (model: RunTimeModel, [type, name, ...fields]: readonly string[]): void => {
    const numbers = fields.map(Number);
    if (type === undefined || name === undefined || name === "") {
        return;
    }
    switch (type) {
        case "d": {
            const sums = decodeSums(numbers);
            const queue = decodeName(name);
            if (sums !== undefined && queue !== undefined && model.declared.size < MAX_QUEUES) {
                model.declared.set(queue, sums);
            }
            return;
        }
        case "s": {
            const sums = decodeSiblings(numbers);
            const queue = decodeName(name);
            if (sums !== undefined && queue !== undefined && model.siblings.size < MAX_QUEUES) {
                model.siblings.set(queue, sums);
            }
            return;
        }
        case "k": {
            const times = decodeKind(numbers, fields[4] ?? "");
            if (times !== undefined && model.kinds.size < MAX_KINDS) {
                model.kinds.set(name as KindKey, times);
            }
            return;
        }
        default:
            return;
    }
};

const encodeSums = (queue: QueueName, sums: RunTimeSums): string => {
    const per = (sum: number, runs: number): number => (runs > 0 ? sum / runs : 0);
    const declared = per(sums.declared, sums.samples);
    const observed = per(sums.observed, sums.samples);
    return lineOf("d", encodeName(queue), [
        sums.samples,
        declared,
        observed,
        Math.max(0, per(sums.declaredSquares, sums.samples) - declared ** 2),
        per(sums.products, sums.samples) - declared * observed,
        sums.undeclaredSamples,
        per(sums.undeclaredObserved, sums.undeclaredSamples),
    ]);
};

const decodeSums = (numbers: readonly number[]): RunTimeSums | undefined => {
    const [samples = NaN, declared = NaN, observed = NaN, variance = NaN, covariance = NaN] = numbers;
    const [undeclaredSamples = NaN, undeclaredObserved = NaN] = numbers.slice(5);
    const isSound =
        [samples, undeclaredSamples].every(isCount) &&
        samples + undeclaredSamples > 0 &&
        [declared, observed, undeclaredObserved].every(isMean) &&
        variance >= 0 &&
        variance <= MAX_VARIANCE_LOG &&
        Math.abs(covariance) <= MAX_VARIANCE_LOG;
    if (!isSound) {
        return undefined;
    }
    const sums: RunTimeSums = {
        samples,
        declared: samples * declared,
        observed: samples * observed,
        declaredSquares: samples * (variance + declared ** 2),
        products: samples * (covariance + declared * observed),
        undeclaredSamples,
        undeclaredObserved: undeclaredSamples * undeclaredObserved,
    };
    scaleSums(sums, trustOf(samples + undeclaredSamples));
    return sums;
};

const encodeSiblings = (queue: QueueName, { weight, squares }: SiblingSums): string =>
    lineOf("s", encodeName(queue), [weight, weight > 0 ? squares / weight : 0]);

const decodeSiblings = ([weight = NaN, variance = NaN]: readonly number[]): SiblingSums | undefined => {
    if (!isCount(weight) || !(variance >= 0 && variance <= MAX_VARIANCE_LOG)) {
        return undefined;
    }
    const trusted = weight * trustOf(weight);
    return { weight: trusted, squares: trusted * variance };
};

// The bins are kept as shares of the fullest one, which is exact enough for a spread; the means are kept as numbers.
const encodeKind = (key: KindKey, { finished, sums }: KindTimes): string => {
    const fullest = Math.max(...finished.bins);
    const digits = [...finished.bins].map(count => DIGITS[Math.round((count / fullest) * MAX_DIGIT)] ?? "0");
    const { declaredRuns, declared, undeclaredRuns, observed } = sums;
    const numbers = [
        declaredRuns,
        declaredRuns > 0 ? declared / declaredRuns : 0,
        undeclaredRuns,
        observed / (declaredRuns + undeclaredRuns),
    ];
    return `${lineOf("k", key, numbers)},${digits.join("")}`;
};

const decodeKind = (numbers: readonly number[], digits: string): KindTimes | undefined => {
    const [declaredRuns = NaN, declared = NaN, undeclaredRuns = NaN, observed = NaN] = numbers;
    const runs = declaredRuns + undeclaredRuns;
    const shares = [...digits].map(digit => DIGITS.indexOf(digit));
    const sum = shares.reduce((total, share) => total + share, 0);
    const isSound =
        [declaredRuns, undeclaredRuns].every(isCount) &&
        runs > 0 &&
        [declared, observed].every(isMean) &&
        shares.length === BIN_COUNT &&
        shares.every(share => share >= 0) &&
        sum > 0;
    if (!isSound) {
        return undefined;
    }
    const trust = trustOf(runs);
    const finished = createSketch();
    shares.forEach((share, bin) => addLog(finished, binLog(bin), (trust * runs * share) / sum));
    return {
        finished,
        sums: {
            declaredRuns: trust * declaredRuns,
            declared: trust * declaredRuns * declared,
            undeclaredRuns: trust * undeclaredRuns,
            observed: trust * runs * observed,
        },
        overdue: undefined,
    };
};

const lineOf = (type: "d" | "s" | "k", name: string, numbers: readonly number[]): string =>
    [type, name, ...numbers.map(number => String(Number(number.toPrecision(NUMBER_DIGITS))))].join(",");

const trustOf = (runs: number): number => Math.min(1, TRUSTED_RUNS / Math.max(1, runs));

const isMean = (log: number): boolean => log >= 0 && log <= MAX_MEAN_LOG;

const isCount = (runs: number): boolean => Number.isFinite(runs) && runs >= 0;

const decodeName = (name: string): QueueName | undefined => {
    try {
        return decodeURIComponent(name) as QueueName;
    } catch {
        return undefined;
    }
};
