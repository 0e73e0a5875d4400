import { rowBytes } from "@almondusher/platform-adapter/row-bytes";
import type { Range, Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { createPageSize } from "./page-size.js";

/** A state of the store: it contains all transactions up to the version. */
export interface StorePoint {
    readonly version: number;
    /** Time on the store's clock at which this was its latest version, in milliseconds. */
    readonly atMs: number;
}

/** All rows of a range, and the state of the store from which to follow changes. */
export interface CompleteRange {
    readonly rows: readonly Row[];
    readonly asOf: StorePoint;
}

const MAX_ATTEMPTS = 3;

const bytesOf = (rows: readonly Row[]): number => rows.reduce((sum, row) => sum + rowBytes(row), 0);

/** Reads the pages of a range one after another, and keeps those that it has read. */
export interface RangeReading {
    /**
     * Reads the rest of the range; undefined if a page could not be read. The next call goes on after the last row that was
     * read, so a store that answers some of the calls is read to the end.
     */
    readonly read: () => Promise<CompleteRange | undefined>;
}

/**
 * Creates the reading of a range. Rows that change after their page was read are missing in the result or outdated, however
 * long the reading takes: the changes since the version of the first page contain them.
 */
export const createRangeReading = (store: Pick<TableStore, "read">, range: Range): RangeReading => {
    const rows: Row[] = [];
    const pageSize = createPageSize();
    let asOf: StorePoint | undefined;
    let from = range.from;
    let complete: CompleteRange | undefined;

    const read = async (): Promise<CompleteRange | undefined> => {
        let failures = 0;
        while (complete === undefined) {
            const limit = pageSize.rows();
            const reading = await store.read({ ...range, limit, ...(from === undefined ? {} : { from }) });
            // On a narrow link a full page may take longer than the time limit of a call, each time.
            if (reading.kind === "failed" && reading.unanswered === true) {
                pageSize.lost();
                failures++;
                if (failures < MAX_ATTEMPTS) {
                    continue;
                }
            }
            if (reading.kind !== "rows") {
                return undefined;
            }
            // The first page may lack changes made while later pages are read, so the feed has to start at its version.
            asOf ??= { version: reading.version, atMs: reading.nowMs };
            rows.push(...reading.rows);
            const last = reading.rows.at(-1);
            if (!reading.truncated) {
                complete = { rows, asOf };
            } else if (last === undefined) {
                // The next page cannot be found without a row that can be read; one of another size may have such a row.
                pageSize.lost();
                return undefined;
            } else {
                // The smallest key that is greater than the last one.
                from = `${last.key}\u0000`;
                pageSize.answered({ rows: reading.rows.length, bytes: bytesOf(reading.rows) });
                failures = 0;
            }
        }
        return complete;
    };
    return { read };
};

/** Reads of a store, and when the last page was read. */
export interface WatchedPages {
    readonly store: Pick<TableStore, "read">;
    /** Monotonic time of the last answer to a read, in milliseconds; infinitely early if there was none. */
    readonly readAtMs: () => number;
}

/** Creates a store that notes when its reads are answered. */
export const watchPages = ({
    store,
    monotonicMs,
}: {
    readonly store: Pick<TableStore, "read">;
    readonly monotonicMs: () => number;
}): WatchedPages => {
    let readAtMs = Number.NEGATIVE_INFINITY;
    return {
        readAtMs: () => readAtMs,
        store: {
            read: async range => {
                const reading = await store.read(range);
                readAtMs = reading.kind === "rows" ? monotonicMs() : readAtMs;
                return reading;
            },
        },
    };
};

/** Reads all pages of a range; undefined if the store failed or the range cannot be read to its end. */
export const readAll = (store: Pick<TableStore, "read">, range: Range): Promise<CompleteRange | undefined> =>
    createRangeReading(store, range).read();
