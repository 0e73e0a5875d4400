import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as turn, setTimeout as sleep } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import { initialProgress, type Progress } from "@almondusher/jobs/progress";
import { encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { jobTablesOf } from "../src/jobs/job-rows.js";
import { createPassThrottle } from "../src/pool/pass-throttle.js";
import { createProgressReload } from "../src/jobs/reload-progress.js";
import { POOL, addInheritedJob, emptyTables } from "./fixture.js";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

const TABLES = jobTablesOf(POOL);
const FIRST = toId<JobId>("0000000000000001");
const SECOND = toId<JobId>("0000000000000002");
const TASKS = 2;
const FIRST_TASK_DONE: Progress = {
    state: "running",
    steps: [{ occurrence: 0, step: 0, done: [0], failures: [], checkpoints: [] }],
};

const rowOf = (key: string, value: string): Row => ({
    table: TABLES.progress,
    part: TABLES.part,
    key,
    value,
    version: 2,
    deleted: false,
});

const pageOf = (rows: readonly Row[]): Reading => ({ kind: "rows", rows, version: 2, nowMs: 0, truncated: false });

/** The tables of a new holder with two inherited jobs, after each of the answers was read. */
const reload = async (answers: readonly (() => Promise<Reading>)[]): Promise<PoolTables> => {
    const tables = emptyTables();
    [FIRST, SECOND].forEach(id => addInheritedJob(tables, id, TASKS));
    const remaining = [...answers];
    const request = createProgressReload({
        context: {
            store: { read: () => remaining.shift()?.() ?? assert.fail("more reads than answers") },
            log: () => undefined,
            metrics: { count: () => undefined },
            monotonicMs: () => 0,
        } as unknown as DispatcherContext,
        tables,
        jobsReadAsOf: () => undefined,
        reloaded: () => undefined,
    });
    while (remaining.length > 0) {
        assert.equal(tables.isProgressCurrent, false, "the progress counts as read");
        request();
        await turn();
    }
    return tables;
};

const remainingOf = (tables: PoolTables, id: JobId): number | undefined =>
    tables.jobs.get(id)?.occurrences.get(0)?.[0]?.remaining;

test("inherited jobs wait no longer than the reading of their progress fails", async () => {
    const rows = [rowOf(FIRST, encodeProgress(FIRST_TASK_DONE)), rowOf(SECOND, encodeProgress(initialProgress))];
    const tables = await reload([
        () => Promise.resolve({ kind: "history-lost" }),
        () => Promise.reject(new Error("the call fails in this process")),
        () => Promise.resolve(pageOf(rows)),
    ]);
    assert.ok(tables.isProgressCurrent);
    assert.equal(remainingOf(tables, FIRST), 1);
});

test("a malformed row of progress and one that is missing do not keep the inherited jobs waiting", async () => {
    const tables = await reload([() => Promise.resolve(pageOf([rowOf(FIRST, '{"format":1}')]))]);
    assert.ok(tables.isProgressCurrent);
    assert.equal(remainingOf(tables, FIRST), 2);
    assert.equal(remainingOf(tables, SECOND), 2);
});

test("the progress of a job that was closed meanwhile is skipped", async () => {
    const other = toId<JobId>("0000000000000003");
    const rows = [rowOf(other, encodeProgress(FIRST_TASK_DONE)), rowOf(FIRST, encodeProgress(FIRST_TASK_DONE))];
    const tables = await reload([() => Promise.resolve(pageOf(rows))]);
    assert.ok(tables.isProgressCurrent);
    assert.equal(remainingOf(tables, FIRST), 1);
});

// The calls of all processes are limited, and refused ones count: each attempt without a pause would cause the next refusal.
test("progress is not read again without a pause while the store refuses all calls", async () => {
    const minPauseMs = 50;
    const observedForMs = 1000;
    let reads = 0;
    let active = true;
    const throttle = createPassThrottle({
        pass: () => {
            if (active) {
                request();
            }
        },
        monotonicMs: () => performance.now(),
        after: (waitMs, callback) => void setTimeout(callback, waitMs),
    });
    const request = createProgressReload({
        context: {
            store: {
                read: () => {
                    reads++;
                    return Promise.resolve({ kind: "failed", reason: "status 429" });
                },
            },
            monotonicMs: () => performance.now(),
        } as unknown as DispatcherContext,
        tables: emptyTables(),
        jobsReadAsOf: () => undefined,
        reloaded: throttle.request,
    });
    throttle.request();
    await sleep(observedForMs);
    active = false;
    assert.ok(reads <= observedForMs / minPauseMs, `${reads} reads in ${observedForMs} ms`);
});
