import type { JobId } from "@almondusher/jobs/ids";
import type { PoolName } from "@almondusher/fleet/ids";
import { repeatWhileActive } from "./contain-errors.js";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import { jobRow, jobTablesOf } from "./job-rows.js";

/**
 * Removes the rows of jobs whose final state is stored, so that a successor reads the open jobs only. A job's state is in its
 * progress row, which stays, and without whose absence a repeated submission is not stored.
 */
export interface FinishedJobRows {
    readonly add: (id: JobId) => void;
}

export interface FinishedJobRowsOptions {
    readonly context: DispatcherContext;
    readonly pool: PoolName;
    readonly isActive: () => boolean;
    /** False while another scheduler may have taken over. */
    readonly mayStore: () => boolean;
}

const REMOVAL_INTERVAL_MS = 1000;
/** Pause between full transactions, which leaves most of a partition's rate of writes to others. */
const FULL_REMOVAL_INTERVAL_MS = 100;
const MAX_ROWS_PER_REMOVAL = 100;

export const createFinishedJobRows = ({
    context,
    pool,
    isActive,
    mayStore,
}: FinishedJobRowsOptions): FinishedJobRows => {
    const tables = jobTablesOf(pool);
    const finished = new Set<JobId>();
    const removeNext = async (): Promise<void> => {
        const ids = [...finished].slice(0, MAX_ROWS_PER_REMOVAL);
        if (ids.length === 0 || !mayStore()) {
            return;
        }
        const { kind } = await context.store.transact({
            expect: [],
            writes: [],
            removals: ids.map(id => jobRow(tables, id)),
        });
        if (kind === "committed") {
            ids.forEach(id => finished.delete(id));
        } else {
            context.metrics.count("finished_job_removals_failed");
        }
    };
    void repeatWhileActive({
        context,
        part: "finished-job-rows",
        isActive,
        step: async () => {
            await sleep(finished.size > MAX_ROWS_PER_REMOVAL ? FULL_REMOVAL_INTERVAL_MS : REMOVAL_INTERVAL_MS);
            if (isActive()) {
                await removeNext();
            }
        },
    });
    return { add: id => finished.add(id) };
};
