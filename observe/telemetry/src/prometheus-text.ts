import type { CounterRow } from "./counters.js";
import type { LatencySummary } from "./latencies.js";
import type { Gauge, Metrics } from "./metrics.js";

const PREFIX = "almondusher_";
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Content type of the Prometheus text exposition format. */
export const PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

/** Formats metrics in the Prometheus text exposition format; latencies are converted to seconds. */
export const formatPrometheus = (metrics: Metrics): string =>
    [...formatCounters(metrics.counters), ...formatGauges(metrics.gauges), ...formatLatencies(metrics.latencies)]
        .map(line => `${line}\n`)
        .join("");

type Labels = Readonly<Record<string, string | number | undefined>>;

const metricName = (name: string): string => PREFIX + name.replace(/[^a-zA-Z0-9_]/g, "_");

const escapeLabel = (value: string): string =>
    value.replaceAll("\\", "\\\\").replaceAll("\n", "\\n").replaceAll('"', '\\"');

const formatLabels = (labels: Labels): string => {
    const parts = Object.entries(labels)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}="${escapeLabel(String(value))}"`);
    return parts.length === 0 ? "" : `{${parts.join(",")}}`;
};

// The format requires all samples of a metric to be in one group.
const formatGroups = <Row extends { readonly name: string }>(
    rows: readonly Row[],
    type: "counter" | "gauge",
    nameOf: (row: Row) => string,
    formatRow: (row: Row) => string,
): readonly string[] => {
    const names = [...new Set(rows.map(nameOf))];
    return names.flatMap(name => [
        `# TYPE ${name} ${type}`,
        ...rows.filter(row => nameOf(row) === name).map(row => `${name}${formatRow(row)}`),
    ]);
};

const formatCounters = (rows: readonly CounterRow[]): readonly string[] =>
    formatGroups(
        rows,
        "counter",
        row => `${metricName(row.name)}_total`,
        ({ name: unusedName, value, ...labels }) => `${formatLabels(labels)} ${value}`,
    );

const formatGauges = (rows: readonly Gauge[]): readonly string[] =>
    formatGroups(
        rows,
        "gauge",
        row => metricName(row.name),
        row => `${formatLabels(row.labels)} ${row.value}`,
    );

const formatLatencies = (rows: readonly LatencySummary[]): readonly string[] => {
    const name = `${PREFIX}latency_seconds`;
    const samples = rows.flatMap(row => {
        const labels = { pool: row.pool, route: row.route, urgency: row.urgency, outcome: row.outcome };
        const quantiles = [
            { quantile: "0.5", value: row.p50 },
            { quantile: "0.9", value: row.p90 },
            { quantile: "0.99", value: row.p99 },
            { quantile: "0.999", value: row.p999 },
        ];
        return [
            ...quantiles.map(
                ({ quantile, value }) =>
                    `${name}${formatLabels({ ...labels, quantile })} ${value / MICROSECONDS_PER_SECOND}`,
            ),
            `${name}_sum${formatLabels(labels)} ${row.sum / MICROSECONDS_PER_SECOND}`,
            `${name}_count${formatLabels(labels)} ${row.count}`,
        ];
    });
    return samples.length === 0 ? [] : [`# TYPE ${name} summary`, ...samples];
};
