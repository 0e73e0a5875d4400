import type { TaskId } from "@almondusher/jobs/ids";
import { keepUndeliveredStart } from "./undelivered-starts.js";
import type {
    Executor,
    GivenUpRun,
    GiveUpCause,
    PoolTables,
    RestartSource,
    Run,
    RunKey,
    StopCause,
} from "./pool-tables.js";

/** What is known of a run when it is added. */
type AddedRun = Pick<Run, "task" | "number" | "executor" | "phase" | "startedAtMs" | "resumedFrom"> &
    Partial<Pick<Run, "confirmedAtMs" | "isStartDelivered" | "adoptedAtMs" | "percent" | "recentLoad">>;

const keyOf = (task: TaskId, number: number): RunKey => `${task}#${number}` as RunKey;

/** All runs that are or may be present on an executor. */
export const allRuns = (tables: PoolTables): readonly Run[] =>
    [...tables.executors.values()].flatMap(executor => [...executor.runs.values()]);

/** Finds a run of an executor. */
export const findRun = ({ runs }: Pick<Executor, "runs">, task: TaskId, number: number): Run | undefined =>
    runs.get(keyOf(task, number));

/** Adds a run to its task and executor. */
export const addRun = (added: AddedRun): Run => {
    const run: Run = {
        confirmedAtMs: undefined,
        isStartDelivered: false,
        startValidUntilMs: undefined,
        unansweredAtMs: undefined,
        adoptedAtMs: undefined,
        percent: 0,
        availableSinceMs: undefined,
        recentLoad: undefined,
        speedLimitPercent: 100,
        stopCause: undefined,
        stopSentAtMs: undefined,
        stopsSent: 0,
        ...added,
    };
    insertRun(run);
    return run;
};

/** Adds a run again that was removed. */
export const restoreRun = (run: Run): void => insertRun(run);

/** Removes a run from its task and executor. */
export const forgetRun = (run: Run): void => {
    const key = keyOf(run.task.id, run.number);
    if (run.executor.runs.get(key) === run) {
        runsOfExecutor(run).delete(key);
        const runs = runsOfTask(run);
        runs.splice(runs.indexOf(run), 1);
    }
};

/**
 * Removes a run that must have ended although its end was not reported. Its task waits for a proof that the pool lease was
 * held at this time of the monotonic clock, in milliseconds.
 */
export const giveUpRun = (run: Run, cause: GiveUpCause, nowMs: number, restartSource?: RestartSource): void => {
    const { executor } = run;
    forgetRun(run);
    keepUndeliveredStart(run, nowMs);
    run.task.givenUpAtMs = nowMs;
    executor.givenUpRuns = [
        ...executor.givenUpRuns,
        {
            run,
            cause,
            executorStartedAtMs: executor.record.startedAtMs,
            acknowledgedEnd: executor.lastAcknowledgedEnd,
            restartSource,
        },
    ];
};

/** Returns the runs that were given up since the last call. */
export const takeGivenUpRuns = (tables: PoolTables): readonly GivenUpRun[] =>
    [...tables.executors.values()].flatMap(executor => {
        const { givenUpRuns } = executor;
        executor.givenUpRuns = [];
        return givenUpRuns;
    });

/** Marks a run to be stopped; the first cause is kept. */
export const markForStop = (run: Run, cause: StopCause): void => {
    run.phase = "stopping";
    run.stopCause ??= cause;
};

// The two collections change only here and together, so that no task has a run that its executor does not have.
const insertRun = (run: Run): void => {
    const known = findRun(run.executor, run.task.id, run.number);
    if (known !== undefined) {
        forgetRun(known);
    }
    runsOfExecutor(run).set(keyOf(run.task.id, run.number), run);
    runsOfTask(run).push(run);
};

const runsOfExecutor = ({ executor }: Run): Map<RunKey, Run> => executor.runs as Map<RunKey, Run>;

const runsOfTask = ({ task }: Run): Run[] => task.runs as Run[];
