import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as turn, setTimeout as sleep } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import type { ExecutorId, JobId } from "@almondusher/jobs/ids";
import type { Progress } from "@almondusher/jobs/progress";
import { encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import type { Executor } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { jobTablesOf } from "../src/jobs/job-rows.js";
import { createProgressReload } from "../src/jobs/reload-progress.js";
import { POOL, addInheritedJob, emptyTables } from "./fixture.js";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

const TABLES = jobTablesOf(POOL);
const FIRST = toId<JobId>("0000000000000001");
const SECOND = toId<JobId>("0000000000000002");
const OTHER_POOLS = toId<JobId>("0000000000000003");
const TASKS = 3;
const JOBS_READ_AS_OF = { version: 10, atMs: 100 };
const LAST_END_VERSION = 13;
const MANY_ANSWERS = 50;
/** Longer than the pause after a failed attempt. */
const RETRY_MS = 100;

const doneTasks = (...done: readonly number[]): Progress => ({
    state: "running",
    steps: [{ occurrence: 0, step: 0, done, failures: [], checkpoints: [] }],
});

const rowOf = (id: JobId, version: number, progress: Progress): Row => ({
    table: TABLES.progress,
    part: TABLES.part,
    key: id,
    value: encodeProgress(progress),
    version,
    deleted: false,
});

const removed = (row: Row): Row => ({ ...row, value: "", deleted: true });

const answerOf = (version: number, rows: readonly Row[], truncated = false): Reading => ({
    kind: "rows",
    rows,
    version,
    nowMs: 0,
    truncated,
});

const UNANSWERED: Reading = { kind: "failed", reason: "no answer within 900 ms", unanswered: true };
const REFUSED: Reading = { kind: "failed", reason: "status 503" };
const HISTORY_LOST: Reading = { kind: "history-lost" };

type Call = "read" | `changes after ${number}`;

/** A new holder with two inherited jobs, whose calls of the store are answered one after the other as the test says. */
const startHolder = () => {
    const tables = emptyTables();
    [FIRST, SECOND].forEach(id => addInheritedJob(tables, id, TASKS));
    // Its runs are known only once it was read.
    tables.inheritedWaitUntilMs = Number.POSITIVE_INFINITY;
    const executor = { reconciled: true, reachable: true } as Executor;
    tables.executors.set(toId<ExecutorId>("i-1"), executor);
    const calls: Call[] = [];
    const waiting: ((answer: Reading) => void)[] = [];
    const logged: string[] = [];
    const callStore = (call: Call): Promise<Reading> => {
        calls.push(call);
        return new Promise(resolve => waiting.push(resolve));
    };
    const pass = createProgressReload({
        context: {
            store: {
                read: () => callStore("read"),
                changes: ({ after }: { readonly after: number }) => callStore(`changes after ${after}`),
            },
            log: (event: string) => logged.push(event),
            metrics: { count: () => undefined },
            monotonicMs: () => 0,
        } as unknown as DispatcherContext,
        tables,
        jobsReadAsOf: () => JOBS_READ_AS_OF,
        reloaded: () => undefined,
    });
    return {
        tables,
        executor,
        calls,
        logged,
        pass,
        answer: async (answer: Reading): Promise<void> => {
            const resolve = waiting.shift() ?? assert.fail("no call waits");
            resolve(answer);
            await turn();
        },
        remaining: (id: JobId): number | undefined => tables.jobs.get(id)?.occurrences.get(0)?.[0]?.remaining,
    };
};

test("an end that the former holder stored after the jobs were read is known before an inherited job starts", async () => {
    const holder = startHolder();
    holder.pass();
    assert.equal(holder.tables.isProgressCurrent, false);
    await holder.answer(answerOf(20, [rowOf(FIRST, 12, doneTasks(0))]));
    assert.ok(holder.tables.isProgressCurrent);
    assert.equal(holder.remaining(FIRST), TASKS - 1);
    assert.equal(holder.remaining(SECOND), TASKS);
    assert.deepEqual(holder.calls, ["changes after 10"]);
});

test("progress counts as read only after the last of the changes, also if an answer does not say that it is cut off", async () => {
    const holder = startHolder();
    holder.pass();
    await holder.answer(answerOf(13, [rowOf(FIRST, 12, doneTasks(0))], true));
    assert.equal(holder.tables.isProgressCurrent, false);
    await holder.answer(answerOf(15, [rowOf(FIRST, 15, doneTasks(0, 1))]));
    assert.equal(holder.tables.isProgressCurrent, false);
    await holder.answer(answerOf(16, [rowOf(SECOND, 16, doneTasks(2))]));
    assert.equal(holder.tables.isProgressCurrent, false);
    await holder.answer(answerOf(16, []));
    assert.ok(holder.tables.isProgressCurrent);
    assert.equal(holder.remaining(FIRST), TASKS - 2);
    assert.equal(holder.remaining(SECOND), TASKS - 1);
    assert.deepEqual(holder.calls, ["changes after 10", "changes after 13", "changes after 15", "changes after 16"]);
});

test("progress that is stored all the time, also of other pools, does not keep inherited jobs waiting", async () => {
    const holder = startHolder();
    let version = JOBS_READ_AS_OF.version;
    holder.pass();
    for (let answers = 0; answers < MANY_ANSWERS && !holder.tables.isProgressCurrent; answers++) {
        version++;
        const change = rowOf(version === LAST_END_VERSION ? FIRST : OTHER_POOLS, version, doneTasks(0));
        await holder.answer(answerOf(version, holder.calls.at(-1) === "read" ? [] : [change]));
    }
    assert.ok(holder.tables.isProgressCurrent, `not current after ${holder.calls.length} calls`);
    assert.equal(holder.remaining(FIRST), TASKS - 1);
});

test("all rows are read if the store has lost the changes, also after some of them were read", async () => {
    const holder = startHolder();
    holder.pass();
    await holder.answer(answerOf(13, [rowOf(FIRST, 12, doneTasks(0))], true));
    await holder.answer(HISTORY_LOST);
    assert.equal(holder.tables.isProgressCurrent, false);
    await holder.answer(answerOf(30, [rowOf(FIRST, 12, doneTasks(0))], true));
    assert.equal(holder.tables.isProgressCurrent, false, "after the first page");
    await holder.answer(answerOf(31, [rowOf(SECOND, 25, doneTasks(1, 2))]));
    assert.ok(holder.tables.isProgressCurrent);
    assert.equal(holder.remaining(SECOND), TASKS - 2);
    assert.deepEqual(holder.calls, ["changes after 10", "changes after 13", "read", "read"]);
});

for (const [name, failure] of [
    ["unanswered", UNANSWERED],
    ["refused", REFUSED],
] as const) {
    test(`${name} calls for the changes keep the inherited jobs waiting no longer than all rows take`, async () => {
        const holder = startHolder();
        holder.pass();
        await holder.answer(failure);
        holder.pass();
        assert.deepEqual(holder.calls, ["changes after 10"], "no pause");
        await sleep(RETRY_MS);
        holder.pass();
        await holder.answer(failure);
        await sleep(RETRY_MS);
        holder.pass();
        await holder.answer(answerOf(30, [rowOf(FIRST, 12, doneTasks(0))]));
        assert.ok(holder.tables.isProgressCurrent);
        assert.equal(holder.remaining(FIRST), TASKS - 1);
        assert.deepEqual(holder.calls, ["changes after 10", "changes after 10", "read"]);
    });
}

test("changes that arrived before a lost answer are kept, and one lost answer does not cause all rows to be read", async () => {
    const holder = startHolder();
    holder.pass();
    await holder.answer(answerOf(13, [rowOf(FIRST, 12, doneTasks(0))], true));
    await holder.answer(UNANSWERED);
    await sleep(RETRY_MS);
    holder.pass();
    await holder.answer(answerOf(20, [rowOf(SECOND, 14, doneTasks(0))]));
    assert.ok(holder.tables.isProgressCurrent);
    assert.equal(holder.remaining(FIRST), TASKS - 1);
    assert.equal(holder.remaining(SECOND), TASKS - 1);
    assert.deepEqual(holder.calls, ["changes after 10", "changes after 13", "changes after 13"]);
});

// The former holder may store an end until all executors have been read.
test("an answer to a call from before inherited runs became unknown again does not count", async () => {
    for (const isSeenByPass of [true, false]) {
        const holder = startHolder();
        holder.pass();
        holder.executor.reconciled = false;
        if (isSeenByPass) {
            holder.pass();
            holder.executor.reconciled = true;
        }
        await holder.answer(answerOf(20, [rowOf(FIRST, 12, doneTasks(0))]));
        assert.equal(holder.tables.isProgressCurrent, false);
        holder.executor.reconciled = true;
        holder.pass();
        await holder.answer(answerOf(30, [rowOf(FIRST, 22, doneTasks(0, 1))]));
        assert.ok(holder.tables.isProgressCurrent);
        assert.equal(holder.remaining(FIRST), TASKS - 2);
        assert.deepEqual(holder.calls, ["changes after 10", "changes after 20"]);
    }
});

test("a full reading during which inherited runs became unknown counts only with the changes since its first page", async () => {
    const holder = startHolder();
    holder.pass();
    await holder.answer(HISTORY_LOST);
    await holder.answer(answerOf(30, [rowOf(FIRST, 12, doneTasks(0))], true));
    holder.executor.reconciled = false;
    holder.pass();
    holder.executor.reconciled = true;
    await holder.answer(answerOf(33, [rowOf(SECOND, 14, doneTasks(0))]));
    assert.equal(holder.tables.isProgressCurrent, false);
    holder.pass();
    await holder.answer(answerOf(40, [rowOf(FIRST, 31, doneTasks(0, 1))]));
    assert.ok(holder.tables.isProgressCurrent);
    assert.equal(holder.remaining(FIRST), TASKS - 2);
    assert.equal(holder.remaining(SECOND), TASKS - 1);
    assert.deepEqual(holder.calls, ["changes after 10", "read", "read", "changes after 30"]);
});

test("removed rows of progress among the changes are skipped, and not reported as malformed", async () => {
    const holder = startHolder();
    holder.pass();
    await holder.answer(answerOf(20, [removed(rowOf(FIRST, 12, doneTasks())), rowOf(SECOND, 13, doneTasks(1))]));
    assert.ok(holder.tables.isProgressCurrent);
    assert.equal(holder.remaining(FIRST), TASKS);
    assert.equal(holder.remaining(SECOND), TASKS - 1);
    assert.deepEqual(holder.logged, []);
});
