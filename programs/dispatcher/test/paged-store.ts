import { rowBytes } from "@almondusher/platform-adapter/row-bytes";
import type { Range, Row, TableStore } from "@almondusher/platform-adapter/table-store";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

/** What becomes of a call: it is answered, gets no response, or is refused with a temporary error. */
export type CallOutcome = "answered" | "unanswered" | "refused";

/** A store that answers pages of fixed rows, as far as `outcomeOf` lets it. */
export interface PagedStore extends Pick<TableStore, "read"> {
    /** Number of calls so far. */
    readonly calls: () => number;
    /** The largest number of times for which a row was in an answer. */
    readonly mostReadsOfARow: () => number;
}

/** Version of the store, which does not change. */
export const PAGED_STORE_VERSION = 5;

const MAX_ANSWER_BYTES = 1_000_000;

/** Returns the first rows, as many as the store has in one answer at most. */
const cutOff = (rows: readonly Row[], limit: number): readonly Row[] => {
    let bytes = 0;
    const tooLarge = rows.slice(0, limit).findIndex(row => {
        bytes += rowBytes(row);
        return bytes > MAX_ANSWER_BYTES;
    });
    return rows.slice(0, tooLarge === -1 ? limit : tooLarge);
};

/** Creates the store; the rows of each table are in the order of their keys. `outcomeOf` gets the number of the call, from 0. */
export const createPagedStore = (
    rows: readonly Row[],
    outcomeOf: (call: number, range: Range) => CallOutcome,
): PagedStore => {
    const reads = new Map<Row, number>();
    let calls = 0;
    const answer = ({ table, from = "", limit = Number.POSITIVE_INFINITY }: Range): Reading => {
        const found = rows.filter(row => row.table === table && row.key >= from);
        const page = cutOff(found, limit);
        page.forEach(row => reads.set(row, (reads.get(row) ?? 0) + 1));
        return {
            kind: "rows",
            rows: page,
            version: PAGED_STORE_VERSION,
            nowMs: 100,
            truncated: page.length < found.length,
        };
    };
    return {
        calls: () => calls,
        mostReadsOfARow: () => Math.max(0, ...reads.values()),
        read: range => {
            const outcome = outcomeOf(calls++, range);
            switch (outcome) {
                case "answered":
                    return Promise.resolve(answer(range));
                case "unanswered":
                    return Promise.resolve({ kind: "failed", reason: "no answer within 900 ms", unanswered: true });
                case "refused":
                    return Promise.resolve({ kind: "failed", reason: "status 503" });
            }
        },
    };
};
