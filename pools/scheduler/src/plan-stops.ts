import type { OrderBudget } from "./order-budget.js";
import { isStopDue, recordStop, type StopSchedule, type StopTimes } from "./stop-schedule.js";
import { isJobEnded } from "./job-progress.js";
import { createRelocationRoom, type RelocationOptions, type RelocationRoom } from "./relocation-room.js";
import { highRemainingRunMs, remainingRunMs } from "./remaining-time.js";
import type { Executor, OpenStep, OrphanedRun, PoolTables, Run, StopCause } from "./pool-tables.js";
import { allRuns, markForStop } from "./run-table.js";

/** Times of a stop planning pass, and the orders that it may send. */
export interface StopOptions extends StopTimes, Pick<RelocationOptions, "executorsWithTicket"> {
    readonly budget: OrderBudget;
}

/** Marks the runs that must be stopped, and returns those for which a stop request is due now and within the budget. */
export const planStops = (tables: PoolTables, options: StopOptions): readonly Run[] => {
    const runs = allRuns(tables);
    const room = createRelocationRoom(tables, options);
    runs.filter(run => run.phase !== "stopping").forEach(run => {
        const cause = stopCauseOf(tables, run, room, options);
        if (cause !== undefined) {
            markForStop(run, cause);
        }
    });
    // First requests precede repeated ones, which may be addressed to executors that do not respond.
    return runs
        .filter(({ phase }) => phase === "stopping")
        .sort((left, right) => left.stopsSent - right.stopsSent)
        .filter(run => takeDueStop(run, run.executor, options));
};

/** Stop requests of orphaned runs that are due now and within the budget. */
export const planOrphanStops = (executor: Executor, options: StopOptions): readonly OrphanedRun[] =>
    executor.orphanedRuns.filter(orphanedRun => takeDueStop(orphanedRun, executor, options));

/** Records a stop request as sent if it is due and within the budget; returns whether it is. */
const takeDueStop = (schedule: StopSchedule, { id }: Executor, { budget, ...times }: StopOptions): boolean => {
    if (!budget.allows(id) || !isStopDue(schedule, times)) {
        return false;
    }
    budget.spend(id);
    recordStop(schedule, times.nowMs);
    return true;
};

const EVACUATION_GRACE_MS = 1500;

const stopCauseOf = (
    tables: PoolTables,
    run: Run,
    room: RelocationRoom,
    options: StopOptions,
): StopCause | undefined => {
    const { job } = run.task.step;
    if (job.state === "cancelled") {
        return "cancelled";
    }
    if (isJobEnded(job)) {
        return "job-ended";
    }
    if (run.task.done) {
        return "duplicate";
    }
    if (run.phase === "missing" || (run.phase === "unsettled" && !run.task.step.step.longRunning)) {
        return "unanswered";
    }
    if (run.task.step.step.gang && !isGangComplete(run)) {
        return "gang-incomplete";
    }
    const { executor } = run;
    if (executor.record.draining) {
        const remainingMs = likelyRemainingMs(tables, run, options.nowMs);
        return cannotFinishWithin(run, remainingMs, executor.record.remainingMs ?? 0) ? "draining" : undefined;
    }
    if (executor.evacuation !== undefined) {
        const remainingMs = likelyRemainingMs(tables, run, options.nowMs);
        const untilMs = executor.evacuation.byMs + evacuationGraceMs(run, remainingMs, options.nowMs);
        return cannotFinishWithin(run, remainingMs, untilMs - options.nowMs) &&
            isWithinDisruptionBudget(run, options.nowMs) &&
            (!run.task.step.step.longRunning || room.claim(run.task) || mayStopWithoutRoom(executor, options.nowMs))
            ? "evacuation"
            : undefined;
    }
    return undefined;
};

const isGangComplete = (run: Run): boolean =>
    run.task.step.tasks.every(task => task.runs.some(member => member.number === run.number));

// A task with checkpoints loses little by a stop and much if its VM is gone before its end, so it is kept only if it ends in
// time nearly certainly. One without loses all of its work either way, so it is kept if it is expected to end in time.
const likelyRemainingMs = (tables: PoolTables, run: Run, nowMs: number): number =>
    run.task.step.step.checkpointing ? highRemainingRunMs(tables, run, nowMs) : remainingRunMs(tables, run, nowMs);

// A task that cannot finish in time is stopped early, with its checkpoint, and continues elsewhere.
const cannotFinishWithin = (run: Run, remainingMs: number, withinMs: number): boolean =>
    run.task.step.step.longRunning || remainingMs > withinMs;

// An evacuation is extended by a bounded time for a task that would have to start over and needs less time than it has
// already run.
const evacuationGraceMs = (run: Run, remainingMs: number, nowMs: number): number =>
    run.task.step.step.checkpointing || remainingMs > nowMs - run.startedAtMs ? 0 : EVACUATION_GRACE_MS;

/** True if a run may be stopped without exceeding the disruption budget of its step. */
const isWithinDisruptionBudget = (run: Run, nowMs: number): boolean => {
    const { step } = run.task;
    if (!step.step.longRunning || step.step.disruptionBudget === undefined) {
        return true;
    }
    return countUnavailableTasks(step, [run], nowMs) < step.step.disruptionBudget;
};

// Time after the deadline of an evacuation for which tasks are kept that have no room elsewhere, in milliseconds.
const MAX_WAIT_FOR_ROOM_MS = 4000;

/**
 * True if all long-running tasks of an executor may be stopped although they have no room elsewhere, for instance because
 * no other VM has a label. They start again on their VM after its maintenance. If only some of them may be stopped, they
 * would wait for a VM that never becomes empty.
 */
const mayStopWithoutRoom = ({ evacuation, runs }: Executor, nowMs: number): boolean =>
    evacuation !== undefined &&
    nowMs > evacuation.byMs + MAX_WAIT_FOR_ROOM_MS &&
    [...runs.values()]
        .filter(({ task }) => task.step.step.longRunning)
        .every(run => {
            const { step } = run.task;
            const budget = step.step.disruptionBudget;
            const onExecutor = [...runs.values()].filter(other => other.task.step === step);
            return budget === undefined || countUnavailableTasks(step, onExecutor, nowMs) + onExecutor.length <= budget;
        });

// A replacement counts as available only after this time at 100% progress, since it may fail right after its start.
const MIN_AVAILABLE_MS = 300;

const countUnavailableTasks = (step: OpenStep, except: readonly Run[], nowMs: number): number =>
    step.tasks.filter(task => except.every(run => run.task !== task) && !task.runs.some(run => isAvailable(run, nowMs)))
        .length;

// A run on an executor that does not respond may have ended.
const isAvailable = (run: Run, nowMs: number): boolean =>
    run.phase === "running" &&
    run.executor.reachable &&
    run.availableSinceMs !== undefined &&
    nowMs - run.availableSinceMs >= MIN_AVAILABLE_MS;
