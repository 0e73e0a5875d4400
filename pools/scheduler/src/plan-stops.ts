import { markForStop, isEnded } from "./settle-run.js";
import { remainingRunMs } from "./remaining-time.js";
import { allRuns, type OpenStep, type PoolTables, type Run, type StopCause } from "./pool-tables.js";

/** Times that stops are planned with, in milliseconds. */
export interface StopOptions {
    readonly nowMs: number;
    /** A stop without an answer is sent again after this. */
    readonly repeatMs: number;
}

/** Marks the runs that must end and returns those whose stop is to be sent now. */
export const planStops = (tables: PoolTables, terms: StopOptions): readonly Run[] => {
    const runs = allRuns(tables);
    runs.filter(run => run.phase !== "stopping").forEach(run => {
        const cause = stopCauseOf(tables, run, terms);
        if (cause !== undefined) {
            markForStop(run, cause);
        }
    });
    const due = runs
        .filter(run => run.phase === "stopping")
        .filter(({ stopSentAtMs }) => stopSentAtMs === undefined || terms.nowMs - stopSentAtMs >= terms.repeatMs);
    due.forEach(run => (run.stopSentAtMs = terms.nowMs));
    return due;
};

const EVACUATION_GRACE_MS = 1500;

const stopCauseOf = (tables: PoolTables, run: Run, terms: StopOptions): StopCause | undefined => {
    const { job } = run.task.step;
    if (job.state === "cancelled") {
        return "cancelled";
    }
    if (isEnded(job)) {
        return "job-ended";
    }
    if (run.task.done) {
        return "duplicate";
    }
    if (run.phase === "unsettled") {
        return "unanswered";
    }
    if (run.task.step.step.gang && !isGangComplete(run)) {
        return "gang-incomplete";
    }
    const { executor } = run;
    if (executor.record.draining) {
        const leftMs = remainingRunMs(tables, run, terms.nowMs);
        return cannotFinishWithin(run, leftMs, executor.record.remainingMs ?? 0) ? "draining" : undefined;
    }
    if (executor.evacuation !== undefined) {
        const leftMs = remainingRunMs(tables, run, terms.nowMs);
        const untilMs = executor.evacuation.byMs + evacuationGraceMs(run, leftMs, terms.nowMs);
        return cannotFinishWithin(run, leftMs, untilMs - terms.nowMs) && isWithinDisruptionBudget(run, terms.nowMs)
            ? "evacuation"
            : undefined;
    }
    return undefined;
};

const isGangComplete = (run: Run): boolean =>
    run.task.step.tasks.every(task => task.runs.some(member => member.number === run.number));

// A task that cannot end in time is stopped early, with its checkpoint, and continues elsewhere.
const cannotFinishWithin = (run: Run, leftMs: number, withinMs: number): boolean =>
    run.task.step.step.longRunning || leftMs > withinMs;

// A VM that is vacated waits somewhat longer for a task that would have to begin again and has less left than done.
const evacuationGraceMs = (run: Run, leftMs: number, nowMs: number): number =>
    run.task.step.step.checkpointing || leftMs > nowMs - run.startedAtMs ? 0 : EVACUATION_GRACE_MS;

/** True if a task at work may be ended without exceeding the disruption budget of its step. */
const isWithinDisruptionBudget = (run: Run, nowMs: number): boolean => {
    const { step } = run.task;
    if (!step.step.longRunning || step.step.disruptionBudget === undefined) {
        return true;
    }
    return countUnavailableTasks(step, run, nowMs) < step.step.disruptionBudget;
};

// A replacement counts as available only after it was at work for a moment, since it may fail right away.
const MIN_AVAILABLE_MS = 300;

const countUnavailableTasks = (step: OpenStep, except: Run, nowMs: number): number =>
    step.tasks.filter(task => task !== except.task && !task.runs.some(run => isAvailable(run, nowMs))).length;

const isAvailable = (run: Run, nowMs: number): boolean =>
    run.phase === "running" && run.availableSinceMs !== undefined && nowMs - run.availableSinceMs >= MIN_AVAILABLE_MS;
