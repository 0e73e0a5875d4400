import assert from "node:assert/strict";
import test from "node:test";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { acknowledgedEnd, confirmStart, noteLife } from "@almondusher/scheduler/executor-life";
import { lapseRuns } from "@almondusher/scheduler/settle-run";
import type { PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { createPool, executorOf, hear, MAX_LEASE_MS, place, record, step } from "./fixture.js";

const OLD_CLOCK_MS = 500_000;
const STARTED_AT_MS = 1000;

/** An executor of an old life with a stored end, and a start that was sent after it has restarted under its id. */
const startAfterRestart = (): { readonly tables: PoolTables; readonly before: Run; readonly run: Run } => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    const executor = executorOf(tables, "a");
    executor.clock = { clockMs: OLD_CLOCK_MS, heardAtMs: 0 };
    executor.seenEnd = 7;
    executor.storedEnd = 7;
    const [before, run] = place(tables, STARTED_AT_MS);
    assert.ok(before !== undefined && run !== undefined);
    confirmStart(tables, before, STARTED_AT_MS);
    return { tables, before, run };
};

const acceptInNewLife = (tables: PoolTables, run: Run): void => {
    noteLife(run.executor, {
        clockMs: 300,
        bornMs: undefined,
        sentAtMs: STARTED_AT_MS,
        receivedAtMs: STARTED_AT_MS + 20,
    });
    confirmStart(tables, run, STARTED_AT_MS + 20);
};

test("an executor that restarts under its id between two orders would forget ends that nobody has seen", () => {
    const { tables, run } = startAfterRestart();
    assert.equal(acknowledgedEnd(run.executor), 0, "the start has no answer, so that it may be in a later life");
    acceptInNewLife(tables, run);
    assert.equal(acknowledgedEnd(run.executor), 0, "the numbers of ends began anew");
});

test("a run that was started in a new life is kept when that life is noticed, or its task would run twice", () => {
    const { tables, before, run } = startAfterRestart();
    acceptInNewLife(tables, run);
    assert.deepEqual([...run.executor.runs.values()], [run]);
    assert.deepEqual(before.task.runs, [], "the run of the former life has ended");
    hear(tables, "a", { clockMs: 400, bornMs: 2 }, STARTED_AT_MS);
    applyRegistry(tables, [record("a", { bornMs: 2, clockMs: 350 })], STARTED_AT_MS + 100);
    assert.deepEqual(run.task.runs, [run]);
    assert.ok(run.executor.leaseUntilMs >= 300 + MAX_LEASE_MS, "its lease was sent for the clock of the former life");
});

test("a start whose answer is still out when the registry names a new life is kept until the executor lists its runs", () => {
    const { tables, before, run } = startAfterRestart();
    applyRegistry(tables, [record("a", { bornMs: 2, clockMs: 250 })], STARTED_AT_MS + 10);
    assert.deepEqual(before.task.runs, []);
    assert.deepEqual(run.task.runs, [run]);
});

test("a record or report of the former life does not end the one that the clock has shown", () => {
    const { tables, before, run } = startAfterRestart();
    acceptInNewLife(tables, run);
    applyRegistry(tables, [record("a", { clockMs: OLD_CLOCK_MS })], STARTED_AT_MS + 50);
    assert.deepEqual(run.task.runs, [run]);
    hear(
        tables,
        "a",
        {
            clockMs: OLD_CLOCK_MS,
            ended: [{ number: 1, task: before.task.id, run: before.number, how: "failed", checkpoint: "" }],
        },
        STARTED_AT_MS - 50,
    );
    assert.equal(before.task.failures, 0);
    assert.equal(run.executor.clock?.clockMs, 300);
});

test("a start without an answer may hold the longest lease in a new life, so its task waits for that elsewhere", () => {
    const { tables, run } = startAfterRestart();
    const { executor } = run;
    executor.leaseUntilMs = OLD_CLOCK_MS + 4000;
    executor.reachable = false;
    const longestMs = STARTED_AT_MS + MAX_LEASE_MS / 0.98;
    assert.ok(!lapseRuns(tables, executor, longestMs).includes(run));
    assert.deepEqual(lapseRuns(tables, executor, longestMs + 1000), [run]);
    assert.equal(acknowledgedEnd(executor), 0, "the end of that run may be the first of a new life");
    hear(tables, "a", { clockMs: OLD_CLOCK_MS + 10_000 }, 9000);
    assert.equal(acknowledgedEnd(executor), 7);
});

test("a clock that runs 2% slow is not taken for a new life", () => {
    const { run } = startAfterRestart();
    const sentAtMs = 60_000;
    const clockMs = Math.floor(OLD_CLOCK_MS + 0.98 * sentAtMs);
    noteLife(run.executor, { clockMs, bornMs: undefined, sentAtMs, receivedAtMs: sentAtMs + 5 });
    assert.equal(run.executor.life, 0);
});

test("an answer of the former life that comes late does not set the clock, or the new life would be taken for a third", () => {
    const { tables, run } = startAfterRestart();
    acceptInNewLife(tables, run);
    const late = { clockMs: OLD_CLOCK_MS + STARTED_AT_MS, sentAtMs: STARTED_AT_MS, receivedAtMs: STARTED_AT_MS + 40 };
    noteLife(run.executor, { ...late, bornMs: undefined });
    const next = { clockMs: 600, sentAtMs: STARTED_AT_MS + 300, receivedAtMs: STARTED_AT_MS + 310 };
    noteLife(run.executor, { ...next, bornMs: undefined });
    assert.deepEqual(run.task.runs, [run]);
});
