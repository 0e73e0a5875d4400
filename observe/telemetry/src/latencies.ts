import type { PoolName, RouteName } from "@almondusher/fleet/ids";
import type { Urgency } from "@almondusher/fleet/urgency";
import { build, type Histogram } from "hdr-histogram-js";

/** How the request ended that a latency belongs to. */
export type LatencyOutcome = "completed" | "failed" | "rejected" | "cancelled";

/** What a histogram is kept for. */
export interface LatencyLabels {
    /** Absent in the histogram of a pool that collects the routes beyond the bound. */
    readonly route?: RouteName | undefined;
    readonly pool: PoolName;
    readonly urgency: Urgency;
    readonly outcome: LatencyOutcome;
}

/** Summary of one histogram; times in microseconds. */
export interface LatencySummary extends LatencyLabels {
    readonly count: number;
    readonly mean: number;
    readonly p50: number;
    readonly p90: number;
    readonly p99: number;
    readonly p999: number;
    readonly max: number;
    /** Sum of all values, for rates and averages over time. */
    readonly sum: number;
}

interface LatencyRow {
    readonly labels: LatencyLabels;
    readonly histogram: Histogram;
    sum: number;
    max: number;
}

/** Bound of the memory that histograms take. */
export interface LatencyOptions {
    /** Histograms by route; routes seen after that share one histogram for each pool, urgency and outcome. */
    readonly maxHistograms?: number;
}

/** All latency histograms of a process. */
export interface Latencies {
    readonly rows: Map<string, LatencyRow>;
    readonly maxHistograms: number;
}

// The longest timeout that a route may have; longer values are recorded as this one, `max` and `sum` keep them.
const HIGHEST_MICROSECONDS = 24 * 60 * 60 * 1_000_000;
// Two digits keep the error below 1%; a third would take eight times the memory.
const SIGNIFICANT_DIGITS = 2;
// 17 KB each, so 26 MB, and at the target size at most 20 MB more for 96 pools, 3 classes and 4 outcomes.
const DEFAULT_MAX_HISTOGRAMS = 1_536;

/** Creates an empty set of histograms. */
export const createLatencies = (options: LatencyOptions = {}): Latencies => ({
    rows: new Map(),
    maxHistograms: options.maxHistograms ?? DEFAULT_MAX_HISTOGRAMS,
});

/** Records the time that one request took, in microseconds. */
export const recordLatency = (latencies: Latencies, labels: LatencyLabels, microseconds: number): void => {
    const row = latencies.rows.get(keyOf(labels)) ?? addRow(latencies, labels);
    const value = Math.max(0, Math.round(microseconds));
    row.histogram.recordValue(Math.min(value, HIGHEST_MICROSECONDS));
    row.sum += value;
    row.max = Math.max(row.max, value);
};

/** One summary for each histogram, sorted by pool, route, urgency and outcome. */
export const summarizeLatencies = (latencies: Latencies): readonly LatencySummary[] =>
    [...latencies.rows.entries()].sort(([left], [right]) => (left < right ? -1 : 1)).map(([, row]) => summarize(row));

/** Memory of all histograms in bytes, as the histogram library estimates it. */
export const latencyMemoryBytes = (latencies: Latencies): number =>
    [...latencies.rows.values()].reduce((bytes, row) => bytes + row.histogram.estimatedFootprintInBytes, 0);

const keyOf = (labels: LatencyLabels): string =>
    `${labels.pool}|${labels.route ?? ""}|${labels.urgency}|${labels.outcome}`;

const addRow = (latencies: Latencies, wanted: LatencyLabels): LatencyRow => {
    const labels = latencies.rows.size < latencies.maxHistograms ? { ...wanted } : { ...wanted, route: undefined };
    const key = keyOf(labels);
    const existing = latencies.rows.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const histogram = build({
        bitBucketSize: 32,
        autoResize: false,
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_MICROSECONDS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        useWebAssembly: false,
    });
    const row = { labels, histogram, sum: 0, max: 0 };
    latencies.rows.set(key, row);
    return row;
};

const summarize = ({ labels, histogram, sum, max }: LatencyRow): LatencySummary => {
    const at = (percentile: number): number => Math.min(max, histogram.getValueAtPercentile(percentile));
    return {
        ...labels,
        count: histogram.totalCount,
        mean: histogram.totalCount === 0 ? 0 : sum / histogram.totalCount,
        p50: at(50),
        p90: at(90),
        p99: at(99),
        p999: at(99.9),
        max,
        sum,
    };
};
