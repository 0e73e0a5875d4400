import type { VmId } from "@almondusher/fleet/ids";
import type { QueueMatch } from "@almondusher/jobs/configuration";
import { decodeJob, decodeProgress } from "@almondusher/jobs/stored-rows";
import type { DispatcherContext } from "./dispatcher-context.js";
import { cancelledJobId, jobTablesOf } from "./job-rows.js";
import type { LeaseManager } from "./lease-manager.js";
import { readAll } from "./read-all.js";

// Clients may get a count of up to this age.
const MAX_COUNT_AGE_MS = 1500;

/** Number of accepted jobs of a queue that have not started, and how it is known. */
export interface CountedJobs {
    readonly jobs: number;
    readonly source: CountSource;
}

type CountSource =
    /** Published by the scheduler of the pool. */
    | { readonly kind: "lease"; readonly holder: VmId; readonly epoch: number }
    /** Counted from the stored jobs. */
    | { readonly kind: "store" };

/** Counts the accepted jobs of a queue that have not started; undefined if the store cannot be read. */
export const countPending = async (
    context: DispatcherContext,
    leases: LeaseManager,
    { queue }: QueueMatch,
): Promise<CountedJobs | undefined> => {
    const lease = leases.freshRecord({ kind: "pool", pool: queue.pool }, MAX_COUNT_AGE_MS);
    if (lease?.holder !== undefined) {
        const jobs = lease.pending.find(count => count.queue === queue.name)?.jobs ?? 0;
        return { jobs, source: { kind: "lease", holder: lease.holder, epoch: lease.epoch } };
    }
    // No process is known to schedule the pool at present, so its stored jobs are counted.
    const tables = jobTablesOf(queue.pool);
    const jobs = await readAll(context.store, { table: tables.jobs, part: tables.part });
    const progress = await readAll(context.store, { table: tables.progress, part: tables.part });
    if (jobs === undefined || progress === undefined) {
        return undefined;
    }
    const queuedIds = new Set(
        progress.rows
            .filter(({ key }) => cancelledJobId(key) === undefined)
            .filter(({ value }) => decodeProgress(value).state === "queued")
            .map(({ key }) => key),
    );
    const counted = jobs.rows
        .filter(({ key }) => queuedIds.has(key))
        .filter(({ value }) => decodeJob(value).queue === queue.name);
    return { jobs: counted.length, source: { kind: "store" } };
};
