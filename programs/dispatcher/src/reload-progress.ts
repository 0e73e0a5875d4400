import type { JobId } from "@almondusher/jobs/ids";
import { mergeProgress } from "@almondusher/scheduler/admit-job";
import { areInheritedRunsKnown } from "@almondusher/scheduler/inherited-runs";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import { createErrorReporter } from "./contain-errors.js";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import { jobTablesOf } from "./job-rows.js";
import { readStoredProgress } from "./read-stored-rows.js";
import { createRangeReading, type RangeReading } from "./read-all.js";

export interface ProgressReloadOptions {
    readonly context: DispatcherContext;
    readonly tables: PoolTables;
    /** Called after each attempt. */
    readonly reloaded: () => void;
}

const RETRY_DELAY_MS = 60;

/**
 * Returns a function that reads the progress of the pool's jobs again after a takeover, once the inherited runs are known.
 * Between the first read and the first report of an executor, the previous scheduler may have stored a run end and
 * acknowledged it, so that the executor no longer reports it.
 */
export const createProgressReload = ({ context, tables, reloaded }: ProgressReloadOptions): (() => void) => {
    const reportError = createErrorReporter({ context, part: "progress-reload" });
    let isReading = false;
    let reading: RangeReading | undefined;
    const areRunsKnown = (): boolean => areInheritedRunsKnown(tables, context.monotonicMs());
    return () => {
        if (tables.isProgressCurrent) {
            return;
        }
        if (!areRunsKnown()) {
            // The previous scheduler may store further ends, so pages that were read before do not count.
            reading = undefined;
            return;
        }
        if (isReading) {
            return;
        }
        isReading = true;
        const attempted = (reading ??= createProgressReading(context, tables));
        void readProgress({ context, tables, reading: attempted })
            .catch((error: unknown) => {
                reportError(error);
                reading = undefined;
                return false;
            })
            .then(async isRead => {
                const haveRunsStayedKnown = reading === attempted && areRunsKnown();
                reading = haveRunsStayedKnown ? reading : undefined;
                tables.isProgressCurrent = isRead && haveRunsStayedKnown;
                if (!isRead) {
                    await sleep(RETRY_DELAY_MS);
                }
                isReading = false;
                reloaded();
            });
    };
};

const createProgressReading = ({ store }: DispatcherContext, { pool }: PoolTables): RangeReading => {
    const { progress, part } = jobTablesOf(pool);
    return createRangeReading(store, { table: progress, part });
};

interface ProgressReading extends Pick<ProgressReloadOptions, "context" | "tables"> {
    readonly reading: RangeReading;
}

/** Resolves to false if the store failed. */
const readProgress = async ({ context, tables, reading }: ProgressReading): Promise<boolean> => {
    const stored = await reading.read();
    stored?.rows.forEach(row => {
        const openJob = tables.jobs.get(row.key as JobId);
        const progress = openJob === undefined ? undefined : readStoredProgress(context, row);
        if (openJob !== undefined && progress !== undefined) {
            mergeProgress(tables, openJob, { progress, version: row.version });
        }
    });
    return stored !== undefined;
};
