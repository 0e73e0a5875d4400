/** Timing of the external advice service of a queue, if such a service chooses the executors for the tasks. */
export interface AdviceTiming {
    readonly decideMs: number;
    readonly perExecutorMs: number;
    readonly validMs: number;
}

/** What a scheduler has to know of a queue in order to run its jobs. */
export interface QueueTerms {
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly maxAttempts: number;
    /** A job is on time if it completes within this multiple of its critical path plus `graceMs`. */
    readonly stretch: number;
    readonly graceMs: number;
    readonly advice: AdviceTiming | undefined;
}

/** Returns only the terms of a queue, to be stored with a job. */
export const toTerms = ({ priority, maxAttempts, stretch, graceMs, advice }: QueueTerms): QueueTerms => ({
    priority,
    maxAttempts,
    stretch,
    graceMs,
    advice,
});
