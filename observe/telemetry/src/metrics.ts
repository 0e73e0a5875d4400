import type { CounterRow } from "./counters.js";
import type { LatencySummary } from "./latencies.js";

/** A value that goes up and down, for example the requests in flight. */
export interface Gauge {
    /** Kebab-case name. */
    readonly name: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

/** Everything that a process measures, at one moment. */
export interface Metrics {
    readonly counters: readonly CounterRow[];
    readonly latencies: readonly LatencySummary[];
    readonly gauges: readonly Gauge[];
}
