/** A histogram of the logarithms of ratios, observed to expected, in bins of equal width. */
export interface RatioSketch {
    weight: number;
    readonly bins: Float64Array;
}

/** Number of bins. */
export const BIN_COUNT = 32;
/** Ratios beyond 16 or below 1/16 count as these. */
const MAX_LOG = Math.log(16);
const BIN_WIDTH = (2 * MAX_LOG) / BIN_COUNT;
// Standard deviation of the logarithms in the prior, so that a few runs don't look certain.
const PRIOR_DEVIATION = 0.35;
// A run that has lasted longer than any known one is expected to go on for half as long again.
const BEYOND_LOG = Math.log(1.5);

// The logarithm of a ratio within the range of the bins.
const clampLog = (log: number): number => Math.min(MAX_LOG, Math.max(-MAX_LOG, log));

/** Logarithm in the middle of a bin. */
export const binLog = (bin: number): number => -MAX_LOG + (bin + 0.5) * BIN_WIDTH;

const binOf = (log: number): number => Math.min(BIN_COUNT - 1, Math.floor((log + MAX_LOG) / BIN_WIDTH));

export const createSketch = (): RatioSketch => ({ weight: 0, bins: new Float64Array(BIN_COUNT) });

/** Adds the logarithm of one ratio. */
export const addLog = (sketch: RatioSketch, log: number, weight = 1): void => {
    const clamped = clampLog(log);
    sketch.weight += weight;
    sketch.bins[binOf(clamped)] = (sketch.bins[binOf(clamped)] ?? 0) + weight;
};

/** Multiplies the weight of all ratios. */
export const scaleSketch = (sketch: RatioSketch, factor: number): void => {
    sketch.weight *= factor;
    sketch.bins.forEach((count, bin) => (sketch.bins[bin] = count * factor));
};

/**
 * Adds a ratio of which only a lower bound is known: its weight is divided among the bins above the bound in the
 * proportions of the reference.
 */
export const addAtLeast = (sketch: RatioSketch, boundLog: number, reference: RatioSketch): void => {
    const bound = clampLog(boundLog);
    const first = binOf(bound);
    const above = sumFrom(reference, first + 1);
    if (above <= 0) {
        addLog(sketch, bound + BEYOND_LOG);
        return;
    }
    reference.bins.forEach((count, bin) => {
        if (bin > first && count > 0) {
            addLog(sketch, binLog(bin), count / above);
        }
    });
};

/** Adds the ratios of another sketch. */
export const addSketch = (sketch: RatioSketch, { weight, bins }: RatioSketch, factor = 1): void => {
    sketch.weight += weight * factor;
    bins.forEach((count, bin) => (sketch.bins[bin] = (sketch.bins[bin] ?? 0) + count * factor));
};

/** Mean of the logarithms as far as the bins tell; 0 for an empty sketch. */
export const meanLog = (sketch: RatioSketch): number => {
    const total = sumFrom(sketch, 0);
    return total > 0 ? sketch.bins.reduce((sum, count, bin) => sum + count * binLog(bin), 0) / total : 0;
};

/** Mean of the logarithms above a bound. */
export const meanLogAbove = (sketch: RatioSketch, boundLog: number): number => {
    if (boundLog !== clampLog(boundLog)) {
        return boundLog + BEYOND_LOG;
    }
    const raised = createSketch();
    addAtLeast(raised, boundLog, sketch);
    return Math.max(boundLog, meanLog(raised));
};

/** The logarithm below which the given share of the weight lies. */
export const quantileLog = (sketch: RatioSketch, share: number): number => {
    const wanted = share * sumFrom(sketch, 0);
    let below = 0;
    const bin = sketch.bins.findIndex(count => {
        below += count;
        return below >= wanted && count > 0;
    });
    if (bin < 0) {
        return meanLog(sketch);
    }
    const count = sketch.bins[bin] ?? 1;
    return binLog(bin) - BIN_WIDTH / 2 + (BIN_WIDTH * (wanted - (below - count))) / count;
};

/** Variance of the logarithms, at least that of a narrow bin. */
export const varianceLog = (sketch: RatioSketch): number => {
    const total = sumFrom(sketch, 0);
    const mean = meanLog(sketch);
    const squares = sketch.bins.reduce((sum, count, bin) => sum + count * (binLog(bin) - mean) ** 2, 0);
    return Math.max(BIN_WIDTH ** 2 / 12, squares / Math.max(total, 1e-9));
};

/** What is assumed before any run was observed: the ratio is 1 in the mean. */
export const priorSketch = (): RatioSketch => {
    const sketch = createSketch();
    sketch.bins.forEach((unused, bin) => (sketch.bins[bin] = Math.exp(-((binLog(bin) / PRIOR_DEVIATION) ** 2) / 2)));
    sketch.weight = sumFrom(sketch, 0);
    return sketch;
};

const sumFrom = ({ bins }: RatioSketch, first: number): number =>
    bins.reduce((sum, count, bin) => (bin >= first ? sum + count : sum), 0);
