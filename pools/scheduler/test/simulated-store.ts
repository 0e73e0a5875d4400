import { initialProgress, type Progress } from "@almondusher/jobs/progress";
import type { Step } from "@almondusher/jobs/job";

/** A job as it is stored. */
export interface StoredJob {
    readonly id: string;
    readonly arrivedAtMs: number;
    readonly steps: readonly Step[];
    readonly progress: Progress;
    readonly version: number;
    readonly isCancelled: boolean;
}

/** The stored jobs of a pool. */
export interface SimulatedStore {
    readonly jobs: () => readonly StoredJob[];
    readonly add: (job: Pick<StoredJob, "id" | "arrivedAtMs" | "steps">) => void;
    readonly cancel: (id: string) => void;
    /** Stores the progress of a job and returns its version. */
    readonly writeProgress: (id: string, progress: Progress) => number;
}

/** Creates a store without jobs. */
export const createSimulatedStore = (): SimulatedStore => {
    const rows = new Map<string, StoredJob>();
    const update = (id: string, change: (row: StoredJob) => Partial<StoredJob>): StoredJob => {
        const row = rows.get(id);
        if (row === undefined) {
            throw new Error(`no job ${id}`);
        }
        const updated = { ...row, ...change(row) };
        rows.set(id, updated);
        return updated;
    };
    return {
        jobs: () => [...rows.values()],
        add: job => void rows.set(job.id, { ...job, progress: initialProgress, version: 1, isCancelled: false }),
        cancel: id => {
            if (rows.has(id)) {
                update(id, () => ({ isCancelled: true }));
            }
        },
        writeProgress: (id, progress) => update(id, ({ version }) => ({ progress, version: version + 1 })).version,
    };
};
