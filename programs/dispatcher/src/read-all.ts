import type { Range, Row, TableStore } from "@almondusher/platform-adapter/table-store";

/** All rows of a range, and the version from which to follow changes. */
export interface CompleteRange {
    readonly rows: readonly Row[];
    readonly version: number;
}

/** Reads all pages of a range; undefined if the store failed. */
export const readAll = async (store: Pick<TableStore, "read">, range: Range): Promise<CompleteRange | undefined> => {
    const rows: Row[] = [];
    let version: number | undefined;
    let from = range.from;
    for (;;) {
        const reading = await store.read({ ...range, ...(from === undefined ? {} : { from }) });
        if (reading.kind !== "rows") {
            return undefined;
        }
        // The first page may lack changes made while later pages are read, so the feed has to start at its version.
        version ??= reading.version;
        rows.push(...reading.rows);
        const last = reading.rows.at(-1);
        if (!reading.truncated || last === undefined) {
            return { rows, version };
        }
        // The smallest key that is greater than the last one.
        from = `${last.key}\u0000`;
    }
};
