import { formatTime, LOOKBACK_MS, type RuleInput } from "./explain-input.js";
import type { ArrivalRow, FailureRow } from "./failure-log.js";
import type { Attribution } from "./fault.js";

/** Whether arrivals rose when failures for lack of capacity began. */
export interface LoadJudgement {
    readonly attribution: Attribution | undefined;
    /** The comparison, also where it does not show an overload. */
    readonly evidence: readonly string[];
}

// Peaks of random arrivals differ by less than this at the rates of a busy queue.
const RISE = 1.25;
// A minute with a single failure among many responses still shows what could be served.
const SERVED_FAILURE_SHARE = 0.01;

/** Compares the busiest second of the failing minutes with the busiest second that was served before them. */
export const judgeLoad = ({ group, scope, input }: RuleInput): LoadJudgement => {
    const arrivals = input.traffic.arrivals.filter(row => row.pool !== undefined && scope.pools.has(row.pool));
    const failing = failingMinutes(group.allRows, arrivals);
    const onsetMinuteMs = Math.min(...group.rows.map(row => row.minuteMs).filter(minuteMs => failing.has(minuteMs)));
    const peaks = peakByMinute(arrivals);
    const served = peaks.filter(
        ({ minuteMs }) => !failing.has(minuteMs) && minuteMs < onsetMinuteMs && minuteMs >= onsetMinuteMs - LOOKBACK_MS,
    );
    const loaded = peaks.filter(({ minuteMs }) => failing.has(minuteMs) && minuteMs >= onsetMinuteMs);
    if (served.length === 0 || loaded.length === 0) {
        return { attribution: undefined, evidence: ["no arrivals were recorded before the failures to compare with"] };
    }
    const servedPeak = highest(served);
    const loadedPeak = highest(loaded);
    const evidence = [
        `arrivals at the pool reached ${loadedPeak} a second in the failing minutes and ${servedPeak} a second in the ${served.length} minutes before ${formatTime(onsetMinuteMs)} that had no such failure`,
    ];
    return loadedPeak >= servedPeak * RISE
        ? { attribution: { fault: { kind: "overload" }, evidence }, evidence }
        : { attribution: undefined, evidence };
};

const failingMinutes = (failures: readonly FailureRow[], arrivals: readonly ArrivalRow[]): ReadonlySet<number> => {
    const arrived = countByMinute(arrivals);
    const failed = [...countByMinute(failures)];
    return new Set(
        failed
            .filter(([minuteMs, count]) => count > (arrived.get(minuteMs) ?? 0) * SERVED_FAILURE_SHARE)
            .map(([minuteMs]) => minuteMs),
    );
};

const countByMinute = (
    rows: readonly { readonly minuteMs: number; readonly count: number }[],
): ReadonlyMap<number, number> => {
    const counts = new Map<number, number>();
    rows.forEach(({ minuteMs, count }) => counts.set(minuteMs, (counts.get(minuteMs) ?? 0) + count));
    return counts;
};

interface MinutePeak {
    readonly minuteMs: number;
    readonly peakPerSecond: number;
}

// Peaks of several routes and entries are added: an upper bound, on both sides of the comparison.
const peakByMinute = (rows: readonly ArrivalRow[]): readonly MinutePeak[] => {
    const peaks = new Map<number, number>();
    rows.forEach(row => {
        peaks.set(row.minuteMs, (peaks.get(row.minuteMs) ?? 0) + row.peakPerSecond);
    });
    return [...peaks].map(([minuteMs, peakPerSecond]) => ({ minuteMs, peakPerSecond }));
};

const highest = (peaks: readonly MinutePeak[]): number =>
    peaks.reduce((left, right) => Math.max(left, right.peakPerSecond), 0);
