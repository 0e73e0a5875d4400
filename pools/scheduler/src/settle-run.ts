import type { EndedRun, RunReport } from "@almondusher/jobs/executor";
import { isOutdated, noteLife } from "./executor-life.js";
import { leaseLapsed, longestLeaseLapsed } from "./lease-time.js";
import { learnRunTime } from "./run-times.js";
import { isCompleted } from "./job-progress.js";
import {
    findTask,
    forgetRun,
    type Executor,
    type OpenJob,
    type PoolTables,
    type Run,
    type StopCause,
    type Task,
} from "./pool-tables.js";

/** What was seen in a report, for the log. */
export interface AppliedEnd {
    readonly end: EndedRun;
    readonly task: Task | undefined;
    readonly run: Run | undefined;
}

/** When a report was asked for and received, in steady milliseconds. */
export interface ReportTimes {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
}

const STREAK_TO_AVOID = 2;
const AVOID_MS = 2000;
const MAX_AVOID_MS = 16_000;

/** Applies an executor's report: ends, runs that are new to the tables, progress. Returns the ends not seen before. */
export const applyReport = (
    tables: PoolTables,
    executor: Executor,
    report: RunReport,
    times: ReportTimes,
): readonly AppliedEnd[] => {
    if (isOutdated(executor, { bornMs: report.bornMs, sentAtMs: times.sentAtMs })) {
        return [];
    }
    noteLife(executor, { ...times, clockMs: report.clockMs, bornMs: report.bornMs });
    executor.reachable = true;
    executor.hasUncheckedStart = false;
    const fresh = report.ended.filter(end => end.number > executor.seenEnd);
    const applied = fresh.map(end => applyEnd(tables, executor, end, times.receivedAtMs));
    executor.seenEnd = Math.max(executor.seenEnd, ...report.ended.map(end => end.number));
    report.active.forEach(active => {
        const run = executor.runs.get(active.task);
        if (run?.number !== active.run) {
            adoptRun(tables, executor, active, times.receivedAtMs);
            return;
        }
        run.percent = active.percent;
        run.recentLoad = active.recentLoad;
        run.atWorkSinceMs = active.percent >= 100 ? (run.atWorkSinceMs ?? times.receivedAtMs) : undefined;
        if (active.checkpoint !== "") {
            run.task.checkpoint = active.checkpoint;
        }
        run.confirmedAtMs ??= times.receivedAtMs;
        if (run.phase === "unsettled" || run.phase === "starting") {
            run.phase = "running";
        }
    });
    dropVanished(executor, report, times);
    executor.inspected = true;
    return applied;
};

/** Gives up the runs of an executor out of reach whose leases have surely ended; returns them. */
export const lapseRuns = (tables: PoolTables, executor: Executor, nowMs: number): readonly Run[] => {
    if (executor.reachable) {
        return [];
    }
    const lapsed = [...executor.runs.values()].filter(run => hasLapsed(tables, run, nowMs));
    lapsed.forEach(forgetRun);
    if (lapsed.some(({ confirmedAtMs }) => confirmedAtMs === undefined)) {
        executor.hasUncheckedStart = true;
    }
    return lapsed;
};

// A start without an answer may have reached a new life, whose clock gives it the longest lease.
const hasLapsed = (tables: PoolTables, { confirmedAtMs, startedAtMs, executor }: Run, nowMs: number): boolean =>
    confirmedAtMs === undefined
        ? longestLeaseLapsed(startedAtMs, tables.maxLeaseMs, nowMs)
        : leaseLapsed(executor, nowMs);

/** Marks a job as ended; its runs are to be stopped. */
export const endJob = (job: OpenJob, state: "completed" | "failed" | "cancelled"): void => {
    job.state = state;
    job.dirty = true;
};

/** True for a job that must not start anything. */
export const isEnded = ({ state }: OpenJob): boolean => state !== "queued" && state !== "running";

/** Marks a run as to be stopped. */
export const stopRun = (run: Run, cause: StopCause): void => {
    run.phase = "stopping";
    run.stopCause ??= cause;
};

const applyEnd = (tables: PoolTables, executor: Executor, end: EndedRun, nowMs: number): AppliedEnd => {
    const task = findTask(tables, end.task);
    const run = executor.runs.get(end.task);
    const known = run?.number === end.run ? run : undefined;
    if (known !== undefined) {
        forgetRun(known);
    }
    if (task !== undefined) {
        settleTask(tables, executor, task, end, known, nowMs);
    }
    noteHealth(executor, end, nowMs);
    return { end, task, run: known };
};

const settleTask = (
    tables: PoolTables,
    executor: Executor,
    task: Task,
    end: EndedRun,
    run: Run | undefined,
    nowMs: number,
): void => {
    const { job, step } = task.step;
    if (end.checkpoint !== "") {
        task.checkpoint = end.checkpoint;
    }
    switch (end.how) {
        case "done":
            settleDone(tables, task, run, nowMs);
            break;
        case "failed":
            countFailure(task, executor, end.run);
            break;
        case "stopped":
        case "lapsed":
        case "broken":
        case "alone":
            break;
    }
    job.dirty = true;
    const maxAttempts = tables.queues.get(job.queue)?.maxAttempts ?? 1;
    const failures = step.gang ? Math.max(...task.step.tasks.map(member => member.failures)) : task.failures;
    if (!isEnded(job) && !step.longRunning && failures >= maxAttempts && !task.done) {
        endJob(job, "failed");
    }
    if (!isEnded(job) && isCompleted(job)) {
        endJob(job, "completed");
    }
};

const countFailure = (task: Task, executor: Executor, run: number): void => {
    if (!task.done && run > task.lastFailedRun) {
        task.failures++;
        task.lastFailedRun = run;
        task.failedOn.add(executor.id);
    }
};

const settleDone = (tables: PoolTables, task: Task, run: Run | undefined, nowMs: number): void => {
    // One end stands for all members of a gang.
    const ended = task.step.step.gang ? task.step.tasks : [task];
    // A task that lasts is started again however it ends.
    if (!task.step.step.longRunning) {
        ended.filter(member => !member.done).forEach(markDone);
    }
    ended.flatMap(member => [...member.runs]).forEach(other => stopRun(other, "duplicate"));
    if (run?.phase === "running" && run.resumedFrom === "" && !task.step.step.longRunning) {
        learnRunTime(tables.runTimes, task.step.job.queue, task.step.step.estimateMs, nowMs - run.startedAtMs);
    }
};

const markDone = (task: Task): void => {
    task.done = true;
    task.step.remaining--;
};

const noteHealth = (executor: Executor, end: EndedRun, nowMs: number): void => {
    if (end.how === "done") {
        executor.failureStreak = 0;
    }
    if (end.how === "failed") {
        executor.failureStreak++;
        if (executor.failureStreak >= STREAK_TO_AVOID) {
            const avoidMs = Math.min(AVOID_MS * 2 ** (executor.failureStreak - STREAK_TO_AVOID), MAX_AVOID_MS);
            executor.avoidUntilMs = nowMs + avoidMs;
        }
    }
};

const adoptRun = (tables: PoolTables, executor: Executor, active: RunReport["active"][number], nowMs: number): void => {
    const task = findTask(tables, active.task);
    if (task === undefined || task.done || isEnded(task.step.job)) {
        addStray(executor, active);
        return;
    }
    const run: Run = {
        task,
        number: active.run,
        executor,
        phase: "running",
        startedAtMs: nowMs,
        // Its start was not seen, so its time tells nothing.
        resumedFrom: active.checkpoint === "" ? "unknown" : active.checkpoint,
        confirmedAtMs: nowMs,
        percent: active.percent,
        atWorkSinceMs: active.percent >= 100 ? nowMs : undefined,
        recentLoad: active.recentLoad,
        pace: 100,
        stopCause: undefined,
        stopSentAtMs: undefined,
    };
    if (active.checkpoint !== "") {
        task.checkpoint = active.checkpoint;
    }
    const copies = task.runs.length > 0 && !task.step.step.speculative;
    task.runs.push(run);
    executor.runs.set(task.id, run);
    task.step.job.started = true;
    if (copies) {
        stopRun(run, "duplicate");
    }
};

const addStray = (executor: Executor, { task, run }: RunReport["active"][number]): void => {
    if (!executor.strays.some(stray => stray.task === task && stray.number === run)) {
        executor.strays = [...executor.strays, { task, number: run, stopSentAtMs: undefined }];
    }
};

// A confirmed run that a later report neither lists as active nor as ended no longer exists.
const dropVanished = (executor: Executor, report: RunReport, { sentAtMs }: ReportTimes): void => {
    const listed = new Set(report.active.map(({ task, run }) => `${task}/${run}`));
    [...executor.runs.values()]
        .filter(({ confirmedAtMs }) => confirmedAtMs !== undefined && confirmedAtMs < sentAtMs)
        .filter(run => !listed.has(`${run.task.id}/${run.number}`))
        .forEach(forgetRun);
    executor.strays = executor.strays.filter(({ task, number }) => listed.has(`${task}/${number}`));
};
