import { createHash } from "node:crypto";
import type { PoolName } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import type { Range, RowKey } from "@almondusher/platform-adapter/table-store";

/** Tables for the jobs of a group of pools. Both use the same partition, so that a transaction can span them. */
export interface JobTables {
    /** Table of accepted jobs and of cancellations; pool schedulers follow its changes. */
    readonly jobs: string;
    /** Table of the progress that schedulers store, and of the cancellations that readers of a job's state look up. */
    readonly progress: string;
    /** Partition of both tables. */
    readonly part: string;
}

// The store allows at most 100 tables, so pools share the tables of 40 groups.
const TABLE_GROUPS = 40;
// All job IDs have the same length, so an ID with one of these suffixes sorts after the job's own key and before the key
// of the next job. The end of the range sorts after the cancellation.
const CANCELLATION_SUFFIX = "!";
const RANGE_END_SUFFIX = "~";

/** Value of both rows of the cancellation of an accepted job. */
export const CANCELLATION_VALUE = "{}";

/** Returns the tables that hold the jobs of a pool. */
export const jobTablesOf = (pool: PoolName): JobTables => {
    const group = createHash("sha1").update(pool).digest().readUInt32BE(0) % TABLE_GROUPS;
    return { jobs: `jobs-${group}`, progress: `progress-${group}`, part: `jobs-${group}` };
};

/** Returns the key of an accepted job's row. */
export const jobRow = ({ jobs, part }: JobTables, id: JobId): RowKey => ({ table: jobs, part, key: id });

/** Returns the key of a job's progress row. */
export const progressRow = ({ progress, part }: JobTables, id: JobId): RowKey => ({ table: progress, part, key: id });

/** Returns the key of the row that notifies the scheduler of a cancelled job. */
export const cancellationRow = ({ jobs, part }: JobTables, id: JobId): RowKey => ({
    table: jobs,
    part,
    key: id + CANCELLATION_SUFFIX,
});

/** Returns the key of the row that shows a cancelled job to readers of its state. */
export const cancelledProgressRow = ({ progress, part }: JobTables, id: JobId): RowKey => ({
    table: progress,
    part,
    key: id + CANCELLATION_SUFFIX,
});

/** Returns the range that contains a job's progress and its cancellation. */
export const progressRange = ({ progress, part }: JobTables, id: JobId): Range => ({
    table: progress,
    part,
    from: id,
    until: id + RANGE_END_SUFFIX,
});

/** Returns the ID of the job that a cancellation key belongs to; undefined for other keys. */
export const cancelledJobId = (key: string): JobId | undefined =>
    key.endsWith(CANCELLATION_SUFFIX) ? (key.slice(0, -CANCELLATION_SUFFIX.length) as JobId) : undefined;
