import type { PoolName } from "@almondusher/fleet/ids";
import type { Queue } from "@almondusher/jobs/configuration";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId, JobId, QueueName, StepId, TaskId } from "@almondusher/jobs/ids";
import type { Job, JobState, Step } from "@almondusher/jobs/job";
import type { RunTimeTable } from "./run-times.js";

/** One task and what is known of its runs. */
export interface Task {
    readonly id: TaskId;
    readonly step: OpenStep;
    readonly index: number;
    done: boolean;
    failures: number;
    /** Highest run whose failure is counted, so that a repeated report counts once. */
    lastFailedRun: number;
    checkpoint: string;
    /** Runs that may be present on an executor; more than one only where copies are allowed. */
    readonly runs: Run[];
    /** Executors on which the task failed, to try others first. */
    readonly failedOn: Set<ExecutorId>;
}

/** A step of one occurrence of a job. */
export interface OpenStep {
    readonly id: StepId;
    readonly job: OpenJob;
    readonly occurrence: number;
    readonly index: number;
    readonly step: Step;
    readonly tasks: readonly Task[];
    /** Tasks that are not done. */
    remaining: number;
}

/** Why a run was told to stop. */
export type StopCause =
    | "cancelled"
    | "job-ended"
    | "draining"
    | "evacuation"
    | "duplicate"
    | "unanswered"
    | "preempted"
    | "gang-incomplete";

/** A run that is or may be present on an executor; it uses room until its end is known. */
export interface Run {
    readonly task: Task;
    readonly number: number;
    readonly executor: Executor;
    phase: RunPhase;
    readonly startedAtMs: number;
    /** Checkpoint that the run began with; empty for none. */
    readonly resumedFrom: string;
    /** When the executor last confirmed a start or stop of the run; reports asked for later must list the run. */
    confirmedAtMs: number | undefined;
    /** Progress as last reported. */
    percent: number;
    /** When the progress was first seen at 100, in milliseconds; undefined before. */
    atWorkSinceMs: number | undefined;
    recentLoad: number | undefined;
    /** Share of its speed that the run was limited to, 0 to 100. */
    pace: number;
    stopCause: StopCause | undefined;
    /** When a stop was last sent. */
    stopSentAtMs: number | undefined;
}

/** `unsettled` is a start without an answer. */
type RunPhase = "starting" | "running" | "stopping" | "unsettled";

/** A job with work left, or with an end that is not stored yet. */
export interface OpenJob {
    readonly job: Job;
    readonly id: JobId;
    readonly queue: QueueName;
    /** Steady time of acceptance in milliseconds. */
    readonly arrivedAtMs: number;
    /** Occurrences that are due, by number. */
    readonly occurrences: Map<number, readonly OpenStep[]>;
    state: JobState;
    started: boolean;
    /** Accepted before this holder's lease, so that runs of it may exist that were not seen. */
    readonly inherited: boolean;
    /**
     * False for a job that was read after the lease may have been lost: a successor does not know that this
     * holder has it, so it starts nothing until a renewal shows that the lease is still held.
     */
    trusted: boolean;
    /** Changed since the last stored progress. */
    dirty: boolean;
    /** Version of the stored progress row. */
    progressVersion: number;
}

/** Clock of an executor as it was last heard. */
interface HeardClock {
    readonly clockMs: number;
    /** Steady time of this process when it was heard. */
    readonly heardAtMs: number;
}

/** An executor as its present life is known. */
export interface Executor {
    record: ExecutorRecord;
    /** Counts the lives that were noticed. */
    life: number;
    /** Steady time at which the present life was noticed, in milliseconds. */
    lifeSinceMs: number;
    /** False after a clock that went back has shown a new life, until a report or record names its start. */
    isLifeNamed: boolean;
    /** A start without an answer was given up, so that a life that is not known yet may have an end of it. */
    hasUncheckedStart: boolean;
    readonly id: ExecutorId;
    readonly rack: string | undefined;
    readonly runs: Map<TaskId, Run>;
    strays: readonly StrayRun[];
    clock: HeardClock | undefined;
    /** Latest end of a lease that was sent, on the executor's clock. */
    leaseUntilMs: number;
    /** Its runs have been read under the current lease. */
    inspected: boolean;
    /** Named in the stored lease row, so that a successor would inspect it. */
    announced: boolean;
    reachable: boolean;
    /** Missing from the registry. */
    registered: boolean;
    /** Highest number of an end that was applied. */
    seenEnd: number;
    /** Highest number of an end that is stored and may be forgotten by the executor. */
    storedEnd: number;
    /** No starts before this steady time, because starts failed there. */
    avoidUntilMs: number;
    /** Consecutive failed runs of different tasks. */
    failureStreak: number;
    /** Set while the VM is to be vacated for maintenance or a move. */
    evacuation: VmEvacuation | undefined;
}

/** An order to vacate a VM. */
export interface VmEvacuation {
    readonly id: string;
    /** Steady time by which tasks that can continue elsewhere have to be gone, in milliseconds. */
    readonly byMs: number;
}

/** A run of a job that is finished or unknown; its executor takes no starts until it is gone. */
export interface StrayRun {
    readonly task: TaskId;
    readonly number: number;
    stopSentAtMs: number | undefined;
}

/** Everything that a scheduler knows of its pool. */
export interface PoolTables {
    readonly pool: PoolName;
    readonly jobs: Map<JobId, OpenJob>;
    /** Jobs whose end is stored, the newest ones; a late reading of their rows must not open them again. */
    readonly finished: Set<JobId>;
    readonly executors: Map<ExecutorId, Executor>;
    readonly queues: Map<QueueName, Queue>;
    readonly runTimes: RunTimeTable;
    /** Fencing token of the lease. */
    readonly token: number;
    /** Longest lease of runs that executors grant, in milliseconds. */
    readonly maxLeaseMs: number;
    /** Runs that were started, for numbering. */
    runCounter: number;
    /** Inherited jobs start nothing before this steady time, unless every announced executor was inspected. */
    inheritedWaitUntilMs: number;
    /**
     * The stored progress was read after the former holder could no longer store an end and let an executor forget
     * it; inherited jobs start nothing before.
     */
    isProgressCurrent: boolean;
}

/** Creates the empty tables of a pool. */
export const createPoolTables = ({
    pool,
    token,
    maxLeaseMs,
}: Pick<PoolTables, "pool" | "token" | "maxLeaseMs">): PoolTables => ({
    pool,
    maxLeaseMs,
    jobs: new Map(),
    finished: new Set(),
    executors: new Map(),
    queues: new Map(),
    runTimes: new Map(),
    token,
    runCounter: 0,
    inheritedWaitUntilMs: 0,
    isProgressCurrent: false,
});

/** The task with an id, if its job is open. */
export const findTask = (tables: PoolTables, id: TaskId): Task | undefined => {
    const [jobId, occurrence, step, index] = id.split(".");
    return tables.jobs.get(jobId as JobId)?.occurrences.get(Number(occurrence))?.[Number(step)]?.tasks[Number(index)];
};

/** All runs that are or may be present. */
export const allRuns = (tables: PoolTables): readonly Run[] =>
    [...tables.executors.values()].flatMap(executor => [...executor.runs.values()]);

/** Removes a run from its task and executor. */
export const forgetRun = (run: Run): void => {
    const { runs } = run.task;
    const at = runs.indexOf(run);
    if (at >= 0) {
        runs.splice(at, 1);
    }
    if (run.executor.runs.get(run.task.id) === run) {
        run.executor.runs.delete(run.task.id);
    }
};
