import { isJobEnded, isReady } from "@almondusher/scheduler/job-progress";
import { stepsOf, type PoolTables, type Task } from "@almondusher/scheduler/pool-tables";
import { isHeldUp, surveyWaiting, type SurveyOptions, type WaitingReason } from "@almondusher/scheduler/waiting-reason";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import { beginWait, delayNextLog, type LongWait } from "../store/long-wait.js";
import type { LeaseGate, LeaseStatus } from "../executors/run-leases.js";

/** Why the scheduler of a pool starts no tasks at all. */
export type PoolGate = LeaseGate | "jobs-not-read" | "executors-not-read";

/** Logs and counts, by reason, the tasks that are not started although there is room for them. */
export interface WaitingLog {
    /** Must be called at regular intervals, with the reason why the pool starts no tasks at all, if there is one. */
    readonly check: (poolGate: PoolGate | undefined, lease: LeaseStatus) => void;
}

export interface WaitingLogOptions {
    readonly context: Pick<DispatcherContext, "log" | "metrics" | "monotonicMs">;
    readonly tables: PoolTables;
    readonly surveyOptions: () => SurveyOptions;
}

/** A task that has waited long enough to be counted. */
interface WaitingTask {
    readonly task: Task;
    readonly wait: LongWait;
    readonly reason: WaitingReason;
}

/** Time between two checks, in milliseconds. */
export const WAITING_CHECK_INTERVAL_MS = 1000;
// A wait is logged after this time, and then whenever it has doubled.
const FIRST_LOG_AFTER_MS = 3000;
const MAX_LINES_PER_CHECK = 5;

export const createWaitingLog = ({ context, tables, surveyOptions }: WaitingLogOptions): WaitingLog => {
    let waits: ReadonlyMap<Task, LongWait> = new Map();
    let poolWait: LongWait | undefined;

    const checkPool = (gate: PoolGate, lease: LeaseStatus): void => {
        const nowMs = context.monotonicMs();
        poolWait ??= beginWait(nowMs, FIRST_LOG_AFTER_MS);
        if (!isLong(poolWait, nowMs)) {
            return;
        }
        context.metrics.count(counterName("pools", gate));
        if (poolWait.logAtMs <= nowMs) {
            delayNextLog(poolWait, nowMs);
            context.log("pool-waiting", {
                pool: tables.pool,
                reason: gate,
                waitedMs: Math.round(nowMs - poolWait.sinceMs),
                ...detailsOf(lease),
            });
        }
    };
    const checkTasks = (): void => {
        const options = surveyOptions();
        const survey = surveyWaiting(tables, options);
        waits = new Map(
            [...tables.jobs.values()]
                .filter(job => !isJobEnded(job))
                .flatMap(job => stepsOf(job).filter(isReady))
                .map(step => ({ step, heldUp: step.tasks.filter(isHeldUp) }))
                .filter(({ step, heldUp }) => heldUp.length > 0 && survey.hasRoom(step))
                .flatMap(({ heldUp }) => heldUp)
                .map(task => [task, waits.get(task) ?? beginWait(options.nowMs, FIRST_LOG_AFTER_MS)]),
        );
        const long = [...waits]
            .filter(([, wait]) => isLong(wait, options.nowMs))
            .map(([task, wait]) => ({ task, wait, reason: survey.reasonOf(task) }));
        long.forEach(({ reason }) => context.metrics.count(counterName("tasks", reason.kind)));
        logDue(long, options.nowMs);
    };
    const logDue = (long: readonly WaitingTask[], nowMs: number): void => {
        const due = long.filter(({ wait }) => wait.logAtMs <= nowMs);
        oneOfEachStepFirst(due)
            .slice(0, MAX_LINES_PER_CHECK)
            .forEach(({ task, wait, reason }) => {
                delayNextLog(wait, nowMs);
                context.log("task-waiting", {
                    job: task.step.job.id,
                    task: task.id,
                    pool: tables.pool,
                    reason: reason.kind,
                    waitedMs: Math.round(nowMs - wait.sinceMs),
                    ...detailsOf(reason),
                    waitingInPool: long.length,
                });
            });
    };
    return {
        check: (poolGate, lease) => {
            if (poolGate !== undefined) {
                checkPool(poolGate, lease);
                return;
            }
            poolWait = undefined;
            checkTasks();
        },
    };
};

const isLong = ({ sinceMs }: LongWait, nowMs: number): boolean => nowMs - sinceMs >= FIRST_LOG_AFTER_MS;

const counterName = (waiting: "tasks" | "pools", reason: string): string =>
    `${waiting}_waiting_${reason.replaceAll("-", "_")}`;

// A large step that waits must not keep the lines of other steps from being written.
const oneOfEachStepFirst = (waits: readonly WaitingTask[]): readonly WaitingTask[] => {
    const firsts = new Map(waits.toReversed().map(wait => [wait.task.step, wait]));
    const isFirst = (wait: WaitingTask): boolean => firsts.get(wait.task.step) === wait;
    return [...waits.filter(isFirst), ...waits.filter(wait => !isFirst(wait))];
};

// Fields of a log line; times are rounded to milliseconds. Times that are not known are infinite, and left out.
const detailsOf = (details: object): Readonly<Record<string, unknown>> =>
    Object.fromEntries(
        Object.entries(details)
            .filter(([name, value]) => name !== "kind" && Math.abs(Number(value)) !== Infinity)
            .map(([name, value]: [string, unknown]) => [name, typeof value === "number" ? Math.round(value) : value]),
    );
