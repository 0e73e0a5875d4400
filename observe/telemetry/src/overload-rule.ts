import { formatTime, LOOKBACK_MS, type RuleContext } from "./explain-input.js";
import type { ArrivalRow, FailureRow } from "./traffic-log.js";
import type { Attribution } from "./fault.js";

/** Whether more requests arrived when the failures for lack of capacity began. */
export interface LoadAssessment {
    readonly attribution: Attribution | undefined;
    /** The compared rates, or why they cannot be compared; also set if there is no overload. */
    readonly evidence: readonly string[];
}

// At the request rates of a busy queue, the peaks of random arrivals differ by less than this factor.
const OVERLOAD_RATIO = 1.25;
// A minute counts as served if at most this share of its requests failed, so that single failures do not rule it out.
const MAX_SERVED_FAILURE_SHARE = 0.01;

/** Compares the busiest second of the failing minutes with the busiest second that was served before them. */
export const assessLoad = ({ group, scope, input }: RuleContext): LoadAssessment => {
    const arrivals = input.traffic.arrivals.filter(row => row.pool !== undefined && scope.pools.has(row.pool));
    const failing = failingMinutes(group.allRows, arrivals);
    const onsetMinuteMs = Math.min(...group.rows.map(row => row.minuteMs).filter(minuteMs => failing.has(minuteMs)));
    const peaks = peakByMinute(arrivals);
    const servedPeaks = peaks.filter(
        ({ minuteMs }) => !failing.has(minuteMs) && minuteMs < onsetMinuteMs && minuteMs >= onsetMinuteMs - LOOKBACK_MS,
    );
    const failingPeaks = peaks.filter(({ minuteMs }) => failing.has(minuteMs) && minuteMs >= onsetMinuteMs);
    if (servedPeaks.length === 0 || failingPeaks.length === 0) {
        return {
            attribution: undefined,
            evidence: [
                "the load cannot be compared: no arrivals were recorded in the failing minutes, or none in earlier minutes without such failures",
            ],
        };
    }
    const servedPeak = highestPeak(servedPeaks);
    const failingPeak = highestPeak(failingPeaks);
    const evidence = [
        `arrivals at the pool reached ${failingPeak} a second in the failing minutes and ${servedPeak} a second in the ${servedPeaks.length} minutes before ${formatTime(onsetMinuteMs)} with few or no such failures`,
    ];
    return failingPeak >= servedPeak * OVERLOAD_RATIO
        ? { attribution: { fault: { kind: "overload" }, evidence }, evidence }
        : { attribution: undefined, evidence };
};

const failingMinutes = (failures: readonly FailureRow[], arrivals: readonly ArrivalRow[]): ReadonlySet<number> => {
    const arrived = countByMinute(arrivals);
    const failed = [...countByMinute(failures)];
    return new Set(
        failed
            .filter(([minuteMs, count]) => count > (arrived.get(minuteMs) ?? 0) * MAX_SERVED_FAILURE_SHARE)
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

// Adds the peaks of all routes and entries. The peaks may occur in different seconds, so the sum is an upper bound of
// the peak of the pool. This holds for both rates that are compared.
const peakByMinute = (rows: readonly ArrivalRow[]): readonly MinutePeak[] => {
    const peaks = new Map<number, number>();
    rows.forEach(row => {
        peaks.set(row.minuteMs, (peaks.get(row.minuteMs) ?? 0) + row.peakPerSecond);
    });
    return [...peaks].map(([minuteMs, peakPerSecond]) => ({ minuteMs, peakPerSecond }));
};

const highestPeak = (peaks: readonly MinutePeak[]): number =>
    peaks.reduce((left, right) => Math.max(left, right.peakPerSecond), 0);
