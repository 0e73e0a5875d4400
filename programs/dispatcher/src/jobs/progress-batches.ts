import type { Progress } from "@almondusher/jobs/progress";
import { encodeProgress } from "@almondusher/jobs/stored-rows";
import { isJobEnded, progressOf } from "@almondusher/scheduler/job-progress";
import type { OpenJob } from "@almondusher/scheduler/pool-tables";

/** The progress of a job to be stored. */
export interface ProgressWrite {
    readonly job: OpenJob;
    readonly value: string;
    readonly final: boolean;
    /** The final state of a job that is closed as failed because the store does not accept its progress. */
    readonly isGivenUp: boolean;
}

const MAX_ROWS_PER_TRANSACTION = 40;
// The store takes at most 1 MB in a transaction, in which values are a third longer and each row has its keys twice.
const MAX_VALUE_BYTES_PER_TRANSACTION = 600_000;

/** Encodes the progress of a job, without checkpoints if it is too large with them. */
export const encodeWrite = (
    job: OpenJob,
    { withCheckpoints }: { readonly withCheckpoints: boolean },
): ProgressWrite => {
    const progress = progressOf(job);
    return {
        job,
        value: encodeProgress(withCheckpoints ? progress : withoutCheckpoints(progress)),
        final: isJobEnded(job),
        isGivenUp: false,
    };
};

/** Encodes the final state of a job whose progress the store does not accept; it has no tasks, so the store takes it. */
export const encodeGivenUp = (job: OpenJob): ProgressWrite => ({
    job,
    value: encodeProgress({ state: "failed", steps: [] }),
    final: true,
    isGivenUp: true,
});

const withoutCheckpoints = ({ state, steps }: Progress): Progress => ({
    state,
    steps: steps.map(step => ({ ...step, checkpoints: [] })),
});

/** True if a task of the job has a checkpoint that would be stored. */
export const hasCheckpoints = (job: OpenJob): boolean =>
    progressOf(job).steps.some(({ checkpoints }) => checkpoints.length > 0);

/** Divides writes into transactions that the store accepts by their number of rows and their size. */
export const toBatches = (writes: readonly ProgressWrite[]): readonly (readonly ProgressWrite[])[] => {
    const batches: ProgressWrite[][] = [];
    let bytes = 0;
    writes.forEach(write => {
        const added = Buffer.byteLength(write.value);
        const batch = batches.at(-1);
        if (
            batch === undefined ||
            batch.length >= MAX_ROWS_PER_TRANSACTION ||
            bytes + added > MAX_VALUE_BYTES_PER_TRANSACTION
        ) {
            batches.push([write]);
            bytes = added;
        } else {
            batch.push(write);
            bytes += added;
        }
    });
    return batches;
};
