import type { EndedRun, RunReport } from "@almondusher/jobs/executor";
import { isFromPastIncarnation, observeIncarnation } from "./executor-incarnation.js";
import { hasLongestLeaseExpired } from "./lease-time.js";
import { haveLeasesExpired } from "./lost-requests.js";
import { learnFromEnd } from "./learned-times.js";
import { adoptRun } from "./adopt-run.js";
import { forgetInheritedStart } from "./inherited-starts.js";
import { closeCompletedOccurrences, findReportedTask } from "./open-occurrences.js";
import { markDone } from "./open-tasks.js";
import { isCompleted, isJobEnded, markStarted } from "./job-progress.js";
import { attemptsLeft } from "./job-terms.js";
import type { Executor, OpenJob, PoolTables, Run, Task } from "./pool-tables.js";
import { findRun, forgetRun, giveUpRun, markForStop } from "./run-table.js";
import { mayStillArrive } from "./undelivered-starts.js";

/** A reported run end and, for logging, the task and the run that it belongs to, if they are in the tables. */
export interface AppliedEnd {
    readonly end: EndedRun;
    readonly task: Task | undefined;
    readonly run: Run | undefined;
}

/** When a report was requested and received, in milliseconds of the monotonic clock. */
export interface ReportTimes {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
}

// An executor gets no starts for a while after this many consecutive failures; the time doubles with each further one.
const FAILURES_BEFORE_BACKOFF = 2;
const INITIAL_BACKOFF_MS = 2000;
const MAX_BACKOFF_MS = 16_000;
/** Time in service after which the failure of a long-running task does not count against its executor, in milliseconds. */
const MIN_SERVICE_MS = 2000;

/**
 * Applies an executor's report: run ends, progress, and runs that are not in the tables yet. Returns the run ends that
 * were not reported before.
 */
export const applyReport = (
    tables: PoolTables,
    executor: Executor,
    report: RunReport,
    times: ReportTimes,
): readonly AppliedEnd[] => {
    if (isFromPastIncarnation(executor, { startedAtMs: report.startedAtMs, sentAtMs: times.sentAtMs })) {
        return [];
    }
    observeIncarnation(executor, { ...times, clockMs: report.clockMs, startedAtMs: report.startedAtMs });
    executor.reachable = true;
    executor.wasRead = true;
    executor.hasUnresolvedStart = false;
    const newEnds = report.ended.filter(end => end.number > executor.lastAppliedEnd);
    const applied = newEnds.map(end => applyEnd(tables, executor, end, times.receivedAtMs));
    executor.lastAppliedEnd = Math.max(executor.lastAppliedEnd, ...report.ended.map(end => end.number));
    report.active.forEach(active => {
        forgetInheritedStart(tables, executor.id, active.task, active.run);
        const run = findRun(executor, active.task, active.run);
        if (run === undefined) {
            adoptRun(tables, executor, active, times.receivedAtMs);
            return;
        }
        markStarted(run.task.step.job);
        run.percent = active.percent;
        run.recentLoad = active.recentLoad;
        run.availableSinceMs =
            active.percent >= 100 && !mayBeStopping(tables, run, times)
                ? (run.availableSinceMs ?? times.receivedAtMs)
                : undefined;
        if (active.checkpoint !== "") {
            run.task.checkpoint = active.checkpoint;
        }
        run.confirmedAtMs ??= times.receivedAtMs;
        run.isStartDelivered = true;
        if (isStartSettled(run)) {
            settleStart(run);
        }
    });
    markMissingRuns(executor, times);
    dropMissingOrphans(executor, report);
    executor.hasUnreadEnds = report.endsTruncated;
    if (!report.endsTruncated) {
        dropMissingRuns(executor, report, times);
        executor.reconciled = true;
        executor.inheritedRunsRead = true;
    }
    return applied;
};

/**
 * Gives up the runs of an unreachable executor whose leases had certainly expired when the last unanswered poll was sent.
 * A scheduler that was late or suspended has not asked since, and the runs may have ended as done.
 */
export const expireRuns = (tables: PoolTables, executor: Executor, nowMs: number): void => {
    if (executor.reachable) {
        return;
    }
    const expired = [...executor.runs.values()].filter(run =>
        hasLeaseExpired(tables, run, executor.unansweredPollSentAtMs),
    );
    expired.forEach(run => giveUpRun(run, "lease-expired", nowMs));
    if (expired.some(({ confirmedAtMs }) => confirmedAtMs === undefined)) {
        executor.hasUnresolvedStart = true;
    }
};

// The request to start an unconfirmed run may have reached a new incarnation of the executor. That one grants up to the
// longest lease on its own clock, so the run may last beyond the lease end that was sent.
const hasLeaseExpired = (tables: PoolTables, { confirmedAtMs, startedAtMs, executor }: Run, nowMs: number): boolean =>
    confirmedAtMs === undefined
        ? hasLongestLeaseExpired(startedAtMs, tables.maxLeaseMs, nowMs)
        : haveLeasesExpired(tables, executor, nowMs);

/** Sets the final state of a job. Its remaining runs are stopped by `planStops`. */
export const endJob = (job: OpenJob, state: "completed" | "failed" | "cancelled"): void => {
    job.state = state;
    job.dirty = true;
};

/** Ends a job as completed if all of its tasks are done. */
export const completeIfDone = (job: OpenJob): void => {
    if (!isJobEnded(job) && isCompleted(job)) {
        endJob(job, "completed");
    }
};

/** Ends a job as failed if one of the tasks, which belong to it, has no attempt left. */
export const failIfExhausted = (tables: PoolTables, job: OpenJob, tasks: readonly Task[]): void => {
    if (!isJobEnded(job) && tasks.some(task => !task.done && attemptsLeft(tables, task) === "none")) {
        endJob(job, "failed");
    }
};

const applyEnd = (tables: PoolTables, executor: Executor, end: EndedRun, nowMs: number): AppliedEnd => {
    forgetInheritedStart(tables, executor.id, end.task, end.run);
    const task = findReportedTask(tables, end.task);
    const run = findRun(executor, end.task, end.run);
    if (run !== undefined) {
        forgetRun(run);
    }
    if (task !== undefined) {
        applyEndToTask(tables, executor, task, end, run, nowMs);
    }
    updateFailureStreak(executor, end, run, nowMs);
    return { end, task, run };
};

const applyEndToTask = (
    tables: PoolTables,
    executor: Executor,
    task: Task,
    end: EndedRun,
    run: Run | undefined,
    nowMs: number,
): void => {
    const { job, step } = task.step;
    markStarted(job);
    if (end.checkpoint !== "") {
        task.checkpoint = end.checkpoint;
    }
    if (run !== undefined) {
        learnFromEnd(tables, run, end.how, nowMs);
    }
    switch (end.how) {
        case "done":
            applyCompletion(task);
            break;
        case "failed":
            recordFailure(task, executor, end.run);
            break;
        case "stopped":
        case "lapsed":
        case "broken":
        case "alone":
            break;
    }
    job.dirty = true;
    // A gang fails as a whole, and the failure is counted for the member that reported it.
    failIfExhausted(tables, job, step.gang ? task.step.tasks : [task]);
    closeCompletedOccurrences(job, [task.step.occurrence]);
    completeIfDone(job);
};

const recordFailure = (task: Task, executor: Executor, run: number): void => {
    // After a takeover the failures of a task are read from several executors, in any order.
    if (!task.done && run > task.countedUpToRun && !task.failedRuns.has(run)) {
        task.failures++;
        countRun(task, run);
        task.failedOn.add(executor.id);
    }
};

// A long-running task may fail any number of times, so its runs are not kept one by one.
const countRun = (task: Task, run: number): void => {
    if (task.step.step.longRunning) {
        task.countedUpToRun = run;
    } else {
        task.failedRuns.add(run);
    }
};

const applyCompletion = (task: Task): void => {
    // A gang completes as a whole: the end of one member completes all of them.
    const completed = task.step.step.gang ? task.step.tasks : [task];
    // Long-running tasks are restarted however they end, so they are never done.
    if (!task.step.step.longRunning) {
        completed.filter(member => !member.done).forEach(markDone);
    }
    completed.flatMap(member => [...member.runs]).forEach(other => markForStop(other, "duplicate"));
};

const updateFailureStreak = (executor: Executor, end: EndedRun, run: Run | undefined, nowMs: number): void => {
    if (end.how === "done" || (end.how === "failed" && hasServed(run, nowMs))) {
        executor.failureStreak = 0;
        return;
    }
    if (end.how === "failed") {
        executor.failureStreak++;
        if (executor.failureStreak >= FAILURES_BEFORE_BACKOFF) {
            const backoffMs = Math.min(
                INITIAL_BACKOFF_MS * 2 ** (executor.failureStreak - FAILURES_BEFORE_BACKOFF),
                MAX_BACKOFF_MS,
            );
            executor.backoffUntilMs = nowMs + backoffMs;
        }
    }
};

// A long-running task may fail at any time and is never done, so its time in service shows that its executor is sound.
const hasServed = (run: Run | undefined, nowMs: number): boolean =>
    run?.availableSinceMs !== undefined &&
    run.task.step.step.longRunning &&
    nowMs - run.availableSinceMs >= MIN_SERVICE_MS;

/** True if being listed by a report shows that the start of the run was executed and nothing has been sent to undo it. */
const isStartSettled = ({ phase, stopCause, stopsSent }: Run): boolean => {
    switch (phase) {
        case "starting":
        case "unsettled":
        case "missing":
            return true;
        case "stopping":
            return stopCause === "unanswered" && stopsSent === 0;
        case "running":
            return false;
    }
};

// The task may have been started again since the start request was sent.
const settleStart = (run: Run): void => {
    const { task } = run;
    run.phase = "running";
    run.stopCause = undefined;
    if (!task.step.step.speculative && task.runs.some(other => other !== run && other.phase !== "stopping")) {
        markForStop(run, "duplicate");
    }
};

// The previous scheduler may have ordered a stop just before the executor rejected it. An executor lists a run until its
// stop is complete.
const mayBeStopping = (tables: PoolTables, { adoptedAtMs }: Run, { sentAtMs }: ReportTimes): boolean =>
    adoptedAtMs !== undefined && sentAtMs < adoptedAtMs + tables.stopTimeMs;

// The runs that the report lists are no longer unsettled when this is called.
const markMissingRuns = (executor: Executor, { sentAtMs }: ReportTimes): void =>
    [...executor.runs.values()]
        .filter(({ phase, unansweredAtMs }) => phase === "unsettled" && (unansweredAtMs ?? Infinity) <= sentAtMs)
        .forEach(run => (run.phase = "missing"));

// A complete report that was requested after a run was confirmed must list the run. If it doesn't, the run no longer
// exists. One that does not list a run whose start request has expired, and is not delayed any more, shows that the executor
// will not execute it.
const dropMissingRuns = (executor: Executor, report: RunReport, { sentAtMs, receivedAtMs }: ReportTimes): void => {
    const listed = new Set(report.active.map(({ task, run }) => findRun(executor, task, run)));
    executor.runs.forEach(run => {
        if (listed.has(run)) {
            return;
        }
        if (run.confirmedAtMs !== undefined && run.confirmedAtMs < sentAtMs) {
            giveUpRun(run, "not-listed", receivedAtMs);
        } else if (hasStartExpired(run, report.clockMs) && !mayStillArrive(run, receivedAtMs)) {
            giveUpRun(run, "start-expired", receivedAtMs);
        }
    });
};

const hasStartExpired = ({ confirmedAtMs, unansweredAtMs, startValidUntilMs }: Run, clockMs: number): boolean =>
    confirmedAtMs === undefined &&
    unansweredAtMs !== undefined &&
    startValidUntilMs !== undefined &&
    clockMs > startValidUntilMs;

const dropMissingOrphans = (executor: Executor, report: RunReport): void => {
    executor.orphanedRuns = executor.orphanedRuns.filter(({ task, number }) =>
        report.active.some(active => active.task === task && active.run === number),
    );
};
