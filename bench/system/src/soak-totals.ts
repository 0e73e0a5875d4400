import type { PartitionSoakResult } from "./partition-soak.js";

/** Sums over the soaks of several seeds. */
export interface SoakTotals {
    readonly seeds: number;
    readonly failedSeeds: number;
    /** Number of faults of each kind. */
    readonly faults: Readonly<Record<string, number>>;
    /** What the promises were checked on: accepted jobs, runs of tasks, and samples in which waits counted. */
    readonly checked: { readonly jobs: number; readonly runs: number; readonly calmSamples: number };
    /** Number of failures of each promise. */
    readonly failures: Readonly<Record<SoakPromise, number>>;
}

type SoakPromise =
    "overlappingRuns" | "startedAfterDone" | "startedByFormerLife" | "rejectedTickets" | "stalled" | "unfinished";

/** Number of failures of each promise in a soak. */
const countFailures = (result: PartitionSoakResult): SoakTotals["failures"] => ({
    overlappingRuns: result.overlappingRuns.length,
    startedAfterDone: result.startedAfterDone.length,
    startedByFormerLife: result.startedByFormerLife.length,
    rejectedTickets: result.rejectedTickets,
    stalled: result.stalled.length,
    unfinished: result.unfinished.length,
});

/** True if the soak broke a promise. */
export const hasFailed = (result: PartitionSoakResult): boolean =>
    Object.values(countFailures(result)).some(count => count > 0);

/** Sums up the soaks of several seeds. */
export const sumSoaks = (results: readonly PartitionSoakResult[]): SoakTotals => {
    const sum = (valueOf: (result: PartitionSoakResult) => number): number =>
        results.reduce((total, result) => total + valueOf(result), 0);
    return {
        seeds: results.length,
        failedSeeds: results.filter(hasFailed).length,
        faults: countByKind(results.flatMap(({ faultKinds }) => faultKinds)),
        checked: {
            jobs: sum(({ accepted }) => accepted),
            runs: sum(({ runs }) => runs),
            calmSamples: sum(({ calmSamples }) => calmSamples),
        },
        failures: {
            overlappingRuns: sum(result => countFailures(result).overlappingRuns),
            startedAfterDone: sum(result => countFailures(result).startedAfterDone),
            startedByFormerLife: sum(result => countFailures(result).startedByFormerLife),
            rejectedTickets: sum(result => countFailures(result).rejectedTickets),
            stalled: sum(result => countFailures(result).stalled),
            unfinished: sum(result => countFailures(result).unfinished),
        },
    };
};

const countByKind = (kinds: readonly string[]): Readonly<Record<string, number>> =>
    Object.fromEntries(
        [...new Set(kinds)].sort().map(kind => [kind, kinds.filter(other => other === kind).length] as const),
    );
