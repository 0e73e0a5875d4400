/** Rules of the protocol; without any one of them the explorer must find a broken invariant. */
export const runGuards = [
    "executor-rejects-lower-token",
    "inspect-before-start",
    "read-progress-after-inspection",
    "wait-for-unreachable",
    "stop-without-renewal",
    "settle-unanswered",
    "announce-executor",
    "store-end-before-acknowledging",
    "confirm-lease-after-giving-up",
    "confirm-lease-after-restart",
    "take-over-undelivered-starts",
    "stop-again-after-restart",
] as const;
export type RunGuard = (typeof runGuards)[number];

/**
 * Orders of events that the scheduler does not prevent (docs/unproved.md). The protocol leaves them out; with any one of
 * them the explorer must find a broken invariant.
 */
export const runGaps = [
    "unlisted-start-after-restart",
    "same-executor-while-undelivered",
    "elsewhere-while-undelivered",
    "stopped-start-after-restart",
    "stopped-start-on-same-executor",
    "end-lost-before-it-is-stored",
] as const;
export type RunGap = (typeof runGaps)[number];

/** How a protocol of runs differs from the complete one. */
export interface RunVariant {
    readonly disabledGuard?: RunGuard;
    readonly admittedGap?: RunGap;
}

/** Index of a scheduler process. */
export type ProcessIndex = 0 | 1;
/** Index of an executor. */
export type ExecutorIndex = 0 | 1;

/**
 * State of the task as a scheduler knows it. `unsettled` means that a start was not answered and may still take effect
 * until the run is stopped.
 */
type TaskStatus = "free" | "starting" | "unsettled" | "running" | "done";

/** A scheduler process. */
export interface Scheduler {
    /** Fencing token of the lease it acquired last; 0 before that and after it has learned that it lost the lease. */
    readonly epoch: number;
    readonly taskStatus: TaskStatus;
    /** Executor to which `taskStatus` refers. */
    readonly executor: ExecutorIndex;
    /** Number of the run to which `taskStatus` refers. */
    readonly run: number;
    /** Executors on which the predecessor may have started the task and that were not inspected since the takeover. */
    readonly uninspected: readonly ExecutorIndex[];
    /** Progress was read before the predecessor was fenced, so an end that it stored afterwards may be missing. */
    readonly isProgressStale: boolean;
    /** Executors listed in the lease row when this scheduler last wrote or took over the row. */
    readonly listedInLease: readonly ExecutorIndex[];
    /** It gave up a run without a reported end, and has not confirmed since that it holds the lease. */
    readonly mustConfirmLease: boolean;
    /** Number of restarts of each executor that it knows of. */
    readonly knownRestarts: readonly [number, number];
    /** Executors whose restart it noticed, without having confirmed since that it holds the lease. */
    readonly noticedRestarts: readonly ExecutorIndex[];
    /** Starts without a response, its own and those that it took over with the lease row. */
    readonly undeliveredStarts: readonly UndeliveredStart[];
}

/** A start that got no response and may still be carried out. */
export interface UndeliveredStart {
    readonly executor: ExecutorIndex;
    readonly run: number;
    /** Fencing token of its sender. */
    readonly epoch: number;
}

/** An executor as far as the task is concerned. */
export interface Executor {
    /** Highest fencing token received. */
    readonly highestToken: number;
    /** Number of the active run; 0 if none. */
    readonly run: number;
    /** Fencing token of the scheduler that last granted or renewed the executor's lease. */
    readonly leaseToken: number;
    /** Highest run number that was stopped or has ended. Runs up to this number are no longer started. */
    readonly stopped: number;
    readonly restarts: number;
    /** Highest fencing token that it had received before a restart, and has forgotten. */
    readonly forgottenToken: number;
    /** Highest run number that was stopped before a restart that the holder of the lease has not noticed. */
    readonly forgottenStop: number;
    /** The task ended on this executor, and the end was not acknowledged yet. */
    readonly ended: boolean;
    /** Scheduler processes that cannot reach the executor, in ascending order. */
    readonly cutFrom: readonly ProcessIndex[];
}

/** A start request in transit. It may arrive late, and its answer may be lost. */
export interface PendingStart {
    readonly executor: ExecutorIndex;
    readonly run: number;
    readonly epoch: number;
    /** Number of restarts of the executor that the sender knew of. */
    readonly knownRestarts: number;
}

/** State of the protocol. */
export interface RunState {
    /** Fencing token in the stored lease row. */
    readonly epoch: number;
    /** Executors listed in the stored lease row. */
    readonly listedInLease: readonly ExecutorIndex[];
    /** Starts without a response in the stored lease row. */
    readonly undeliveredInLease: readonly UndeliveredStart[];
    /** The end of the task is stored. */
    readonly isEndStored: boolean;
    readonly schedulers: readonly [Scheduler, Scheduler];
    readonly executors: readonly [Executor, Executor];
    readonly pendingStarts: readonly PendingStart[];
    /** Number of starts so far, which is also the last run number given out. */
    readonly starts: number;
    /**
     * Lease of the predecessor since the last takeover. `recent`: it may still send requests. `unconfirmed`: it has
     * stopped because it could not renew its lease, but its requests and runs may remain. `lapsed`: these have expired too.
     */
    readonly predecessorLease: "recent" | "unconfirmed" | "lapsed";
    readonly faults: number;
    /** Violations found when a step was applied. */
    readonly broken: readonly string[];
}

/** A step of a process or of the environment. */
export type RunStep =
    | {
          readonly type:
              | "take-over"
              | "announce"
              | "list-undelivered"
              | "confirm-lease"
              | "read-progress"
              | "give-up"
              | "expire"
              | "stop"
              | "store";
          readonly process: ProcessIndex;
      }
    | {
          readonly type: "start" | "look" | "acknowledge" | "cut" | "heal";
          readonly process: ProcessIndex;
          readonly executor: ExecutorIndex;
      }
    | { readonly type: "deliver"; readonly index: number }
    | { readonly type: "finish" | "restart"; readonly executor: ExecutorIndex }
    | { readonly type: "pass-time" };

/** Faults that count towards the bound of the exploration. */
export const runFaults = ["take-over", "cut", "restart"] as const;
export type RunFault = (typeof runFaults)[number];

/** Bounds of the exploration, and the variant to explore. */
export interface RunOptions extends RunVariant {
    readonly maxFaults: number;
    /** Kinds of faults that occur; all if undefined. */
    readonly faults?: readonly RunFault[];
    readonly maxStarts: number;
}

/** The processes, and the executors. */
export const INDEXES = [0, 1] as const;

const newScheduler: Scheduler = {
    epoch: 0,
    taskStatus: "free",
    executor: 0,
    run: 0,
    uninspected: [],
    isProgressStale: false,
    listedInLease: [0],
    mustConfirmLease: false,
    knownRestarts: [0, 0],
    noticedRestarts: [],
    undeliveredStarts: [],
};
const newExecutor: Executor = {
    highestToken: 0,
    run: 0,
    leaseToken: 0,
    stopped: 0,
    restarts: 0,
    forgottenToken: 0,
    forgottenStop: 0,
    ended: false,
    cutFrom: [],
};

/** Process 0 holds the lease and has listed executor 0 in it. */
export const initialRunState: RunState = {
    epoch: 1,
    listedInLease: [0],
    undeliveredInLease: [],
    isEndStored: false,
    schedulers: [{ ...newScheduler, epoch: 1 }, newScheduler],
    executors: [newExecutor, newExecutor],
    pendingStarts: [],
    starts: 0,
    predecessorLease: "lapsed",
    faults: 0,
    broken: [],
};

/** Returns the pair with one item replaced. */
export const replaceAt = <Item>(pair: readonly [Item, Item], index: 0 | 1, item: Item): readonly [Item, Item] =>
    index === 0 ? [item, pair[1]] : [pair[0], item];

/** Returns the state with one scheduler changed. */
export const changeScheduler = (state: RunState, process: ProcessIndex, change: Partial<Scheduler>): RunState => ({
    ...state,
    schedulers: replaceAt(state.schedulers, process, { ...state.schedulers[process], ...change }),
});

/** Returns the state with one executor changed. */
export const changeExecutor = (state: RunState, executor: ExecutorIndex, change: Partial<Executor>): RunState => ({
    ...state,
    executors: replaceAt(state.executors, executor, { ...state.executors[executor], ...change }),
});
