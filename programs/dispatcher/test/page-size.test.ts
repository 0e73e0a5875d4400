import assert from "node:assert/strict";
import { test } from "node:test";
import { initialProgress } from "@almondusher/jobs/progress";
import { encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Range, Row } from "@almondusher/platform-adapter/table-store";
import { createRangeReading } from "../src/store/read-all.js";
import { createNarrowLink, type NarrowLink } from "./narrow-link.js";
import { createPagedStore, type CallOutcome } from "./paged-store.js";

const RANGE: Range = { table: "t", part: "p" };
/** Progress of a job that has ended or not begun. */
const SMALL_VALUE = encodeProgress(initialProgress);
/** The description of a job with a text of 4,000 bytes. */
const LARGE_VALUE = "x".repeat(4500);
/** The largest value that the store takes. */
const LARGEST_VALUE = "x".repeat(65_536);
/** A takeover reads the progress of the jobs within this time. */
const MAX_PROGRESS_MS = 2000;
/** A holder that has not begun to work by then may have to give its pool to a larger VM (docs/jobs.md, "Placement"). */
const MAX_LOAD_MS = 12_000;
const PAGE_ROWS_FOR_ANY_SIZE = 100;
const MAX_PAGE_ROWS = 500;
const MAX_ATTEMPTS = 1000;

const rowsOf = (values: readonly string[]): readonly Row[] =>
    values.map((value, index) => ({
        ...RANGE,
        key: String(index).padStart(16, "0"),
        value,
        version: 1,
        deleted: false,
    }));

const repeat = (count: number, value: string): readonly string[] => Array.from({ length: count }, () => value);

/** Reads all rows over a narrow link; returns the link, and the limits that were asked for. */
const readOver = async (
    values: readonly string[],
    outcomeOf: (call: number) => CallOutcome = () => "answered",
): Promise<{ readonly link: NarrowLink; readonly limits: readonly number[] }> => {
    const limits: number[] = [];
    const store = createPagedStore(rowsOf(values), (call, { limit = 0 }) => {
        limits.push(limit);
        return outcomeOf(call);
    });
    const link = createNarrowLink(store);
    const reading = createRangeReading(link, RANGE);
    let complete = await reading.read();
    for (let attempts = 1; complete === undefined && attempts < MAX_ATTEMPTS; attempts++) {
        complete = await reading.read();
    }
    assert.equal(complete?.rows.length, values.length);
    assert.equal(store.mostReadsOfARow(), 1);
    return { link, limits };
};

// A holder on such a link read the progress of its pool for more than a second while nothing of the pool started.
test("the progress of 5,000 jobs is read over 10 Mbit/s within the time of a takeover", async () => {
    const { link } = await readOver(repeat(5000, SMALL_VALUE));
    assert.ok(link.tookMs() <= MAX_PROGRESS_MS, `${link.tookMs()} ms`);
});

test("with a tenth of the answers lost, 12,000 states are read before the pool has to be given away", async () => {
    for (const phase of Array.from({ length: 10 }, (unused, index) => index)) {
        const { link } = await readOver(repeat(12_000, SMALL_VALUE), call =>
            call % 10 === phase ? "unanswered" : "answered",
        );
        assert.ok(link.tookMs() <= MAX_LOAD_MS, `${link.tookMs()} ms with call ${phase} of each ten lost`);
    }
});

test("rows of several KB are read in pages that arrive", async () => {
    const { link, limits } = await readOver(repeat(1088, LARGE_VALUE));
    assert.equal(link.lost(), 0);
    assert.ok(Math.min(...limits) >= PAGE_ROWS_FOR_ANY_SIZE, `pages of ${Math.min(...limits)} rows`);
});

test("no page asks for more rows than the store has in an answer", async () => {
    const { limits } = await readOver(repeat(12_000, ""));
    assert.equal(Math.max(...limits), MAX_PAGE_ROWS);
});

// Many small rows must not make pages so large that the large ones behind them never arrive.
test("large rows behind small ones are read, with few answers lost", async () => {
    for (const value of [LARGE_VALUE, LARGEST_VALUE]) {
        const { link } = await readOver([...repeat(3000, SMALL_VALUE), ...repeat(60, value)]);
        assert.ok(link.tookMs() <= MAX_LOAD_MS, `${link.tookMs()} ms for rows of ${value.length} bytes`);
    }
});

test("large pages that get no answer do not keep the smaller ones from being read", async () => {
    const limits: number[] = [];
    let lost = 0;
    const store = createPagedStore(rowsOf(repeat(1900, SMALL_VALUE)), (unusedCall, { limit = 0 }) => {
        limits.push(limit);
        const outcome = limit > PAGE_ROWS_FOR_ANY_SIZE ? "unanswered" : "answered";
        lost += outcome === "unanswered" ? 1 : 0;
        return outcome;
    });
    assert.equal((await createRangeReading(store, RANGE).read())?.rows.length, 1900);
    assert.ok(lost >= 1, "no large page was tried");
    assert.ok(lost <= 3, `${lost} large pages lost`);
});
