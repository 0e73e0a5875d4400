import { build, type Histogram } from "hdr-histogram-js";

/** Counters, gauges and latency histograms of the process. */
export interface DispatcherMetrics {
    readonly count: (name: string, by?: number) => void;
    /** Records a latency in milliseconds. */
    readonly record: (name: string, ms: number) => void;
    /** Returns all metrics in the Prometheus text format. */
    readonly text: () => string;
}

const QUANTILES = [50, 90, 99, 100];
const HIGHEST_LATENCY_MS = 600_000;

/** Creates empty metrics. Gauges are read whenever `text` is called. */
export const createDispatcherMetrics = (gauges: Readonly<Record<string, () => number>> = {}): DispatcherMetrics => {
    const counters = new Map<string, number>();
    const histograms = new Map<string, Histogram>();
    const histogramOf = (name: string): Histogram => {
        const existing = histograms.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const created = build({ highestTrackableValue: HIGHEST_LATENCY_MS, numberOfSignificantValueDigits: 2 });
        histograms.set(name, created);
        return created;
    };
    const text = (): string =>
        [
            ...Object.entries(gauges).map(([name, read]) => `almondusher_${name} ${read()}`),
            ...[...counters].sort().map(([name, value]) => `almondusher_${name} ${value}`),
            ...[...histograms].sort(([left], [right]) => (left < right ? -1 : 1)).flatMap(histogramLines),
        ].join("\n") + "\n";
    return {
        text,
        count: (name, by = 1) => void counters.set(name, (counters.get(name) ?? 0) + by),
        record: (name, ms) => histogramOf(name).recordValue(Math.max(0, Math.min(Math.round(ms), HIGHEST_LATENCY_MS))),
    };
};

const histogramLines = ([name, histogram]: [string, Histogram]): readonly string[] => [
    ...QUANTILES.map(
        quantile => `almondusher_${name}_ms{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`,
    ),
    `almondusher_${name}_ms_count ${histogram.totalCount}`,
];
