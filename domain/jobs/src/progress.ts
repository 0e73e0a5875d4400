import type { JobState } from "./job.js";

/** What has happened to the tasks of a step. */
export interface StepProgress {
    readonly occurrence: number;
    readonly step: number;
    /** Indexes of the done tasks, ascending. */
    readonly done: readonly number[];
    /** Failed attempts by task index, only for tasks that failed. */
    readonly failures: readonly TaskFailures[];
    /** Newest checkpoints by task index, only for tasks that have one. */
    readonly checkpoints: readonly TaskCheckpoint[];
}

/** Failed attempts of one task. */
export interface TaskFailures {
    readonly index: number;
    readonly attempts: number;
    /** Number of the last run that is counted. */
    readonly lastRun: number;
}

/** The newest stored checkpoint of one task. */
interface TaskCheckpoint {
    readonly index: number;
    readonly checkpoint: string;
}

/** What is stored about the execution of a job. */
export interface Progress {
    readonly state: JobState;
    readonly steps: readonly StepProgress[];
}

/** The progress of a job that was just accepted. */
export const initialProgress: Progress = { state: "queued", steps: [] };
