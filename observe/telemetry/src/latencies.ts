import type { PoolName, RouteName } from "@almondusher/fleet/ids";
import type { Urgency } from "@almondusher/fleet/urgency";
import { build, type Histogram } from "hdr-histogram-js";

/** How the measured request ended. */
export type LatencyOutcome = "completed" | "failed" | "rejected" | "cancelled";

/** Labels of a histogram. */
export interface LatencyLabels {
    /** Absent in the shared histogram of the routes above the limit. */
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
    /** Sum of all values, from which rates and averages over a period can be calculated. */
    readonly sum: number;
}

interface LatencyRow {
    readonly labels: LatencyLabels;
    readonly histogram: Histogram;
    sum: number;
    max: number;
}

/** Limit of the memory of the histograms. */
export interface LatencyOptions {
    /** Number of histograms above which new routes share one histogram for each pool, urgency and outcome. */
    readonly maxHistograms?: number;
}

/** All latency histograms of a process. */
export interface Latencies {
    readonly rows: Map<string, LatencyRow>;
    readonly maxHistograms: number;
}

// The longest timeout that a route may have. Longer values enter the histogram as this value; `max` and `sum` are exact.
const HIGHEST_MICROSECONDS = 24 * 60 * 60 * 1_000_000;
// Two digits keep the error below 1%; three would need eight times the memory.
const SIGNIFICANT_DIGITS = 2;
// At 17 KB each, 26 MB. At the target size, the shared histograms of 96 pools, 3 classes and 4 outcomes add at most
// 20 MB.
const DEFAULT_MAX_HISTOGRAMS = 1_536;

export const createLatencies = (options: LatencyOptions = {}): Latencies => ({
    rows: new Map(),
    maxHistograms: options.maxHistograms ?? DEFAULT_MAX_HISTOGRAMS,
});

/** Records the latency of one request in microseconds. */
export const recordLatency = (latencies: Latencies, labels: LatencyLabels, microseconds: number): void => {
    const row = latencies.rows.get(keyOf(labels)) ?? addRow(latencies, labels);
    const value = Math.max(0, Math.round(microseconds));
    row.histogram.recordValue(Math.min(value, HIGHEST_MICROSECONDS));
    row.sum += value;
    row.max = Math.max(row.max, value);
};

/** Returns a summary of each histogram, sorted by pool, route, urgency and outcome. */
export const summarizeLatencies = (latencies: Latencies): readonly LatencySummary[] =>
    [...latencies.rows.entries()].sort(([left], [right]) => (left < right ? -1 : 1)).map(([, row]) => summarize(row));

/** Returns the memory of all histograms in bytes, as estimated by the histogram library. */
export const latencyMemoryBytes = (latencies: Latencies): number =>
    [...latencies.rows.values()].reduce((bytes, row) => bytes + row.histogram.estimatedFootprintInBytes, 0);

const keyOf = (labels: LatencyLabels): string =>
    `${labels.pool}|${labels.route ?? ""}|${labels.urgency}|${labels.outcome}`;

const addRow = (latencies: Latencies, requested: LatencyLabels): LatencyRow => {
    const labels =
        latencies.rows.size < latencies.maxHistograms ? { ...requested } : { ...requested, route: undefined };
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
