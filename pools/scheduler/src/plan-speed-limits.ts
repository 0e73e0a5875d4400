import type { Executor, PoolTables, Run } from "./pool-tables.js";

/** A new speed limit for a run. */
export interface SpeedLimitChange {
    readonly run: Run;
    /** The limit, in percent of the run's full speed. */
    readonly percent: number;
}

/** When the speed limit of backfill runs was last changed, by executor. */
export type SpeedLimitHistory = Map<Executor["id"], number>;

// Ratio of latency to target above which backfill on the same executor is paused, before the target is missed.
const PAUSE_ABOVE_RATIO = 0.8;
// Backfill is sped up only below this ratio. The gap between the two ratios prevents oscillation.
const SPEED_UP_BELOW_RATIO = 0.5;
// The load of tasks and the interference between tasks on the same executor change within seconds, so the speed limit
// of backfill is raised only after it was unchanged for this long.
const SPEED_UP_INTERVAL_MS = 2000;
const SPEED_UP_STEP_PERCENT = 25;

/**
 * Pauses backfill at once where a task on the same executor comes close to its latency target, and raises its speed
 * limit step by step afterwards.
 */
export const planSpeedLimits = (
    tables: PoolTables,
    history: SpeedLimitHistory,
    nowMs: number,
): readonly SpeedLimitChange[] =>
    [...tables.executors.values()].flatMap(executor => planExecutorSpeedLimits(executor, history, nowMs));

const planExecutorSpeedLimits = (
    executor: Executor,
    history: SpeedLimitHistory,
    nowMs: number,
): readonly SpeedLimitChange[] => {
    const runs = [...executor.runs.values()].filter(({ phase }) => phase === "running");
    const backfill = runs.filter(run => run.task.step.step.backfill);
    if (backfill.length === 0) {
        return [];
    }
    const highestRatio = Math.max(0, ...runs.map(latencyRatio));
    if (highestRatio > PAUSE_ABOVE_RATIO) {
        history.set(executor.id, nowMs);
        return backfill.filter(({ speedLimitPercent }) => speedLimitPercent > 0).map(run => ({ run, percent: 0 }));
    }
    const throttled = backfill.filter(({ speedLimitPercent }) => speedLimitPercent < 100);
    const changedAtMs = history.get(executor.id) ?? Number.NEGATIVE_INFINITY;
    if (highestRatio >= SPEED_UP_BELOW_RATIO || throttled.length === 0 || nowMs - changedAtMs < SPEED_UP_INTERVAL_MS) {
        return [];
    }
    history.set(executor.id, nowMs);
    return throttled.map(run => ({ run, percent: Math.min(100, run.speedLimitPercent + SPEED_UP_STEP_PERCENT) }));
};

const latencyRatio = (run: Run): number => {
    const { latencyTargetMs } = run.task.step.step;
    return latencyTargetMs === undefined || run.recentLoad === undefined ? 0 : run.recentLoad / latencyTargetMs;
};
