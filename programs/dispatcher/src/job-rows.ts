import { createHash } from "node:crypto";
import type { PoolName } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import type { Range, RowKey } from "@almondusher/platform-adapter/table-store";

/** Tables of the jobs of a group of pools; one part holds both, so that a transaction can span them. */
export interface JobTables {
    /** Accepted jobs and cancellations; its changes wake the scheduler of the pool. */
    readonly jobs: string;
    /** Progress as the scheduler stores it, and cancellations for readers. */
    readonly progress: string;
    readonly part: string;
}

// The store has at most 100 tables; pools beyond this number share them.
const TABLE_GROUPS = 40;
// Sorts after a job's own key and before any other job's.
const CANCELLATION_SUFFIX = "!";
const RANGE_END_SUFFIX = "~";

/** The tables that hold the jobs of a pool. */
export const jobTablesOf = (pool: PoolName): JobTables => {
    const group = createHash("sha1").update(pool).digest().readUInt32BE(0) % TABLE_GROUPS;
    return { jobs: `jobs-${group}`, progress: `progress-${group}`, part: `jobs-${group}` };
};

/** Row of an accepted job. */
export const jobRow = ({ jobs, part }: JobTables, id: JobId): RowKey => ({ table: jobs, part, key: id });

/** Row of a job's progress. */
export const progressRow = ({ progress, part }: JobTables, id: JobId): RowKey => ({ table: progress, part, key: id });

/** Row that wakes the scheduler for a cancelled job. */
export const cancellationRow = ({ jobs, part }: JobTables, id: JobId): RowKey => ({
    table: jobs,
    part,
    key: id + CANCELLATION_SUFFIX,
});

/** Row that tells readers of a cancelled job. */
export const cancelledProgressRow = ({ progress, part }: JobTables, id: JobId): RowKey => ({
    table: progress,
    part,
    key: id + CANCELLATION_SUFFIX,
});

/** Range of a job's progress and cancellation. */
export const progressRange = ({ progress, part }: JobTables, id: JobId): Range => ({
    table: progress,
    part,
    from: id,
    until: id + RANGE_END_SUFFIX,
});

/** The job of a cancellation's key; undefined for other keys. */
export const cancelledJobId = (key: string): JobId | undefined =>
    key.endsWith(CANCELLATION_SUFFIX) ? (key.slice(0, -CANCELLATION_SUFFIX.length) as JobId) : undefined;
