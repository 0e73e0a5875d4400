import type { CounterRow } from "./counters.js";
import type { LatencySummary } from "./latencies.js";

/** A value that can go up and down, for example the number of requests in flight. */
export interface Gauge {
    /** Kebab-case name. */
    readonly name: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

/** Current values of all metrics of a process. */
export interface Metrics {
    readonly counters: readonly CounterRow[];
    readonly latencies: readonly LatencySummary[];
    readonly gauges: readonly Gauge[];
}
