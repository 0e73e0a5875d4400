import type { NumberRanges } from "@almondusher/fleet/number-ranges";
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
    /** Highest run number of a failed run. */
    readonly lastRun: number;
    /**
     * Run numbers of the failed runs, whose reports are not counted again. Undefined for a long-running task and in rows
     * of earlier versions, where all runs up to `lastRun` are counted.
     */
    readonly runs?: readonly number[] | undefined;
}

/** The newest stored checkpoint of one task. */
interface TaskCheckpoint {
    readonly index: number;
    readonly checkpoint: string;
}

/** Stored progress of a job. */
export interface Progress {
    readonly state: JobState;
    /** Steps of which something is to be stored, apart from those of the completed occurrences. */
    readonly steps: readonly StepProgress[];
    /** Occurrences of a repeated job all of whose tasks are done; none if absent. */
    readonly completedOccurrences?: NumberRanges | undefined;
    /** True for a job that was cancelled before it was accepted, so that a submission that arrives later is not accepted. */
    readonly neverAccepted?: true | undefined;
}

/** True for the progress of a job in a final state, which never changes. */
export const isFinal = ({ state }: Progress): boolean =>
    state === "completed" || state === "failed" || state === "cancelled";

/** The progress of a job that was just accepted. */
export const initialProgress: Progress = { state: "queued", steps: [] };

/** The progress of a job that was cancelled before it was accepted. Earlier versions read it as that of a cancelled job. */
export const neverAcceptedProgress: Progress = { state: "cancelled", steps: [], neverAccepted: true };
