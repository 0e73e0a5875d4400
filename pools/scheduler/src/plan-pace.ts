import type { Executor, PoolTables, Run } from "./pool-tables.js";

/** A change of the share of its speed that a run may use. */
export interface PaceChange {
    readonly run: Run;
    /** 0 to 100. */
    readonly percent: number;
}

/** When the pace of an executor's backfill was last changed, by executor. */
export type PaceHistory = Map<Executor["id"], number>;

// Share of a latency target above which backfill beside the task is held back, before the target is missed.
const PAUSE_ABOVE_RATIO = 0.8;
// Below this share there is room for more backfill; the gap to the other share keeps the pace from swinging.
const SPEED_UP_BELOW_RATIO = 0.5;
// Load and disturbance change within seconds, so that a faster pace is tried only after a while.
const SPEED_UP_INTERVAL_MS = 2000;
const SPEED_UP_STEP_PERCENT = 25;

/** Slows backfill down at once where a task beside it nears its latency target, and speeds it up step by step. */
export const planPace = (tables: PoolTables, history: PaceHistory, nowMs: number): readonly PaceChange[] =>
    [...tables.executors.values()].flatMap(executor => planExecutorPace(executor, history, nowMs));

const planExecutorPace = (executor: Executor, history: PaceHistory, nowMs: number): readonly PaceChange[] => {
    const runs = [...executor.runs.values()].filter(({ phase }) => phase === "running");
    const backfill = runs.filter(run => run.task.step.step.backfill);
    if (backfill.length === 0) {
        return [];
    }
    const highestRatio = Math.max(0, ...runs.map(latencyRatio));
    if (highestRatio > PAUSE_ABOVE_RATIO) {
        history.set(executor.id, nowMs);
        return backfill.filter(({ pace }) => pace > 0).map(run => ({ run, percent: 0 }));
    }
    const throttled = backfill.filter(({ pace }) => pace < 100);
    const changedAtMs = history.get(executor.id) ?? Number.NEGATIVE_INFINITY;
    if (highestRatio >= SPEED_UP_BELOW_RATIO || throttled.length === 0 || nowMs - changedAtMs < SPEED_UP_INTERVAL_MS) {
        return [];
    }
    history.set(executor.id, nowMs);
    return throttled.map(run => ({ run, percent: Math.min(100, run.pace + SPEED_UP_STEP_PERCENT) }));
};

const latencyRatio = (run: Run): number => {
    const { latencyTargetMs } = run.task.step.step;
    return latencyTargetMs === undefined || run.recentLoad === undefined ? 0 : run.recentLoad / latencyTargetMs;
};
