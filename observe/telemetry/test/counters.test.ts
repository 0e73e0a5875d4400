import assert from "node:assert/strict";
import { test } from "node:test";
import type { PoolName, RouteName } from "@almondusher/fleet/ids";
import { toId } from "@almondusher/fleet/ids";
import { count, counterHandle, createCounters, listCounters } from "../src/counters.js";

const valuesOf = (counters: ReturnType<typeof createCounters>) =>
    listCounters(counters).map(({ revision, value }) => ({ revision, value }));

test("keeps increments through a handle whose counter was merged into the older revisions", () => {
    const counters = createCounters({ maxRevisions: 2 });
    const handle = counterHandle(counters, { name: "requests", revision: 1 });
    handle.value += 3;
    [2, 3].forEach(revision => count(counters, { name: "requests", revision }));
    handle.value += 1;
    count(counters, { name: "requests", revision: 1 }, 2);
    assert.deepEqual(valuesOf(counters), [
        { revision: 2, value: 1 },
        { revision: 3, value: 1 },
        { revision: "older", value: 6 },
    ]);
});

test("above the row limit, counts new combinations of labels by name and cause only, with an unchanged total", () => {
    const counters = createCounters({ maxRows: 10 });
    Array.from({ length: 1000 }, (unusedItem, index) => toId<RouteName>(`r${index}`)).forEach(route =>
        count(counters, { name: "failures", route, cause: "deadline" }),
    );
    const rows = listCounters(counters);
    assert.equal(rows.length, 11);
    assert.equal(
        rows.reduce((sum, row) => sum + row.value, 0),
        1000,
    );
});

test("keeps counters with different labels separate", () => {
    const counters = createCounters();
    count(counters, { name: "failures", pool: toId<PoolName>("a") });
    count(counters, { name: "failures", route: toId<RouteName>("a") });
    assert.equal(listCounters(counters).length, 2);
});
