import type { PoolName } from "@almondusher/fleet/ids";
import type { JobId, QueueName, StepId, TaskId, TenantName } from "./ids.js";
import type { QueueTerms } from "./queue-terms.js";

/** Resources of an executor or of a task. */
export interface Resources {
    /** CPU in millicores. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly gpu: number;
}

/** A set of identical tasks of a job. */
export interface Step {
    readonly count: number;
    readonly demand: Resources;
    /** Rough estimate of the run time of a task, declared by the client. */
    readonly estimateMs: number;
    /** Indexes of the steps that must be done before this one starts. */
    readonly after: readonly number[];
    readonly checkpointing: boolean;
    /** Gang scheduling: the tasks run only together and end together. */
    readonly gang: boolean;
    /** True if a gang should run on one rack where possible; its tasks are slower when they run on several racks. */
    readonly sameRack: boolean;
    /** Label that the executor must have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data; other racks are slower. */
    readonly dataRack: string | undefined;
    /** Maximum number of tasks of one occurrence of the step on one executor; undefined for no limit. */
    readonly maxPerExecutor: number | undefined;
    /** Speculative execution: copies of a task may run in parallel. */
    readonly speculative: boolean;
    /** Tasks run until the job is cancelled. */
    readonly longRunning: boolean;
    readonly image: string | undefined;
    /** Maximum acceptable tail latency of the task for its users, in milliseconds. */
    readonly latencyTargetMs: number | undefined;
    /** The task only uses CPU time that other tasks leave idle; its CPU demand is not counted. */
    readonly backfill: boolean;
    /** Maximum number of long-running tasks of the step that the system may make unavailable at the same time. */
    readonly disruptionBudget: number | undefined;
}

/** Schedule of a job whose steps run several times. */
export interface Schedule {
    readonly occurrences: number;
    /** Unix time of the first occurrence in milliseconds. */
    readonly firstRunMs: number;
    readonly intervalMs: number;
}

/** A job as the client submitted it. */
export interface Job {
    readonly id: JobId;
    readonly queue: QueueName;
    /** The pool of the queue when the job was accepted. */
    readonly pool: PoolName;
    /**
     * Terms of the queue when the job was accepted, which apply once the configuration has the queue no more. Undefined for
     * jobs that earlier versions have stored.
     */
    readonly terms: QueueTerms | undefined;
    /** Undefined if the job was submitted without a key, and for jobs that earlier versions have stored. */
    readonly tenant: TenantName | undefined;
    /** Text for the executors; not interpreted by the system. */
    readonly spec: string;
    readonly steps: readonly Step[];
    readonly schedule: Schedule | undefined;
    /** Time at which the job was accepted, in milliseconds of the store's monotonic clock. */
    readonly acceptedAtMs: number;
}

/** Job states that are reported to clients. */
export const jobStates = ["queued", "running", "completed", "failed", "cancelled"] as const;

export type JobState = (typeof jobStates)[number];

/** Id of a step of one occurrence. */
export const stepIdOf = (job: JobId, occurrence: number, step: number): StepId =>
    `${job}.${occurrence}.${step}` as StepId;

/** Id of a task of one occurrence. */
export const taskIdOf = (step: StepId, index: number): TaskId => `${step}.${index}` as TaskId;

/** Maximum number of tasks of all occurrences of a job: a scheduler keeps each of them in memory. */
export const MAX_TASKS = 100_000;

/** Number of tasks of all occurrences of a job. */
export const countTasks = (steps: readonly Pick<Step, "count">[], schedule: Schedule | undefined): number =>
    steps.reduce((sum, { count }) => sum + count, 0) * (schedule?.occurrences ?? 1);

/** True for a step that depends only on earlier ones, so that it does not wait for itself. */
export const dependsOnEarlierSteps = ({ after }: Pick<Step, "after">, index: number): boolean =>
    after.every(earlier => earlier >= 0 && earlier < index);

/** Occurrences of a job; 1 for a job without a schedule. */
export const occurrencesOf = (job: Job): number => job.schedule?.occurrences ?? 1;

/** Number of the first occurrences of a job that are due at a Unix time in milliseconds. */
export const countDueOccurrences = ({ schedule }: Job, wallMs: number): number => {
    if (schedule === undefined) {
        return 1;
    }
    const { occurrences, firstRunMs, intervalMs } = schedule;
    if (wallMs < firstRunMs) {
        return 0;
    }
    return intervalMs > 0 ? Math.min(occurrences, Math.floor((wallMs - firstRunMs) / intervalMs) + 1) : occurrences;
};
