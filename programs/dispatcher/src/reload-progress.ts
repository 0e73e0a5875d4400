import type { JobId } from "@almondusher/jobs/ids";
import { mergeProgress } from "@almondusher/scheduler/admit-job";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "./dispatcher-context.js";
import { jobTablesOf } from "./job-rows.js";
import { readStoredProgress } from "./read-stored-rows.js";
import { readAll } from "./read-all.js";

/**
 * Reads the progress of the pool's jobs again after a takeover; resolves to false if the store failed.
 * Between the first read and the first report of an executor, the previous scheduler may have stored a run end and
 * acknowledged it, so that the executor no longer reports it.
 */
export const reloadProgress = async (context: DispatcherContext, tables: PoolTables): Promise<boolean> => {
    const { progress, part } = jobTablesOf(tables.pool);
    const reading = await readAll(context.store, { table: progress, part });
    reading?.rows.forEach(row => {
        const openJob = tables.jobs.get(row.key as JobId);
        const progress = openJob === undefined ? undefined : readStoredProgress(context, row);
        if (openJob !== undefined && progress !== undefined) {
            mergeProgress(tables, openJob, { progress, version: row.version });
        }
    });
    return reading !== undefined;
};
