import assert from "node:assert/strict";
import { test } from "node:test";
import type { Range, Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { readAll } from "../src/read-all.js";

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
