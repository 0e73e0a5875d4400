import type { PoolName } from "@almondusher/fleet/ids";
import type { JobId, QueueName, StepId, TaskId } from "./ids.js";

/** Resources of an executor, or the part of them that a task uses. */
export interface Resources {
    /** Thousandths of a core. */
    readonly cpu: number;
    readonly memoryMb: number;
    readonly gpu: number;
}

/** A set of equal tasks of a job. */
export interface Step {
    readonly count: number;
    readonly demand: Resources;
    /** Rough run time of a task as the client declared it. */
    readonly estimateMs: number;
    /** Steps that must be done before this one starts. */
    readonly after: readonly number[];
    readonly checkpointing: boolean;
    /** Tasks run only together and end together. */
    readonly gang: boolean;
    /** Tasks of a gang are slower when they run on more than one rack. */
    readonly sameRack: boolean;
    /** Label that the executor must have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data; other racks are slower. */
    readonly dataRack: string | undefined;
    /** Most tasks of an occurrence of the step on one executor; undefined is no limit. */
    readonly maxPerExecutor: number | undefined;
    /** Copies of a task may run in parallel. */
    readonly speculative: boolean;
    /** Tasks run until the job is cancelled. */
    readonly longRunning: boolean;
    readonly image: string | undefined;
    /** Highest tail latency in milliseconds that users of the task accept. */
    readonly latencyTargetMs: number | undefined;
    /** The task uses processor time that others leave; its demand of it is not counted. */
    readonly backfill: boolean;
    /** Long-running tasks of the step that the system may make unavailable at the same time. */
    readonly disruptionBudget: number | undefined;
}

/** Makes the steps of a job run several times. */
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
    /** The pool that the queue was sent to when the job was accepted. */
    readonly pool: PoolName;
    /** Opaque text for the executors. */
    readonly spec: string;
    readonly steps: readonly Step[];
    readonly schedule: Schedule | undefined;
    /** When the job was accepted, in milliseconds of the store's steady clock. */
    readonly acceptedAtMs: number;
}

/** States of a job as clients see them. */
export const jobStates = ["queued", "running", "completed", "failed", "cancelled"] as const;

/** One of the states. */
export type JobState = (typeof jobStates)[number];

/** Id of a step of one occurrence. */
export const stepIdOf = (job: JobId, occurrence: number, step: number): StepId =>
    `${job}.${occurrence}.${step}` as StepId;

/** Id of a task of one occurrence. */
export const taskIdOf = (step: StepId, index: number): TaskId => `${step}.${index}` as TaskId;

/** Occurrences of a job; 1 for a job without a schedule. */
export const occurrencesOf = (job: Job): number => job.schedule?.occurrences ?? 1;
