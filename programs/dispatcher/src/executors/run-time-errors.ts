import { predictionOf } from "@almondusher/scheduler/learned-times";
import type { Run } from "@almondusher/scheduler/pool-tables";
import type { DispatcherMetrics } from "../process/dispatcher-metrics.js";

// Upper bounds of the ratio of the observed to the expected run time, with the names of their counters.
const BOUNDS = [
    [0.5, "below_0_5"],
    [0.8, "0_5_to_0_8"],
    [1.25, "0_8_to_1_25"],
    [2, "1_25_to_2"],
    [Infinity, "above_2"],
] as const;

/** Counts how far the observed time of a run that is done was from what was expected when it was placed. */
export const countRunTimeError = (metrics: Pick<DispatcherMetrics, "count">, run: Run, tookMs: number): void => {
    const prediction = predictionOf(run);
    if (prediction === undefined) {
        return;
    }
    const ratio = tookMs / prediction.expectedMs;
    const bucket = BOUNDS.find(([bound]) => ratio < bound)?.[1] ?? "above_2";
    metrics.count(`run_time_ratio_${bucket}`);
    if (tookMs > prediction.highMs) {
        metrics.count("runs_longer_than_high_estimate");
    }
};
