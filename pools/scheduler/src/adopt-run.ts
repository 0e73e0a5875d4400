import type { ActiveRun } from "@almondusher/jobs/executor";
import { isJobEnded, markStarted } from "./job-progress.js";
import { findReportedTask } from "./open-occurrences.js";
import type { Executor, PoolTables } from "./pool-tables.js";
import { addRun, markForStop } from "./run-table.js";

/**
 * Adds a run that an executor reports and that is not in the tables: the previous holder of the pool lease started it, or
 * its task is finished or unknown.
 */
export const adoptRun = (tables: PoolTables, executor: Executor, active: ActiveRun, nowMs: number): void => {
    const task = findReportedTask(tables, active.task);
    if (task === undefined || task.done || isJobEnded(task.step.job)) {
        addOrphanedRun(executor, active);
        return;
    }
    const isDuplicate = task.runs.length > 0 && !task.step.step.speculative;
    keepInheritedLease(tables, executor);
    const run = addRun({
        task,
        number: active.run,
        executor,
        phase: "running",
        startedAtMs: nowMs,
        // The start was not observed, so the duration is unknown. A non-empty value keeps the run out of the run time
        // statistics.
        resumedFrom: active.checkpoint === "" ? "unknown" : active.checkpoint,
        confirmedAtMs: nowMs,
        isStartDelivered: true,
        adoptedAtMs: nowMs,
        percent: active.percent,
        recentLoad: active.recentLoad,
    });
    if (active.checkpoint !== "") {
        task.checkpoint = active.checkpoint;
    }
    markStarted(task.step.job);
    if (isDuplicate) {
        markForStop(run, "duplicate");
    }
};

// The previous holder may have extended the lease of the run just before the executor rejected it.
const keepInheritedLease = ({ runLeaseMs }: PoolTables, executor: Executor): void => {
    if (executor.clock !== undefined) {
        executor.leaseUntilMs = Math.max(executor.leaseUntilMs, executor.clock.clockMs + runLeaseMs);
    }
};

const addOrphanedRun = (executor: Executor, { task, run }: ActiveRun): void => {
    if (!executor.orphanedRuns.some(orphan => orphan.task === task && orphan.number === run)) {
        executor.orphanedRuns = [
            ...executor.orphanedRuns,
            { task, number: run, stopSentAtMs: undefined, stopsSent: 0 },
        ];
    }
};
