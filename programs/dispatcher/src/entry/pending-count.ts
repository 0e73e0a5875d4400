import type { VmId } from "@almondusher/fleet/ids";
import type { Queue } from "@almondusher/jobs/configuration";
import type { Row } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import { cancelledJobId, jobTablesOf } from "../jobs/job-rows.js";
import type { LeaseRecord } from "../leases/lease-rows.js";
import { readStoredJob, readStoredProgress } from "../jobs/read-stored-rows.js";
import { readAll, type StorePoint } from "../store/read-all.js";

// Clients may get a count of up to this age.
const MAX_COUNT_AGE_MS = 2000;

/** Number of accepted jobs of a queue that have not started, and how it is known. */
export interface CountedJobs {
    readonly jobs: number;
    /** How long ago the newest counted job can have been accepted, in milliseconds. */
    readonly ageMs: number;
    readonly source: CountSource;
}

type CountSource =
    /** Published in the lease of the pool by its last holder. */
    | { readonly kind: "lease"; readonly holder: VmId | undefined; readonly epoch: number }
    /** The published count and the jobs that were stored after it. */
    | {
          readonly kind: "lease-and-store";
          readonly holder: VmId | undefined;
          readonly epoch: number;
          readonly publishedAgeMs: number;
      }
    /** Counted from the stored jobs. */
    | { readonly kind: "store" };

export interface PendingCountOptions {
    readonly context: Pick<DispatcherContext, "store" | "log" | "metrics">;
    /** Lease of the queue's pool as last read; undefined if it is not known. */
    readonly published: LeaseRecord | undefined;
    readonly queue: Queue;
}

/** Counts the accepted jobs of a queue that have not started; undefined if the store cannot be read. */
export const countPending = async ({
    context,
    published,
    queue,
}: PendingCountOptions): Promise<CountedJobs | undefined> => {
    if (published?.pendingAsOf === undefined) {
        return countStored(context, queue);
    }
    const { holder, epoch, pending, pendingAsOf } = published;
    const jobs = pending.find(count => count.queue === queue.name)?.jobs ?? 0;
    const ageMs = ageOf(context, pendingAsOf);
    if (ageMs <= MAX_COUNT_AGE_MS) {
        return { jobs, ageMs, source: { kind: "lease", holder, epoch } };
    }
    // A lease that was renewed recently may still contain an old count, if its holder is late in reading new jobs. Jobs
    // that have started since then are counted as well, so the sum is never too low.
    const tables = jobTablesOf(queue.pool);
    const changes = await context.store.changes({ table: tables.jobs, after: pendingAsOf.version, waitMs: 0 });
    switch (changes.kind) {
        case "rows":
            return changes.truncated
                ? countStored(context, queue)
                : {
                      jobs: jobs + selectJobs(context, changes.rows, queue).length,
                      ageMs: 0,
                      source: { kind: "lease-and-store", holder, epoch, publishedAgeMs: ageMs },
                  };
        case "history-lost":
            return countStored(context, queue);
        case "failed":
            return undefined;
    }
};

const countStored = async (context: PendingCountOptions["context"], queue: Queue): Promise<CountedJobs | undefined> => {
    const tables = jobTablesOf(queue.pool);
    const jobs = await readAll(context.store, { table: tables.jobs, part: tables.part });
    const progress = await readAll(context.store, { table: tables.progress, part: tables.part });
    if (jobs === undefined || progress === undefined) {
        return undefined;
    }
    const startedIds = new Set(
        progress.rows
            .filter(({ key }) => cancelledJobId(key) === undefined)
            .filter(row => readStoredProgress(context, row)?.state !== "queued")
            .map(({ key }) => key),
    );
    const counted = selectJobs(context, jobs.rows, queue).filter(({ key }) => !startedIds.has(key));
    return { jobs: counted.length, ageMs: ageOf(context, jobs.asOf), source: { kind: "store" } };
};

/** Returns the rows of the queue's jobs, without those that a later row cancels. */
const selectJobs = (context: PendingCountOptions["context"], rows: readonly Row[], queue: Queue): readonly Row[] => {
    const present = rows.filter(({ deleted }) => !deleted);
    const cancelledIds = new Set<string>(present.map(({ key }) => cancelledJobId(key)).filter(id => id !== undefined));
    return present
        .filter(({ key }) => cancelledJobId(key) === undefined && !cancelledIds.has(key))
        .filter(row => readStoredJob(context, row)?.queue === queue.name);
};

const ageOf = ({ store }: PendingCountOptions["context"], { atMs }: StorePoint): number =>
    Math.max(0, Math.round(store.nowMs() - atMs));
