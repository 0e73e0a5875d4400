import type { Range, Row, TableStore } from "@almondusher/platform-adapter/table-store";

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

/** Reads all pages of a range; undefined if the store failed or the range cannot be read to its end. */
export const readAll = async (store: Pick<TableStore, "read">, range: Range): Promise<CompleteRange | undefined> => {
    const rows: Row[] = [];
    let asOf: StorePoint | undefined;
    let from = range.from;
    for (;;) {
        const reading = await store.read({ ...range, ...(from === undefined ? {} : { from }) });
        if (reading.kind !== "rows") {
            return undefined;
        }
        // The first page may lack changes made while later pages are read, so the feed has to start at its version.
        asOf ??= { version: reading.version, atMs: reading.nowMs };
        rows.push(...reading.rows);
        const last = reading.rows.at(-1);
        if (!reading.truncated) {
            return { rows, asOf };
        }
        // The next page cannot be found without a row that can be read.
        if (last === undefined) {
            return undefined;
        }
        // The smallest key that is greater than the last one.
        from = `${last.key}\u0000`;
    }
};
