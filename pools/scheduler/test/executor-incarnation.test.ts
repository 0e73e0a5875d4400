import assert from "node:assert/strict";
import test from "node:test";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import {
    acknowledgedEnd,
    applyAcceptedStart,
    applyAcceptedStop,
    confirmStart,
    markUnanswered,
    observeIncarnation,
} from "../src/executor-incarnation.js";
import type { PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import {
    createPool,
    expireAfterPoll,
    executorOf,
    receiveReport,
    MAX_LEASE_MS,
    place,
    record,
    step,
} from "./fixture.js";

const OLD_CLOCK_MS = 500_000;
const STARTED_AT_MS = 1000;

/**
 * An executor with a stored run end and a confirmed run of its old incarnation, and an unanswered start request that
 * was sent after the executor had restarted under the same id.
 */
const startAfterRestart = (): { readonly tables: PoolTables; readonly before: Run; readonly run: Run } => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    const executor = executorOf(tables, "a");
    executor.clock = { clockMs: OLD_CLOCK_MS, heardAtMs: 0 };
    executor.lastAppliedEnd = 7;
    executor.lastStoredEnd = 7;
    const [before, run] = place(tables, STARTED_AT_MS);
    assert.ok(before !== undefined && run !== undefined);
    confirmStart(tables, before, STARTED_AT_MS);
    return { tables, before, run };
};

const acceptInNewIncarnation = (tables: PoolTables, run: Run): void => {
    observeIncarnation(run.executor, {
        clockMs: 300,
        startedAtMs: undefined,
        sentAtMs: STARTED_AT_MS,
        receivedAtMs: STARTED_AT_MS + 20,
    });
    confirmStart(tables, run, STARTED_AT_MS + 20);
};

test("no run end is acknowledged after a restart under the same id, so that the executor does not discard unread ends", () => {
    const { tables, run } = startAfterRestart();
    assert.equal(
        acknowledgedEnd(run.executor),
        0,
        "the start request has no response, so it may have reached a later incarnation",
    );
    acceptInNewIncarnation(tables, run);
    assert.equal(acknowledgedEnd(run.executor), 0, "the new incarnation numbers its run ends from 1 again");
});

test("a run that was started in a new incarnation is kept when it is detected, so that its task does not run twice", () => {
    const { tables, before, run } = startAfterRestart();
    acceptInNewIncarnation(tables, run);
    assert.deepEqual([...run.executor.runs.values()], [run]);
    assert.deepEqual(before.task.runs, [], "the run of the previous incarnation has ended");
    receiveReport(tables, "a", { clockMs: 400, startedAtMs: 2 }, STARTED_AT_MS);
    applyRegistry(tables, [record("a", { startedAtMs: 2, clockMs: 350 })], STARTED_AT_MS + 100);
    assert.deepEqual(run.task.runs, [run]);
    assert.ok(
        run.executor.leaseUntilMs >= 300 + MAX_LEASE_MS,
        "its lease end was computed for the clock of the previous incarnation",
    );
});

test("an unanswered start is kept when the registry shows a new incarnation", () => {
    const { tables, before, run } = startAfterRestart();
    applyRegistry(tables, [record("a", { startedAtMs: 2, clockMs: 250 })], STARTED_AT_MS + 10);
    assert.deepEqual(before.task.runs, []);
    assert.deepEqual(run.task.runs, [run]);
});

test("a late record or report of the previous incarnation does not end the one that the clock revealed", () => {
    const { tables, before, run } = startAfterRestart();
    acceptInNewIncarnation(tables, run);
    applyRegistry(tables, [record("a", { clockMs: OLD_CLOCK_MS })], STARTED_AT_MS + 50);
    assert.deepEqual(run.task.runs, [run]);
    receiveReport(
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

test("the run of an unanswered start is given up only after the longest lease, which a new incarnation may have granted", () => {
    const { tables, run } = startAfterRestart();
    const { executor } = run;
    executor.leaseUntilMs = OLD_CLOCK_MS + 4000;
    executor.reachable = false;
    const longestMs = STARTED_AT_MS + MAX_LEASE_MS / 0.98;
    assert.ok(!expireAfterPoll(tables, executor, longestMs).includes(run));
    assert.deepEqual(expireAfterPoll(tables, executor, longestMs + 1000), [run]);
    assert.equal(acknowledgedEnd(executor), 0, "the end of that run may be the first one of a new incarnation");
    receiveReport(tables, "a", { clockMs: OLD_CLOCK_MS + 10_000 }, 9000);
    assert.equal(acknowledgedEnd(executor), 7);
});

test("a clock that runs 2% slow is not mistaken for a restart", () => {
    const { run } = startAfterRestart();
    const sentAtMs = 60_000;
    const clockMs = Math.floor(OLD_CLOCK_MS + 0.98 * sentAtMs);
    observeIncarnation(run.executor, { clockMs, startedAtMs: undefined, sentAtMs, receivedAtMs: sentAtMs + 5 });
    assert.equal(run.executor.incarnation, 0);
});

test("a late response of the previous incarnation does not set the clock, which would look like another restart", () => {
    const { tables, run } = startAfterRestart();
    acceptInNewIncarnation(tables, run);
    const late = { clockMs: OLD_CLOCK_MS + STARTED_AT_MS, sentAtMs: STARTED_AT_MS, receivedAtMs: STARTED_AT_MS + 40 };
    observeIncarnation(run.executor, { ...late, startedAtMs: undefined });
    const next = { clockMs: 600, sentAtMs: STARTED_AT_MS + 300, receivedAtMs: STARTED_AT_MS + 310 };
    observeIncarnation(run.executor, { ...next, startedAtMs: undefined });
    assert.deepEqual(run.task.runs, [run]);
});

// Responses on different connections may overtake each other; a late one took the executor for restarted, and its runs were
// started again on another one.
[60, 150, 250, 350].forEach(delayMs => {
    test(`a response that another one overtook by ${delayMs} ms is not taken for a restart`, () => {
        const { run } = startAfterRestart();
        const overtaking = { sentAtMs: delayMs, receivedAtMs: delayMs + 2, clockMs: OLD_CLOCK_MS + delayMs + 1 };
        const late = { sentAtMs: 0, receivedAtMs: delayMs + 4, clockMs: OLD_CLOCK_MS + 1 };
        observeIncarnation(run.executor, { ...overtaking, startedAtMs: undefined });
        observeIncarnation(run.executor, { ...late, startedAtMs: undefined });
        assert.equal(run.executor.incarnation, 0);
    });
});

// The monotonic clock of a suspended VM stands still, so the time between two readings on it proves nothing.
test("a response that was overtaken while the VM was suspended does not end runs, and its start counts as unanswered", () => {
    const { tables, before, run } = startAfterRestart();
    const report = { sentAtMs: 0, receivedAtMs: 20, clockMs: OLD_CLOCK_MS + 5000 };
    observeIncarnation(run.executor, { ...report, startedAtMs: undefined });
    const start = { sentAtMs: 10, receivedAtMs: 22, clockMs: OLD_CLOCK_MS + 11 };
    applyAcceptedStart(tables, run, { ...start, startedAtMs: undefined });
    assert.equal(run.executor.incarnation, 0);
    assert.deepEqual(before.task.runs, [before]);
    assert.equal(run.phase, "unsettled");
});

test("a start that was answered while the registry showed a restart is given up when its executor does not respond again", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const [run] = place(tables, STARTED_AT_MS);
    assert.ok(run !== undefined);
    applyRegistry(tables, [record("a", { startedAtMs: 2, clockMs: 20 })], STARTED_AT_MS + 10);
    applyAcceptedStart(tables, run, {
        clockMs: 30,
        startedAtMs: undefined,
        sentAtMs: STARTED_AT_MS,
        receivedAtMs: STARTED_AT_MS + 20,
    });
    run.executor.reachable = false;
    const expiredAtMs = STARTED_AT_MS + 2 * MAX_LEASE_MS;
    assert.deepEqual(expireAfterPoll(tables, run.executor, STARTED_AT_MS + MAX_LEASE_MS), [], "it may be active");
    assert.deepEqual(expireAfterPoll(tables, run.executor, expiredAtMs), [run]);
});

test("a stop that is repeated does not make a task wait longer for a start that never took effect", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const [run] = place(tables);
    assert.ok(run !== undefined);
    markUnanswered(run, 350);
    applyAcceptedStop(run, { clockMs: 360, startedAtMs: undefined, sentAtMs: 355, receivedAtMs: 365 });
    // A report that waits for an end is under way when the stop is sent again.
    const reportSentAtMs = 400;
    applyAcceptedStop(run, { clockMs: 760, startedAtMs: undefined, sentAtMs: 755, receivedAtMs: 765 });
    receiveReport(tables, "a", { clockMs: 1100 }, reportSentAtMs);
    assert.deepEqual(run.task.runs, []);
});
