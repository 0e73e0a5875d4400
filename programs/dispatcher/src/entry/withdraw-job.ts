import type { OpenJob } from "@almondusher/scheduler/pool-tables";
import type { Row, RowKey } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import {
    CANCELLATION_VALUE,
    cancellationRow,
    cancelledProgressRow,
    progressRow,
    type JobTables,
} from "../jobs/job-rows.js";

/** Outcome of an attempt to withdraw a job; `failed` may have been applied and can be tried again. */
export type Withdrawal =
    { readonly kind: "withdrawn" | "failed" } | { readonly kind: "rejected"; readonly reason: string };

/**
 * Stores the rows of a cancellation of a job whose progress row the store accepts in no form. With them no holder of the
 * pool's lease starts a task of the job.
 */
export const withdrawJob = async (
    { store }: Pick<DispatcherContext, "store">,
    tables: JobTables,
    job: OpenJob,
): Promise<Withdrawal> => {
    const rows = [cancellationRow(tables, job.id), cancelledProgressRow(tables, job.id)];
    const commit = await store.transact({
        // A later holder may have stored progress of the job.
        expect: [
            { ...progressRow(tables, job.id), version: job.progressVersion },
            ...rows.map(row => ({ ...row, version: 0 })),
        ],
        writes: rows.map(row => ({ ...row, value: CANCELLATION_VALUE })),
    });
    switch (commit.kind) {
        case "committed":
            return { kind: "withdrawn" };
        case "conflict":
            return { kind: rows.every(row => isStored(row, commit.rows)) ? "withdrawn" : "failed" };
        case "rejected":
            return commit;
        case "not-run":
        case "unknown":
            return { kind: "failed" };
    }
};

const isStored = ({ table, key }: RowKey, rows: readonly Row[]): boolean =>
    rows.some(row => row.table === table && row.key === key && row.version > 0);
