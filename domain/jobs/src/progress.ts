import type { JobState } from "./job.js";

/** Progress of the tasks of one step in one occurrence. */
export interface StepProgress {
    readonly occurrence: number;
    readonly step: number;
    /** Indexes of the tasks that are done, ascending. */
    readonly done: readonly number[];
    /** Failed attempts, only of tasks that have failed at least once. */
    readonly failures: readonly TaskFailures[];
    /** Newest checkpoints, only of tasks that have one. */
    readonly checkpoints: readonly TaskCheckpoint[];
}

/** Count of the failed attempts of the task with this index in its step. */
export interface TaskFailures {
    readonly index: number;
    readonly attempts: number;
    /** Run number of the last failed run; a report on this run or an earlier one is not counted again. */
    readonly lastRun: number;
}

/** The newest stored checkpoint of one task. */
interface TaskCheckpoint {
    readonly index: number;
    readonly checkpoint: string;
}

/** Stored progress of a job. */
export interface Progress {
    readonly state: JobState;
    readonly steps: readonly StepProgress[];
}

/** The progress of a job that was just accepted. */
export const initialProgress: Progress = { state: "queued", steps: [] };
