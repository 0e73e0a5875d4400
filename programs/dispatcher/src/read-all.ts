import type { Range, Row, TableStore } from "@almondusher/platform-adapter/table-store";

/** All rows of a range, and the version from which changes follow; undefined if the store failed. */
export interface CompleteRange {
    readonly rows: readonly Row[];
    readonly version: number;
}

/** Reads a range page by page. */
export const readAll = async (store: TableStore, range: Range): Promise<CompleteRange | undefined> => {
    const rows: Row[] = [];
    let version: number | undefined;
    let from = range.from;
    for (;;) {
        const reading = await store.read({ ...range, ...(from === undefined ? {} : { from }) });
        if (reading.kind !== "rows") {
            return undefined;
        }
        // Changes after the first page may be missing in it, so the feed has to start there.
        version ??= reading.version;
        rows.push(...reading.rows);
        const last = reading.rows.at(-1);
        if (!reading.truncated || last === undefined) {
            return { rows, version };
        }
        // The smallest key after the last one.
        from = `${last.key}\u0000`;
    }
};
