import type { Brand, PoolName } from "@almondusher/fleet/ids";
import type { NumberRanges } from "@almondusher/fleet/number-ranges";
import type { Queue, Tenant } from "@almondusher/jobs/configuration";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId, JobId, QueueName, StepId, TaskId, TenantName } from "@almondusher/jobs/ids";
import { createUseWindow, type UseWindow } from "@almondusher/shares/use-window";
import type { Job, JobState, Resources, Step } from "@almondusher/jobs/job";
import type { QueueTerms } from "@almondusher/jobs/queue-terms";
import { createRunTimeModel, type RunTimeModel } from "@almondusher/run-times/run-time-model";
import type { RunNumbers } from "./run-numbers.js";
import type { StopSchedule } from "./stop-schedule.js";

/** A task and its known runs. */
export interface Task {
    readonly id: TaskId;
    readonly step: OpenStep;
    readonly index: number;
    done: boolean;
    failures: number;
    /** Numbers of the runs whose failure was counted, so that a repeated report counts once. */
    readonly failedRuns: Set<number>;
    /** Failures of this run and earlier ones were counted, although their numbers are not in `failedRuns`. */
    countedUpToRun: number;
    checkpoint: string;
    /**
     * When a run of the task was last given up without a reported end, in milliseconds of the monotonic clock; a successor
     * may have adopted that run.
     */
    givenUpAtMs: number;
    /**
     * Runs that may be present on an executor, several only of speculative steps and while duplicates are being stopped.
     * Changed only by the functions of `run-table`.
     */
    readonly runs: readonly Run[];
    /** Executors on which the task failed; others are preferred for the next attempt. */
    readonly failedOn: Set<ExecutorId>;
    /** The last choice of an executor on which room is reserved because the task fits nowhere; undefined before the first. */
    reservation: RoomReservation | undefined;
}

/** An executor on which room is reserved for a task. */
interface RoomReservation {
    readonly executor: ExecutorId;
    /** When the executors were last compared, in milliseconds of the monotonic clock. */
    readonly comparedAtMs: number;
}

/** True for a task that is not done and has no run. */
export const isWaiting = ({ done, runs }: Task): boolean => !done && runs.length === 0;

/** A step of one occurrence of a job. */
export interface OpenStep {
    readonly id: StepId;
    readonly job: OpenJob;
    readonly occurrence: number;
    readonly index: number;
    readonly step: Step;
    /** Open tasks in the order of their indexes: all, or of a large step those that are not done and may start soon. */
    readonly tasks: readonly Task[];
    /** Tasks of a large step that are done and not open any more. */
    doneTasks: NumberRanges;
    /** The tasks below this index are open or done. */
    nextTask: number;
    /** Number of tasks that are not done. */
    remaining: number;
    /** Last estimate of the time from the start of this step to the end of the job; undefined before the first one. */
    criticalPath: CriticalPath | undefined;
}

/** Estimated time to the end of a job, in milliseconds. */
interface CriticalPath {
    readonly pathMs: number;
    /** When it was estimated, in milliseconds of the monotonic clock. */
    readonly estimatedAtMs: number;
}

/** Why a run is being stopped. */
export type StopCause =
    | "cancelled"
    | "job-ended"
    | "draining"
    | "evacuation"
    | "duplicate"
    | "unanswered"
    | "preempted"
    | "gang-incomplete";

/** A run that is or may be present on an executor. It occupies resources until its end is known. */
export interface Run extends StopSchedule {
    readonly task: Task;
    readonly number: number;
    readonly executor: Executor;
    phase: RunPhase;
    readonly startedAtMs: number;
    /**
     * Checkpoint that the run resumed from; empty if it certainly started from the beginning. For a run learned from a
     * report: its reported checkpoint, or `unknown`.
     */
    readonly resumedFrom: string;
    /**
     * When the executor confirmed the run by accepting its start, listing it in a report or accepting a stop of it;
     * reports requested later must list the run until it has ended.
     */
    confirmedAtMs: number | undefined;
    /** The executor has accepted or listed the run, so its start request cannot take effect later. */
    isStartDelivered: boolean;
    /**
     * End of the lease in the start request, on the executor's clock: the executor rejects a start that arrives later.
     * Undefined before the request is sent, and for runs learned from a report.
     */
    startValidUntilMs: number | undefined;
    /** When the start request was given up without a response; undefined if it was answered or still may be. */
    unansweredAtMs: number | undefined;
    /** Last reported progress. */
    percent: number;
    /** When the run was learned from a report; undefined for runs that this scheduler started. */
    readonly adoptedAtMs: number | undefined;
    /** When 100% progress was first reported, which means that a long-running task is in service; undefined before. */
    availableSinceMs: number | undefined;
    /** Last reported tail latency in milliseconds of a task that serves users; CPU usage of other tasks. */
    recentLoad: number | undefined;
    /** Speed limit of the run, in percent of its full speed. */
    speedLimitPercent: number;
    stopCause: StopCause | undefined;
}

/**
 * `unsettled` is a start request without a response: the run may or may not exist. `missing` is one that a later report
 * does not list: the request may still arrive.
 */
type RunPhase = "starting" | "running" | "stopping" | "unsettled" | "missing";

/** Identifies a run on its executor, which may have several runs of one task: its task and its number. */
export type RunKey = Brand<"RunKey">;

/** A job with remaining work, or whose final state is not stored yet. */
export interface OpenJob {
    readonly job: Job;
    readonly id: JobId;
    readonly queue: QueueName;
    /** When the job was accepted, in milliseconds of the monotonic clock. */
    readonly arrivedAtMs: number;
    /** When the job was read from the store, in milliseconds of the monotonic clock. */
    readonly readAtMs: number;
    /** Occurrences that are open, by number: due or reported, and not completed. */
    readonly occurrences: Map<number, readonly OpenStep[]>;
    /** Occurrences all of whose tasks are done; always empty for a job without a schedule. */
    completedOccurrences: NumberRanges;
    /** The occurrences below this number are open or completed. */
    nextOccurrence: number;
    /** `queued` until an executor is known to have begun a task. */
    state: JobState;
    /** Accepted before the current pool lease was taken, so the job may have runs that are not in the tables yet. */
    readonly inherited: boolean;
    /** The job has changed since its progress was last stored. */
    dirty: boolean;
    /** Version of the stored progress row. */
    progressVersion: number;
}

/** Last reading of an executor's clock. */
interface ClockReading {
    readonly clockMs: number;
    /** When the reading was received, on this process's monotonic clock. */
    readonly heardAtMs: number;
}

/**
 * When the last requests without a response were sent, in milliseconds of the monotonic clock. Each may still be carried out
 * for a while, also by a later incarnation of the executor, in which its content means something else.
 */
export interface LostRequests {
    /** With the end of a lease: a later incarnation extends the leases of its own runs, up to the longest lease. */
    readonly leaseSentAtMs: number;
    /** With an acknowledgement: a later incarnation discards its own ends with these numbers. */
    readonly acknowledgementSentAtMs: number;
}

/** An executor and the known state of its current incarnation. */
export interface Executor {
    record: ExecutorRecord;
    /** Counts the detected incarnations. */
    incarnation: number;
    /** When the current incarnation was detected, in milliseconds of the monotonic clock. */
    incarnationSinceMs: number;
    /** False after the clock revealed a new incarnation, until a report or registry record gives its start time. */
    isIncarnationStartKnown: boolean;
    /** A run with an unanswered start request was given up; an incarnation not detected yet may report its end. */
    hasUnresolvedStart: boolean;
    readonly id: ExecutorId;
    readonly rack: string | undefined;
    /** Runs that are or may be present. Changed only by the functions of `run-table`. */
    readonly runs: ReadonlyMap<RunKey, Run>;
    orphanedRuns: readonly OrphanedRun[];
    /** Runs that are no longer known, but whose start requests may still reach a later incarnation. */
    undeliveredStarts: readonly Run[];
    /** Runs that were given up since the last call of `takeGivenUpRuns`. */
    givenUpRuns: readonly GivenUpRun[];
    clock: ClockReading | undefined;
    /** Latest end of a run lease that was sent, on the executor's clock. */
    leaseUntilMs: number;
    /** Requests to the current incarnation that got no response and were followed by no answered one. */
    unansweredRequests: LostRequests;
    /** Requests to any incarnation that got no response, though it has answered a later one. */
    lostRequests: LostRequests;
    /** The lost requests to former incarnations, which the current one may still carry out. */
    formerRequests: LostRequests;
    /**
     * The runs of the executor and all ends of runs that it lists have been read since the current pool lease was taken,
     * and since its current incarnation was detected and its last evacuation ended.
     */
    reconciled: boolean;
    /** As `reconciled`, which it outlasts: the end of an evacuation does not change it. */
    inheritedRunsRead: boolean;
    /** A report was applied or a run lease computed since the current pool lease was taken. */
    wasRead: boolean;
    /**
     * The stored row of the pool lease may say that this scheduler has not read the executor. No report is applied before a
     * row that does not say so is stored: the next holder does not wait for what this one would do here.
     */
    isMarkedUnread: boolean;
    /** Replaces `inheritedWaitUntilMs` of the tables if the previous holder had not read the executor. */
    inheritedWaitUntilMs: number | undefined;
    /** The last report listed only some of the run ends, so a run that it does not contain may have ended. */
    hasUnreadEnds: boolean;
    /** Listed in the stored row of the pool lease, so that the next holder reads the executor's runs. */
    listedInLease: boolean;
    reachable: boolean;
    /** When the last answered request was sent to the current incarnation, in milliseconds of the monotonic clock. */
    answeredRequestAtMs: number;
    /** When the last poll that got no answer was sent, in milliseconds of the monotonic clock. */
    unansweredPollSentAtMs: number;
    /** Present in the registry. */
    registered: boolean;
    /** Highest number of a run end that was applied. */
    lastAppliedEnd: number;
    /** Highest number of a run end that is stored, so that the executor may discard it. */
    lastStoredEnd: number;
    /** Highest number of a run end that was acknowledged in an answered request, so that the executor has discarded it. */
    lastAcknowledgedEnd: number;
    /** No runs are started here before this time of the monotonic clock, because runs failed here. */
    backoffUntilMs: number;
    /** Number of consecutive failed runs. */
    failureStreak: number;
    /** Set while the VM is being evacuated for maintenance or a move. */
    evacuation: VmEvacuation | undefined;
}

/** Why a run was given up although its end was not reported. */
export type GiveUpCause = "lease-expired" | "executor-restarted" | "executor-replaced" | "not-listed" | "start-expired";

/** What showed that an executor has restarted under its id. */
export type RestartSource = "registry" | "report" | "clock";

/** A run that was given up although its end was not reported, and what was known of its executor then. */
export interface GivenUpRun {
    readonly run: Run;
    readonly cause: GiveUpCause;
    /** Start of the executor's incarnation, in Unix milliseconds. */
    readonly executorStartedAtMs: number;
    /** Highest number of a run end that the incarnation was told to discard. */
    readonly acknowledgedEnd: number;
    /** What showed a restart; undefined for any other cause. */
    readonly restartSource: RestartSource | undefined;
}

/** A request to evacuate a VM. */
export interface VmEvacuation {
    readonly id: string;
    /** Deadline for tasks that can continue elsewhere, in milliseconds of the monotonic clock. */
    readonly byMs: number;
}

/** An orphaned run: its job or task is finished or unknown. Its executor gets no starts until the run is gone. */
export interface OrphanedRun extends StopSchedule {
    readonly task: TaskId;
    readonly number: number;
}

/** A start request that got no response and may still be carried out. */
export interface UndeliveredStart {
    readonly executor: ExecutorId;
    readonly task: TaskId;
    readonly number: number;
    /** When it was sent, in milliseconds of the monotonic clock. */
    readonly sentAtMs: number;
}

/** In-memory state of the scheduler of one pool. */
export interface PoolTables {
    readonly pool: PoolName;
    readonly jobs: Map<JobId, OpenJob>;
    /** Most recent jobs whose final state is stored. A delayed read of their rows must not open them again. */
    readonly finished: Set<JobId>;
    readonly executors: Map<ExecutorId, Executor>;
    /** Queues of the pool in the configuration in use. The terms of a job are found with `termsOf`. */
    readonly queues: Map<QueueName, Queue>;
    /** Distinct terms under which jobs of the tables were accepted, by their text. */
    readonly acceptedTerms: Map<string, QueueTerms>;
    /** Tenants of the configuration in use; empty if it has none. */
    readonly tenants: Map<TenantName, Tenant>;
    /** What tenants have used lately; not counted if the configuration has none. */
    readonly recentTenantUse: UseWindow;
    /** What the tenants with a cap may use on this pool; nothing if absent. */
    readonly tenantGrants: Map<TenantName, Resources>;
    readonly runTimes: RunTimeModel;
    /** How many times as long a run takes away from its data, or a gang on several racks that should run on one. */
    readonly farFactor: number;
    /** Fencing token of the pool lease. */
    readonly token: number;
    /** Longest run lease that executors grant, in milliseconds. */
    readonly maxLeaseMs: number;
    /** Length of the run leases that holders of the pool lease request, in milliseconds. */
    readonly runLeaseMs: number;
    /** Longest time that an executor takes to stop a run, in milliseconds. */
    readonly stopTimeMs: number;
    readonly runNumbers: RunNumbers;
    /** Starts of earlier holders of the pool lease that may still be carried out, by task. */
    readonly inheritedStarts: Map<TaskId, readonly UndeliveredStart[]>;
    /** Inherited jobs start no runs before this monotonic time, unless the runs of every executor were read. */
    inheritedWaitUntilMs: number;
    /**
     * True once the stored progress has been read after the time from which the previous holder of the pool lease stores
     * no more run ends, and so lets no executor discard one. Until then, inherited jobs start no runs, since a task that
     * is already done could run again.
     */
    isProgressCurrent: boolean;
    /**
     * Latest known time at which this process certainly held the pool lease, in milliseconds of the monotonic clock. What it
     * has learned since may be outdated by what a successor has done.
     */
    leaseHeldAtMs: number;
}

/** Creates the tables of a pool, empty but for the run times that an earlier holder has learned. */
export const createPoolTables = ({
    pool,
    token,
    runNumbers,
    maxLeaseMs,
    runLeaseMs,
    stopTimeMs,
    runTimes = createRunTimeModel(),
    farFactor = 1,
}: Pick<PoolTables, "pool" | "token" | "runNumbers" | "maxLeaseMs" | "runLeaseMs" | "stopTimeMs"> &
    Partial<Pick<PoolTables, "runTimes" | "farFactor">>): PoolTables => ({
    pool,
    maxLeaseMs,
    runLeaseMs,
    stopTimeMs,
    jobs: new Map(),
    finished: new Set(),
    executors: new Map(),
    queues: new Map(),
    acceptedTerms: new Map(),
    tenants: new Map(),
    recentTenantUse: createUseWindow(),
    tenantGrants: new Map(),
    runTimes,
    farFactor,
    token,
    runNumbers,
    inheritedStarts: new Map(),
    inheritedWaitUntilMs: 0,
    isProgressCurrent: false,
    leaseHeldAtMs: Number.NEGATIVE_INFINITY,
});

/** Records that this process certainly held the pool lease at a time of the monotonic clock in milliseconds. */
export const recordLeaseHeld = (tables: PoolTables, heldAtMs: number): void => {
    tables.leaseHeldAtMs = Math.max(tables.leaseHeldAtMs, heldAtMs);
};

/**
 * True if this process certainly held the pool lease at or after a time of the monotonic clock, in milliseconds. What it
 * learned until then is not outdated: a successor reads, or waits for, all runs that this process starts.
 */
export const isLeaseHeldSince = ({ leaseHeldAtMs }: PoolTables, timeMs: number): boolean => timeMs <= leaseHeldAtMs;

/** Steps of all open occurrences of a job. */
export const stepsOf = ({ occurrences }: OpenJob): readonly OpenStep[] =>
    // Nearly all jobs have one occurrence, and each pass lists the steps of every job.
    occurrences.size === 1 ? (occurrences.values().next().value ?? []) : [...occurrences.values()].flat();

/** Finds an open task of a step by its index. */
export const findOpenTask = ({ tasks }: OpenStep, index: number): Task | undefined => {
    const task = tasks[index];
    if (task?.index === index) {
        return task;
    }
    const found = tasks[findPosition(tasks, index)];
    return found?.index === index ? found : undefined;
};

/** Position of the first task whose index is not below the given one, by bisection. */
export const findPosition = (tasks: readonly Task[], index: number): number => {
    let low = 0;
    let high = tasks.length;
    while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if ((tasks[middle] as Task).index < index) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
};

/** Finds an open task by its id; undefined unless its job is open. */
export const findTask = (tables: PoolTables, id: TaskId): Task | undefined => {
    const [jobId, occurrence, step, index] = id.split(".");
    const open = tables.jobs.get(jobId as JobId)?.occurrences.get(Number(occurrence))?.[Number(step)];
    return open === undefined ? undefined : findOpenTask(open, Number(index));
};
