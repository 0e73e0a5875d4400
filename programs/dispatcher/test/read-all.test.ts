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
