import type { QueueMatch } from "@almondusher/jobs/configuration";
import { decodeJob, decodeProgress } from "@almondusher/jobs/stored-rows";
import type { DispatcherContext } from "./dispatcher-context.js";
import { cancelledJob, jobTablesOf } from "./job-rows.js";
import type { LeaseKeeper } from "./lease-keeper.js";
import { readAll } from "./read-all.js";

// Clients may see a count of this age.
const FRESH_MS = 1500;

/** Accepted jobs of a queue that have not started; undefined if the store cannot be read. */
export const countPending = async (
    context: DispatcherContext,
    keeper: LeaseKeeper,
    { queue }: QueueMatch,
): Promise<number | undefined> => {
    const lease = keeper.current({ kind: "pool", pool: queue.pool }, FRESH_MS);
    if (lease?.holder !== undefined) {
        return lease.pending.find(count => count.queue === queue.name)?.jobs ?? 0;
    }
    // Nobody schedules the pool now, so its stored jobs are counted.
    const tables = jobTablesOf(queue.pool);
    const jobs = await readAll(context.store, { table: tables.jobs, part: tables.part });
    const progress = await readAll(context.store, { table: tables.progress, part: tables.part });
    if (jobs === undefined || progress === undefined) {
        return undefined;
    }
    const waiting = new Set(
        progress.rows
            .filter(({ key }) => cancelledJob(key) === undefined)
            .filter(({ value }) => decodeProgress(value).state === "queued")
            .map(({ key }) => key),
    );
    return jobs.rows.filter(({ key }) => waiting.has(key)).filter(({ value }) => decodeJob(value).queue === queue.name)
        .length;
};
