import {
    changeExecutor,
    changeScheduler,
    INDEXES,
    type Executor,
    type ExecutorIndex,
    type PendingStart,
    type ProcessIndex,
    type RunGuard,
    type RunState,
    type RunStep,
    type Scheduler,
} from "./run-state.js";

const takeOver = (state: RunState, process: ProcessIndex): RunState =>
    changeScheduler({ ...state, epoch: state.epoch + 1, predecessorLease: "recent" }, process, {
        epoch: state.epoch + 1,
        taskStatus: state.isEndStored ? "done" : "free",
        uninspected: state.listedInLease,
        isProgressStale: true,
        listedInLease: state.listedInLease,
        mustConfirmLease: false,
    });

const startRun = (state: RunState, process: ProcessIndex, executor: ExecutorIndex): RunState => {
    const run = state.starts + 1;
    const { epoch } = state.schedulers[process];
    return changeScheduler(
        { ...state, starts: run, pendingStarts: [...state.pendingStarts, { executor, run, epoch }] },
        process,
        {
            taskStatus: "starting",
            executor,
            run,
        },
    );
};

const deliverStart = (state: RunState, index: number, disabledGuard: RunGuard | undefined): RunState => {
    const pending = state.pendingStarts[index] as PendingStart;
    const next = { ...state, pendingStarts: state.pendingStarts.filter(other => other !== pending) };
    const executor = state.executors[pending.executor];
    const isFenced = pending.epoch < executor.highestToken && disabledGuard !== "executor-rejects-lower-token";
    if (isFenced || pending.run <= executor.stopped || executor.run > 0) {
        return next;
    }
    const started = changeExecutor(next, pending.executor, {
        run: pending.run,
        leaseToken: pending.epoch,
        highestToken: Math.max(executor.highestToken, pending.epoch),
    });
    return state.isEndStored ? { ...started, broken: ["a run started after the end was stored"] } : started;
};

const inspectExecutor = (state: RunState, process: ProcessIndex, index: ExecutorIndex): RunState => {
    const scheduler = state.schedulers[process];
    const executor = state.executors[index];
    if (executor.highestToken > scheduler.epoch) {
        return changeScheduler(state, process, { epoch: 0 });
    }
    const seen = changeExecutor(state, index, {
        highestToken: scheduler.epoch,
        leaseToken: scheduler.epoch,
    });
    const uninspected = scheduler.uninspected.filter(other => other !== index);
    return changeScheduler(seen, process, { uninspected, ...inspectedStatus(scheduler, executor, index) });
};

const inspectedStatus = (scheduler: Scheduler, executor: Executor, index: ExecutorIndex): Partial<Scheduler> => {
    if (executor.ended || scheduler.taskStatus === "done") {
        return { taskStatus: "done" };
    }
    if (executor.run > 0) {
        return { taskStatus: "running", executor: index, run: executor.run };
    }
    // The run is not listed, so it has ended.
    return scheduler.taskStatus === "running" && scheduler.executor === index
        ? { taskStatus: "free", mustConfirmLease: true }
        : {};
};

const giveUpStart = (state: RunState, process: ProcessIndex, disabledGuard: RunGuard | undefined): RunState =>
    changeScheduler(state, process, { taskStatus: disabledGuard === "settle-unanswered" ? "free" : "unsettled" });

const stopRun = (state: RunState, process: ProcessIndex): RunState => {
    const { executor, epoch, run: startedRun } = state.schedulers[process];
    const { highestToken, run: activeRun, stopped, ended } = state.executors[executor];
    if (highestToken > epoch) {
        return changeScheduler(state, process, { epoch: 0 });
    }
    const next = changeExecutor(state, executor, {
        highestToken: epoch,
        run: activeRun <= startedRun ? 0 : activeRun,
        stopped: Math.max(stopped, startedRun),
    });
    return changeScheduler(next, process, { taskStatus: ended ? "done" : "free" });
};

/**
 * The scheduler gives up the run because the leases that it has granted to the unreachable executor must have expired, and
 * so must its starts. The run has ended only if nobody else has extended its lease.
 */
const expireOwnLease = (state: RunState, process: ProcessIndex): RunState => {
    const { executor: index, epoch } = state.schedulers[process];
    const executor = state.executors[index];
    const pendingStarts = state.pendingStarts.filter(other => other.executor !== index || other.epoch !== epoch);
    const next = changeScheduler({ ...state, pendingStarts }, process, { taskStatus: "free", mustConfirmLease: true });
    return executor.leaseToken === epoch ? changeExecutor(next, index, endedByExpiry) : next;
};

// An end that was not read before the executor's lease expired is discarded, so the task may run again.
const endedByExpiry: Partial<Executor> = { run: 0, ended: false };

const expireLeases = (state: RunState, disabledGuard: RunGuard | undefined): RunState => {
    if (state.predecessorLease === "recent") {
        return { ...state, predecessorLease: "unconfirmed" };
    }
    if (disabledGuard === "stop-without-renewal") {
        return { ...state, predecessorLease: "lapsed" };
    }
    const expireLease = (executor: Executor): Executor =>
        executor.leaseToken < state.epoch ? { ...executor, ...endedByExpiry } : executor;
    const [first, second] = state.executors;
    // A start carries an expiry on the executor's clock, and the executor rejects starts that arrive after it. The starts
    // that the predecessor sent have expired by now.
    const pendingStarts = state.pendingStarts.filter(({ epoch }) => epoch === state.epoch);
    return {
        ...state,
        pendingStarts,
        predecessorLease: "lapsed",
        executors: [expireLease(first), expireLease(second)],
    };
};

/** Returns the state after a step that is enabled in the given one. */
export const applyRunStep = (state: RunState, step: RunStep, disabledGuard: RunGuard | undefined): RunState => {
    switch (step.type) {
        case "take-over":
            return takeOver(state, step.process);
        case "announce":
            return changeScheduler({ ...state, listedInLease: INDEXES }, step.process, { listedInLease: INDEXES });
        case "confirm-lease":
            return changeScheduler(state, step.process, { mustConfirmLease: false });
        case "read-progress":
            return changeScheduler(state, step.process, {
                isProgressStale: false,
                ...(state.isEndStored ? { taskStatus: "done" as const } : {}),
            });
        case "start":
            return startRun(state, step.process, step.executor);
        case "deliver":
            return deliverStart(state, step.index, disabledGuard);
        case "look":
            return inspectExecutor(state, step.process, step.executor);
        case "give-up":
            return giveUpStart(state, step.process, disabledGuard);
        case "expire":
            return expireOwnLease(state, step.process);
        case "stop":
            return stopRun(state, step.process);
        case "finish":
            return changeExecutor(state, step.executor, { run: 0, ended: true });
        case "store":
            return { ...state, isEndStored: true };
        case "acknowledge":
            return changeExecutor(state, step.executor, { ended: false });
        case "cut":
            return changeExecutor(state, step.executor, {
                cutFrom: INDEXES.filter(
                    process => process === step.process || state.executors[step.executor].cutFrom.includes(process),
                ),
            });
        case "heal":
            return changeExecutor(state, step.executor, {
                cutFrom: state.executors[step.executor].cutFrom.filter(process => process !== step.process),
            });
        case "pass-time":
            return expireLeases(state, disabledGuard);
    }
};
