import type { AppliedEnd } from "@almondusher/scheduler/apply-report";
import { predictionOf } from "@almondusher/scheduler/learned-times";
import type { Executor, GivenUpRun } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import { countRunTimeError } from "./run-time-errors.js";

/** Logs and counts the runs that have ended. */
export interface RunLog {
    readonly ends: (executor: Executor, ends: readonly AppliedEnd[]) => void;
    /** `leaseAgeMs` is the time since this process last certainly held the pool lease, in milliseconds. */
    readonly givenUp: (runs: readonly GivenUpRun[], leaseAgeMs: number) => void;
}

export const createRunLog = (context: DispatcherContext): RunLog => ({
    ends: (executor, ends) =>
        ends.forEach(({ end, run }) => {
            const tookMs = run === undefined ? undefined : Math.round(context.monotonicMs() - run.startedAtMs);
            const prediction = run === undefined ? undefined : predictionOf(run);
            context.metrics.count(`runs_ended_${end.how}`);
            if (run !== undefined && tookMs !== undefined && end.how === "done") {
                countRunTimeError(context.metrics, run, tookMs);
            }
            context.log("run-ended", {
                task: end.task,
                run: end.run,
                executor: executor.id,
                how: end.how,
                end: end.number,
                tookMs,
                expectedMs: prediction && Math.round(prediction.expectedMs),
                highMs: prediction && Math.round(prediction.highMs),
                cause: run?.stopCause,
            });
        }),
    givenUp: (runs, leaseAgeMs) =>
        runs.forEach(({ run, cause, executorStartedAtMs, acknowledgedEnd, restartSource }) => {
            const isExpired = cause === "lease-expired";
            context.metrics.count(isExpired ? "runs_lapsed_unseen" : "runs_given_up");
            context.log(isExpired ? "run-lapsed" : "run-given-up", {
                cause,
                task: run.task.id,
                run: run.number,
                executor: run.executor.id,
                executorStartedAtMs,
                acknowledgedEnd,
                restartSource,
                leaseAgeMs: Math.round(leaseAgeMs),
            });
        }),
});
