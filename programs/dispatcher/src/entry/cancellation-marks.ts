/**
 * Limits how many cancellations of unknown jobs are stored. Each costs a write, and two rows until the retention time of finished
 * jobs is over.
 */
export interface CancellationMarks {
    /** True if another one may be stored now. */
    readonly take: () => boolean;
}

export interface CancellationMarksOptions {
    /** Steady clock in milliseconds. */
    readonly monotonicMs: () => number;
}

/** Number of marks that a process may store at once. */
export const MAX_MARKS = 2000;
const MARKS_PER_SECOND = 20;
const MS_PER_SECOND = 1000;

/** Creates a token bucket that is full. */
export const createCancellationMarks = ({ monotonicMs }: CancellationMarksOptions): CancellationMarks => {
    let tokens = MAX_MARKS;
    let filledAtMs = monotonicMs();
    return {
        take: () => {
            const nowMs = monotonicMs();
            tokens = Math.min(MAX_MARKS, tokens + ((nowMs - filledAtMs) / MS_PER_SECOND) * MARKS_PER_SECOND);
            filledAtMs = nowMs;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
    };
};
