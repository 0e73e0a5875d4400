import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { initialProgress } from "@almondusher/jobs/progress";
import { encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row } from "@almondusher/platform-adapter/table-store";
import type { Executor, PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { jobTablesOf } from "../src/jobs/job-rows.js";
import { createProgressReload } from "../src/jobs/reload-progress.js";
import { emptyTables, POOL } from "./fixture.js";
import { createPagedStore, type CallOutcome, type PagedStore } from "./paged-store.js";

const TABLES = jobTablesOf(POOL);
const JOBS = 1900;
const MAX_PASSES = 2000;

const progressRows: readonly Row[] = Array.from({ length: JOBS }, (unused, index) => ({
    table: TABLES.progress,
    part: TABLES.part,
    key: String(index).padStart(4, "0"),
    value: encodeProgress(initialProgress),
    version: 1,
    deleted: false,
}));

const storeOf = (outcomeOf: (call: number) => CallOutcome): PagedStore => createPagedStore(progressRows, outcomeOf);

/** Returns a function that makes one pass of the scheduler, and waits for the attempt that it makes. */
const passesOf = (store: PagedStore, tables: PoolTables): (() => Promise<void>) => {
    let attempts = 0;
    const reload = createProgressReload({
        context: { store, monotonicMs: () => 0 } as unknown as DispatcherContext,
        tables,
        jobsReadAsOf: () => undefined,
        reloaded: () => attempts++,
    });
    return async () => {
        const before = attempts;
        const callsBefore = store.calls();
        reload();
        while (store.calls() > callsBefore && attempts === before) {
            await nextTurn();
        }
    };
};

// Tasks of jobs from before a takeover are not started before their progress is read for the second time.
test("progress is read again although each page fails as often as it is tried at once, and no row twice", async () => {
    const tables = emptyTables();
    const store = storeOf(call => (call % 4 === 3 ? "answered" : "unanswered"));
    const pass = passesOf(store, tables);
    for (let passes = 0; passes < MAX_PASSES && !tables.isProgressCurrent && store.mostReadsOfARow() <= 1; passes++) {
        await pass();
    }
    assert.deepEqual(
        { isProgressCurrent: tables.isProgressCurrent, mostReads: store.mostReadsOfARow() },
        { isProgressCurrent: true, mostReads: 1 },
    );
});

// The former holder may store an end until all executors have been read.
test("progress that was read before inherited runs became unknown again does not count", async () => {
    const tables = emptyTables();
    tables.inheritedWaitUntilMs = Number.POSITIVE_INFINITY;
    const executor = { reconciled: true, reachable: true } as Executor;
    tables.executors.set(toId<ExecutorId>("i-1"), executor);
    const store = storeOf(call => (call === 1 ? "refused" : "answered"));
    const pass = passesOf(store, tables);
    await pass();
    assert.equal(store.calls(), 2, "the first page is answered, the second one refused");
    executor.reconciled = false;
    await pass();
    assert.equal(store.calls(), 2);
    executor.reconciled = true;
    await pass();
    assert.ok(tables.isProgressCurrent);
    assert.equal(store.mostReadsOfARow(), 2, "the first page is read again");
});

test("progress whose last page is under way while inherited runs become unknown does not count", async () => {
    const tables = emptyTables();
    tables.inheritedWaitUntilMs = Number.POSITIVE_INFINITY;
    const executor = { reconciled: true, reachable: true } as Executor;
    tables.executors.set(toId<ExecutorId>("i-1"), executor);
    const store = storeOf(() => {
        executor.reconciled = false;
        return "answered";
    });
    await passesOf(store, tables)();
    assert.equal(tables.isProgressCurrent, false);
});
