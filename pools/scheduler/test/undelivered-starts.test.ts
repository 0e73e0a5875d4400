import assert from "node:assert/strict";
import test from "node:test";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { findTask, isWaiting, type PoolTables, type Run } from "@almondusher/scheduler/pool-tables";
import { applyAcceptedStop, markUnanswered } from "../src/executor-incarnation.js";
import { inheritStarts, mayReceiveLateStart } from "../src/inherited-starts.js";
import { planStops } from "../src/plan-stops.js";
import { createPool, executorOf, place, receiveReport, record, step, UNLIMITED_BUDGET } from "./fixture.js";

const TASK = "j1.0.0.0" as never;
const ANSWER_TIME_MS = 5;
const START_VALID_UNTIL_MS = 5000;
const RESTARTED_AT_MS = 1000;
/** Time for which an order without a response may be delayed, in milliseconds. */
const LONGEST_DELAY_MS = 15_000;
const LONG_AFTER_MS = 60_000;
const RESTARTED = record("a", { startedAtMs: 2, clockMs: 0 });

const active = (run: number) => ({ task: TASK, run, checkpoint: "", percent: 10, recentLoad: undefined });

const stop = (tables: PoolTables, nowMs: number): readonly Run[] =>
    planStops(tables, { nowMs, resendAfterMs: 400, budget: UNLIMITED_BUDGET });

const acceptStop = (run: Run, sentAtMs: number, clockMs: number): void =>
    applyAcceptedStop(run, { clockMs, startedAtMs: undefined, sentAtMs, receivedAtMs: sentAtMs + ANSWER_TIME_MS });

/** A start that got no response, on the only executor of the pool. */
const startWithoutAnswer = (): { readonly tables: PoolTables; readonly run: Run } => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const [run] = place(tables);
    assert.ok(run !== undefined);
    run.startValidUntilMs = START_VALID_UNTIL_MS;
    markUnanswered(run, 90);
    receiveReport(tables, "a", { clockMs: 100 }, 100);
    assert.deepEqual(stop(tables, 110), [run]);
    return { tables, run };
};

/** A start without a response whose stop was accepted, so that its task may start again, before the executor restarts. */
const restartAfterStop = (): { readonly tables: PoolTables; readonly run: Run } => {
    const started = startWithoutAnswer();
    acceptStop(started.run, 120, 120);
    receiveReport(started.tables, "a", { clockMs: 200 }, 200);
    assert.equal(executorOf(started.tables, "a").runs.size, 0);
    applyRegistry(started.tables, [RESTARTED], RESTARTED_AT_MS);
    return started;
};

// The new incarnation has forgotten the stop, so it would execute the start.
test("a start that may still arrive is stopped again after its executor has restarted", () => {
    const { tables, run } = restartAfterStop();
    assert.deepEqual(stop(tables, RESTARTED_AT_MS), [run], "the new incarnation knows of no stop");
    receiveReport(tables, "a", { startedAtMs: 2, clockMs: 20 }, RESTARTED_AT_MS + 20);
    assert.equal(place(tables, RESTARTED_AT_MS + 30).length, 0, "the start may arrive while the task runs elsewhere");
    acceptStop(run, RESTARTED_AT_MS + 40, 40);
    receiveReport(tables, "a", { startedAtMs: 2, clockMs: 60 }, RESTARTED_AT_MS + 60);
    assert.equal(place(tables, RESTARTED_AT_MS + 70).length, 1);
});

test("a stop that was accepted and not yet confirmed by a report is sent again after its executor has restarted", () => {
    const { tables, run } = startWithoutAnswer();
    acceptStop(run, 120, 120);
    applyRegistry(tables, [RESTARTED], RESTARTED_AT_MS);
    assert.deepEqual(stop(tables, RESTARTED_AT_MS), [run]);
    receiveReport(tables, "a", { startedAtMs: 2, clockMs: 20 }, RESTARTED_AT_MS + 20);
    assert.ok(executorOf(tables, "a").runs.size === 1, "the report follows no stop of this incarnation");
});

test("the acceptance of a stop by an earlier incarnation does not count for the present one", () => {
    const { tables, run } = startWithoutAnswer();
    applyRegistry(tables, [RESTARTED], RESTARTED_AT_MS);
    acceptStop(run, RESTARTED_AT_MS - 2, RESTARTED_AT_MS - 2);
    assert.equal(run.confirmedAtMs, undefined);
});

test("a start that arrives after a restart is stopped if its task runs elsewhere", () => {
    const { tables, run } = startWithoutAnswer();
    acceptStop(run, 120, 120);
    receiveReport(tables, "a", { clockMs: 200 }, 200);
    applyRegistry(tables, [record("a"), record("b")], 210);
    receiveReport(tables, "b", {}, 210);
    executorOf(tables, "b").listedInLease = true;
    executorOf(tables, "a").backoffUntilMs = RESTARTED_AT_MS;
    const [elsewhere] = place(tables, 220);
    assert.equal(elsewhere?.executor, executorOf(tables, "b"));
    receiveReport(tables, "b", { active: [active(elsewhere.number)] }, 230);
    applyRegistry(tables, [RESTARTED, record("b")], RESTARTED_AT_MS);
    receiveReport(tables, "a", { startedAtMs: 2, clockMs: 20, active: [active(run.number)] }, RESTARTED_AT_MS + 20);
    assert.deepEqual(stop(tables, RESTARTED_AT_MS + 30), [run]);
    assert.equal(elsewhere.phase, "running");
});

/** A start without a response that was stopped on `a`, in a pool where `b` would be chosen otherwise. */
const stopBesideBetterExecutor = (): PoolTables => {
    const { tables, run } = startWithoutAnswer();
    acceptStop(run, 120, 120);
    receiveReport(tables, "a", { clockMs: 200 }, 200);
    const smaller = record("b", { capacity: { cpu: 1000, memoryMb: 1000, gpu: 0 } });
    applyRegistry(tables, [record("a"), smaller], 210);
    receiveReport(tables, "b", {}, 210);
    executorOf(tables, "b").listedInLease = true;
    return tables;
};

// If the executor restarts and the start begins there, the new run of the task has ended with the former incarnation.
test("a task whose start got no response goes first to the executor where the start may still arrive", () => {
    const tables = stopBesideBetterExecutor();
    assert.deepEqual(
        place(tables, 220).map(({ executor }) => executor.id),
        ["a"],
    );
});

test("a task whose start got no response is placed as usual once the start can no longer arrive", () => {
    const tables = stopBesideBetterExecutor();
    assert.deepEqual(
        place(tables, LONG_AFTER_MS).map(({ executor }) => executor.id),
        ["b"],
    );
});

test("an executor may receive a late start until no start of this holder or an earlier one can arrive there", () => {
    const tables = stopBesideBetterExecutor();
    const mayReceive = (id: string, nowMs: number): boolean =>
        mayReceiveLateStart(tables, executorOf(tables, id), nowMs);
    assert.ok(mayReceive("a", LONGEST_DELAY_MS - 1));
    assert.ok(!mayReceive("a", LONGEST_DELAY_MS + 1));
    assert.ok(!mayReceive("b", 220));
    inheritStarts(tables, [{ executor: "b" as never, task: TASK, number: 1, sentAtMs: 220 }], 220);
    assert.ok(mayReceive("b", 220 + LONGEST_DELAY_MS - 1));
    assert.ok(!mayReceive("b", 220 + LONGEST_DELAY_MS));
});

test("a start that was sent long ago does not keep its task after a restart", () => {
    const { tables, run } = startWithoutAnswer();
    acceptStop(run, 120, 120);
    receiveReport(tables, "a", { clockMs: 200 }, 200);
    applyRegistry(tables, [RESTARTED], LONG_AFTER_MS);
    const task = findTask(tables, TASK);
    assert.ok(task !== undefined);
    assert.ok(isWaiting(task));
});

// An unhealthy executor may reject each stop and answer reports.
test("a task waits for an executor that accepts no stop no longer than its start is valid and may be delayed", () => {
    const { tables, run } = startWithoutAnswer();
    const isKept = (clockMs: number, atMs: number): boolean => {
        receiveReport(tables, "a", { clockMs }, atMs);
        return place(tables, atMs + 10).length === 0;
    };
    assert.ok(isKept(START_VALID_UNTIL_MS + 1, START_VALID_UNTIL_MS), "other runs may have extended the lease");
    assert.ok(isKept(LONGEST_DELAY_MS - 10, LONGEST_DELAY_MS - 10), "the start may still be delayed");
    assert.ok(!isKept(LONGEST_DELAY_MS, LONGEST_DELAY_MS));
    assert.equal(run.executor.runs.size, 1);
});

test("a start that was delayed for long keeps its task until its lease has expired", () => {
    const { tables } = startWithoutAnswer();
    receiveReport(tables, "a", { clockMs: START_VALID_UNTIL_MS }, LONGEST_DELAY_MS);
    assert.equal(place(tables, LONGEST_DELAY_MS + 10).length, 0);
});
