import { rowBytes } from "@almondusher/platform-adapter/row-bytes";
import type { Range, TableStore } from "@almondusher/platform-adapter/table-store";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

/** What a link of 10 Mbit/s carries. */
const BYTES_PER_MS = 1250;
const ROUND_TRIP_MS = 30;
const TIME_LIMIT_MS = 900;

/** Reads over a link of 10 Mbit/s with round trips of 30 ms and a time limit of 900 ms, in simulated time. */
export interface NarrowLink extends Pick<TableStore, "read"> {
    /** How long the reads so far took, one after another, in milliseconds. */
    readonly tookMs: () => number;
    /** Number of reads without an answer so far. */
    readonly lost: () => number;
}

const durationMs = (reading: Reading, bytesPerMs: number): number => {
    switch (reading.kind) {
        case "rows":
            return ROUND_TRIP_MS + reading.rows.reduce((sum, row) => sum + rowBytes(row), 0) / bytesPerMs;
        case "failed":
            return reading.unanswered === true ? Number.POSITIVE_INFINITY : ROUND_TRIP_MS;
        case "history-lost":
            return ROUND_TRIP_MS;
    }
};

/** Creates the link to a store. An answer that takes longer than the time limit is lost. */
export const createNarrowLink = (store: Pick<TableStore, "read">, bytesPerMs = BYTES_PER_MS): NarrowLink => {
    let tookMs = 0;
    let lost = 0;
    return {
        tookMs: () => Math.round(tookMs),
        lost: () => lost,
        read: async (range: Range) => {
            const reading = await store.read(range);
            const answerMs = durationMs(reading, bytesPerMs);
            tookMs += Math.min(answerMs, TIME_LIMIT_MS);
            if (answerMs <= TIME_LIMIT_MS) {
                return reading;
            }
            lost++;
            return { kind: "failed", reason: "no answer within 900 ms", unanswered: true };
        },
    };
};
