import assert from "node:assert/strict";
import test from "node:test";
import { markUnanswered } from "@almondusher/scheduler/executor-incarnation";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import {
    dropPastInheritedStarts,
    inheritStarts,
    MAX_LISTED_STARTS,
    undeliveredStarts,
} from "@almondusher/scheduler/inherited-starts";
import { findTask, type PoolTables, type UndeliveredStart } from "@almondusher/scheduler/pool-tables";
import { surveyWaiting } from "@almondusher/scheduler/waiting-reason";
import {
    createPool,
    executorOf,
    expireAfterPoll,
    MAX_LEASE_MS,
    place,
    receiveReport,
    record,
    step,
    UNLIMITED_BUDGET,
} from "./fixture.js";

const TASK = "j1.0.0.0" as never;
const NOW_MS = 20_000;
const LONGEST_DELAY_MS = 15_000;
const SLOWEST_CLOCK_RATE = 0.98;
const DELIVERY_AND_MARGIN_MS = 900;

const startOn = (executor: string, change: Partial<UndeliveredStart> = {}): UndeliveredStart => ({
    executor: executor as never,
    task: TASK,
    number: 65_537,
    sentAtMs: NOW_MS - 1000,
    ...change,
});

/** Two executors that were read; the first one is preferred in a tie. */
const poolWithTwo = (): PoolTables =>
    createPool({ executors: [record("a"), record("b")], jobs: [{ id: "j1", steps: [step()] }] });

const placedOn = (tables: PoolTables, nowMs: number): readonly string[] =>
    place(tables, nowMs).map(({ executor }) => executor.id);

// Elsewhere a late start of the former holder would run beside it once its executor has restarted.
test("a task goes first to the executor that may still carry out a start of an earlier holder", () => {
    const tables = poolWithTwo();
    inheritStarts(tables, [startOn("b")], NOW_MS);
    assert.deepEqual(placedOn(tables, NOW_MS), ["b"]);
});

test("a task goes elsewhere if the executor that may still carry out an earlier start gets no starts or has no room", () => {
    const backingOff = poolWithTwo();
    inheritStarts(backingOff, [startOn("b")], NOW_MS);
    executorOf(backingOff, "b").backoffUntilMs = NOW_MS + 1;
    assert.deepEqual(placedOn(backingOff, NOW_MS), ["a"]);
    const full = poolWithTwo();
    inheritStarts(full, [startOn("b")], NOW_MS);
    executorOf(full, "b").record = record("b", { capacity: { cpu: 0, memoryMb: 0, gpu: 0 } });
    assert.deepEqual(placedOn(full, NOW_MS), ["a"]);
});

test("a task is placed as usual once the start of an earlier holder is over", () => {
    const tables = poolWithTwo();
    inheritStarts(tables, [startOn("b", { sentAtMs: NOW_MS - LONGEST_DELAY_MS + 1 })], NOW_MS);
    dropPastInheritedStarts(tables, NOW_MS + 1);
    assert.deepEqual(placedOn(tables, NOW_MS + 1), ["a"]);
});

// Until it is read it may carry out a start under the lower token of the former holder.
test("a task waits until an executor that has restarted is read if a start of an earlier holder may arrive there", () => {
    const tables = poolWithTwo();
    inheritStarts(tables, [startOn("b")], NOW_MS);
    applyRegistry(tables, [record("a"), record("b", { startedAtMs: 2, clockMs: 0 })], NOW_MS);
    assert.deepEqual(placedOn(tables, NOW_MS), []);
    const survey = { nowMs: NOW_MS, budget: UNLIMITED_BUDGET, executorsWithTicket: () => undefined };
    const task = findTask(tables, TASK);
    assert.ok(task !== undefined);
    assert.deepEqual(surveyWaiting(tables, survey).reasonOf(task), { kind: "inherited-start-possible", member: TASK });
    receiveReport(tables, "b", { startedAtMs: 2, clockMs: 20 }, NOW_MS + 20);
    assert.deepEqual(placedOn(tables, NOW_MS + 30), ["b"]);
});

test("a task waits for an unreachable executor no longer than a start of an earlier holder can last there", () => {
    const tables = poolWithTwo();
    inheritStarts(tables, [startOn("b", { sentAtMs: NOW_MS })], NOW_MS);
    const executor = executorOf(tables, "b");
    executor.reconciled = false;
    executor.reachable = false;
    const endsAtMs = NOW_MS + MAX_LEASE_MS / SLOWEST_CLOCK_RATE + DELIVERY_AND_MARGIN_MS;
    expireAfterPoll(tables, executor, endsAtMs - 1);
    assert.deepEqual(placedOn(tables, endsAtMs - 1), []);
    expireAfterPoll(tables, executor, endsAtMs + 1);
    assert.deepEqual(placedOn(tables, endsAtMs + 1), ["a"]);
});

test("a start of an earlier holder that a report lists is adopted and no longer expected", () => {
    const tables = poolWithTwo();
    inheritStarts(tables, [startOn("b")], NOW_MS);
    const active = { task: TASK, run: 65_537, checkpoint: "", percent: 10, recentLoad: undefined };
    receiveReport(tables, "b", { active: [active] }, NOW_MS);
    assert.equal(executorOf(tables, "b").runs.size, 1);
    assert.deepEqual(undeliveredStarts(tables, NOW_MS), []);
});

test("the starts of earlier holders are passed on with those of this one until they are over", () => {
    const tables = poolWithTwo();
    const inherited = startOn("gone", { task: "j9.0.0.0" as never });
    inheritStarts(tables, [inherited], NOW_MS);
    const [run] = place(tables, NOW_MS);
    assert.ok(run !== undefined);
    assert.deepEqual(undeliveredStarts(tables, NOW_MS), [inherited], "the start may still be answered");
    markUnanswered(run, NOW_MS + 600);
    const own = { executor: run.executor.id, task: TASK, number: run.number, sentAtMs: NOW_MS };
    assert.deepEqual(undeliveredStarts(tables, NOW_MS + 600), [own, inherited]);
    assert.deepEqual(undeliveredStarts(tables, NOW_MS - 1000 + LONGEST_DELAY_MS), [own]);
    assert.deepEqual(undeliveredStarts(tables, NOW_MS + LONGEST_DELAY_MS), []);
});

// Another writer may have stored anything under the key of the lease.
test("the starts in a lease row are bounded in number and in time", () => {
    const tables = poolWithTwo();
    const many = Array.from({ length: 2 * MAX_LISTED_STARTS }, (unused, index) =>
        startOn("b", { number: index, sentAtMs: NOW_MS + 1e9 }),
    );
    inheritStarts(tables, many, NOW_MS);
    const listed = undeliveredStarts(tables, NOW_MS);
    assert.equal(listed.length, MAX_LISTED_STARTS);
    assert.ok(listed.every(({ sentAtMs }) => sentAtMs === NOW_MS));
    inheritStarts(tables, [startOn("unknown"), startOn("unknown", { sentAtMs: Number.NaN })], NOW_MS);
    dropPastInheritedStarts(tables, NOW_MS + LONGEST_DELAY_MS);
    assert.equal(tables.inheritedStarts.size, 0);
});
