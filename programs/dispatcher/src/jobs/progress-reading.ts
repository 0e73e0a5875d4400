import type { JobId } from "@almondusher/jobs/ids";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { mergeProgress } from "@almondusher/scheduler/admit-job";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import { jobTablesOf } from "./job-rows.js";
import { createRangeReading, type RangeReading, type StorePoint } from "../store/read-all.js";
import { readStoredProgress } from "./read-stored-rows.js";

export interface ProgressReadingOptions {
    readonly context: DispatcherContext;
    readonly tables: PoolTables;
    /**
     * State of the store that was read before the jobs of the tables and before their progress; undefined if there is none.
     */
    readonly jobsReadAsOf: () => StorePoint | undefined;
}

/** Brings the progress of the pool's jobs up to date with the store. */
export interface ProgressReading {
    /**
     * Reads and merges what has changed since the jobs, or a complete earlier reading, were read. Resolves to true once all
     * that was stored before the call is merged, and to false if the store failed; the next call goes on.
     */
    readonly read: () => Promise<boolean>;
    /** Must be called when the pages that were read so far no longer count. */
    readonly dropPages: () => void;
    /** Must be called after a call that threw. */
    readonly startOver: () => void;
}

type Source =
    /** The progress up to this version has been merged. */
    { readonly kind: "changes"; readonly after: number } | { readonly kind: "pages"; readonly reading: RangeReading };

// Changes have no pages, so on a narrow link an answer with many of them never arrives.
const MAX_FAILED_CALLS = 2;
// If so many answers may have been cut off, they may all be complete: rows of this holder, and of other pools in the same
// table, are stored all the time.
const ANSWERS_BEFORE_TARGET = 4;

/** Creates the reading: of the changes if the store still has them and answers, of all rows otherwise. */
export const createProgressReading = ({ context, tables, jobsReadAsOf }: ProgressReadingOptions): ProgressReading => {
    const { progress: table, part } = jobTablesOf(tables.pool);
    let source: Source | undefined;
    let failedCalls = 0;
    /** Answers of the current call of `read` that may have been cut off. */
    let openAnswers = 0;
    /** A version of the store from after the beginning of the current call of `read`. */
    let target = Infinity;

    const fromPages = (): Source => ({ kind: "pages", reading: createRangeReading(context.store, { table, part }) });
    const firstSource = (): Source => {
        const asOf = jobsReadAsOf();
        return asOf === undefined ? fromPages() : { kind: "changes", after: asOf.version };
    };
    const merge = (row: Row): void => {
        const openJob = row.deleted ? undefined : tables.jobs.get(row.key as JobId);
        const progress = openJob === undefined ? undefined : readStoredProgress(context, row);
        if (openJob !== undefined && progress !== undefined) {
            mergeProgress(tables, openJob, { progress, version: row.version });
        }
    };
    const readPages = async (reading: RangeReading): Promise<boolean> => {
        const stored = await reading.read();
        if (stored === undefined) {
            return false;
        }
        stored.rows.forEach(merge);
        source = { kind: "changes", after: stored.asOf.version };
        failedCalls = 0;
        return true;
    };
    const readChanges = async (after: number): Promise<boolean> => {
        const changes = await context.store.changes({ table, after, waitMs: 0 });
        switch (changes.kind) {
            case "rows":
                failedCalls = 0;
                changes.rows.forEach(merge);
                source = { kind: "changes", after: changes.version };
                return isComplete(changes) || changes.version >= target ? true : readFurtherChanges();
            case "history-lost":
                source = fromPages();
                return readOn();
            case "failed":
                failedCalls++;
                if (failedCalls >= MAX_FAILED_CALLS) {
                    source = fromPages();
                }
                return false;
        }
    };
    const readFurtherChanges = async (): Promise<boolean> => {
        openAnswers++;
        if (target === Infinity && openAnswers % ANSWERS_BEFORE_TARGET === 0) {
            const newest = await context.store.read({ table, part, limit: 1 });
            target = newest.kind === "rows" ? newest.version : Infinity;
        }
        return readOn();
    };
    const readOn = (): Promise<boolean> => {
        source ??= firstSource();
        switch (source.kind) {
            case "changes":
                return readChanges(source.after);
            case "pages":
                return readPages(source.reading);
        }
    };
    return {
        read: () => {
            openAnswers = 0;
            target = Infinity;
            return readOn();
        },
        dropPages: () => {
            source = source?.kind === "pages" ? fromPages() : source;
        },
        startOver: () => (source = fromPages()),
    };
};

interface Changes {
    readonly rows: readonly Row[];
    readonly version: number;
    readonly truncated: boolean;
}

// An answer that ends with the version of its last row may have been cut off there.
const isComplete = ({ rows, version, truncated }: Changes): boolean => !truncated && rows.at(-1)?.version !== version;
