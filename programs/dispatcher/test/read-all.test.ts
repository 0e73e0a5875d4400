import assert from "node:assert/strict";
import { test } from "node:test";
import type { Range, Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { createRangeReading, readAll } from "../src/store/read-all.js";
import { createPagedStore, type CallOutcome } from "./paged-store.js";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

const RANGE: Range = { table: "t", part: "p" };

const row = (key: string): Row => ({ ...RANGE, key, value: "", version: 1, deleted: false });

const page = (keys: readonly string[], truncated: boolean, version: number): Reading => ({
    kind: "rows",
    rows: keys.map(row),
    version,
    nowMs: version * 10,
    truncated,
});

const storeOf = (pages: ReadonlyMap<string | undefined, Reading>): Pick<TableStore, "read"> => ({
    read: ({ from }) => Promise.resolve(pages.get(from) ?? { kind: "failed", reason: "no such page" }),
});

test("a range is read to its last page, as of the state of the first one", async () => {
    const store = storeOf(
        new Map([
            [undefined, page(["a", "b"], true, 5)],
            ["b\u0000", page(["c"], false, 6)],
        ]),
    );
    const reading = await readAll(store, RANGE);
    assert.deepEqual(
        reading?.rows.map(({ key }) => key),
        ["a", "b", "c"],
    );
    assert.deepEqual(reading.asOf, { version: 5, atMs: 50 });
});

test("a truncated page without a readable row does not pass for the end of the range", async () => {
    const store = storeOf(
        new Map([
            [undefined, page(["a"], true, 5)],
            ["a\u0000", page([], true, 6)],
        ]),
    );
    assert.equal(await readAll(store, RANGE), undefined);
});

/** A store of rows in which a page with more than `pageRows` rows takes longer than the time limit of a call. */
const narrowStore = (keys: readonly string[], pageRows: number): Pick<TableStore, "read"> => ({
    read: ({ from = "", limit = Number.POSITIVE_INFINITY }) => {
        const found = keys.filter(key => key >= from);
        return Promise.resolve(
            Math.min(found.length, limit) > pageRows
                ? { kind: "failed", reason: "no answer within 900 ms", unanswered: true }
                : page(found.slice(0, limit), found.length > limit, 5),
        );
    },
});

// A scheduler that had taken a pool over on a small VM read none of its jobs, and started no task until it gave the pool up.
test("a range whose full pages take longer than the time limit of a call is read in smaller ones", async () => {
    const keys = Array.from({ length: 480 }, (unused, index) => String(index).padStart(3, "0"));
    const reading = await readAll(narrowStore(keys, 20), RANGE);
    assert.deepEqual(
        reading?.rows.map(({ key }) => key),
        keys,
    );
});

test("a range is not read for ever from a store that does not answer", async () => {
    let reads = 0;
    const silent: Pick<TableStore, "read"> = {
        read: () => {
            reads++;
            return Promise.resolve({ kind: "failed", reason: "no answer within 900 ms", unanswered: true });
        },
    };
    assert.equal(await readAll(silent, RANGE), undefined);
    assert.ok(reads <= 3, `${reads} reads`);
});

/** Time that a read without an answer costs, in milliseconds. */
const LOST_ANSWER_MS = 900;
/** A holder that has not begun to work by then may have to give its pool to a larger VM (docs/jobs.md, "Placement"). */
const MAX_LOAD_MS = 12_000;
/** A job may wait this long with capacity for it. */
const MAX_WAIT_MS = 3000;

const manyKeys = Array.from({ length: 1900 }, (unused, index) => String(index).padStart(4, "0"));

/** Reads 1,900 rows from a store that answers as given; returns the number of calls, and the time of those without answer. */
const readMany = async (outcomeOf: (call: number) => CallOutcome) => {
    let lost = 0;
    const store = createPagedStore(manyKeys.map(row), call => {
        const outcome = outcomeOf(call);
        lost += outcome === "unanswered" ? 1 : 0;
        return outcome;
    });
    const reading = await readAll(store, RANGE);
    assert.equal(reading?.rows.length, manyKeys.length);
    return { calls: store.calls(), lostMs: lost * LOST_ANSWER_MS };
};

test("the rows after two lost answers are read in full pages again", async () => {
    const { calls } = await readMany(call => (call < 2 ? "unanswered" : "answered"));
    assert.ok(calls <= 2 * (manyKeys.length / 100), `${calls} calls`);
});

test("a third of the answers lost does not make a reading of 1,900 rows longer than a tenure must last", async () => {
    const { lostMs } = await readMany(call => (call % 3 === 1 ? "unanswered" : "answered"));
    assert.ok(lostMs <= MAX_LOAD_MS, `${lostMs} ms without an answer`);
});

test("pages that are too large for the link are not tried again and again", async () => {
    for (const pageRows of [60, 20]) {
        const store = narrowStore(manyKeys, pageRows);
        let lost = 0;
        const counting: Pick<TableStore, "read"> = {
            read: async range => {
                const reading = await store.read(range);
                lost += reading.kind === "failed" ? 1 : 0;
                return reading;
            },
        };
        assert.equal((await readAll(counting, RANGE))?.rows.length, manyKeys.length);
        assert.ok(lost * LOST_ANSWER_MS <= MAX_WAIT_MS, `${lost} pages of more than ${pageRows} rows`);
    }
});

test("a page without a readable row, which a larger page has, does not end a reading for good", async () => {
    const unreadable = new Set(manyKeys.slice(0, 10));
    const paged = createPagedStore(manyKeys.map(row), call => (call < 2 ? "unanswered" : "answered"));
    const store: Pick<TableStore, "read"> = {
        read: async range => {
            const reading = await paged.read(range);
            return reading.kind === "rows"
                ? { ...reading, rows: reading.rows.filter(({ key }) => !unreadable.has(key)) }
                : reading;
        },
    };
    const reading = createRangeReading(store, RANGE);
    assert.equal(await reading.read(), undefined, "a page of 5 rows, none of which can be read");
    assert.equal((await reading.read())?.rows.length, manyKeys.length - unreadable.size);
});
