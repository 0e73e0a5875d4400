import assert from "node:assert/strict";
import test from "node:test";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { planOrphanStops, planStops } from "@almondusher/scheduler/plan-stops";
import { endJob } from "../src/apply-report.js";
import { markUnanswered } from "../src/executor-incarnation.js";
import type { PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { forgetRun } from "@almondusher/scheduler/run-table";
import {
    UNLIMITED_BUDGET,
    createPool,
    limitedBudget,
    executorOf,
    place,
    receiveReport,
    record,
    step,
} from "./fixture.js";

const stops = (tables: PoolTables, nowMs: number): readonly Run[] =>
    planStops(tables, { nowMs, resendAfterMs: 400, budget: UNLIMITED_BUDGET });

const markAvailable = (runs: readonly Run[]): void =>
    runs.forEach(run => {
        run.phase = "running";
        run.availableSinceMs = 0;
    });

test("a run with an unanswered start is stopped, and the stop request is repeated until the end of the run is known", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const run = place(tables)[0];
    assert.ok(run !== undefined);
    run.phase = "unsettled";
    assert.deepEqual(stops(tables, 0), [run]);
    assert.equal(stops(tables, 300).length, 0);
    assert.equal(stops(tables, 400).length, 1);
    assert.equal(place(tables, 400).length, 0, "the task does not start elsewhere in the meantime");
});

/** A long-running task whose start was given up at 350 ms without an answer. */
const startUnanswered = (): { readonly tables: PoolTables; readonly run: Run } => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step({ longRunning: true, disruptionBudget: 0 })] }],
    });
    const run = place(tables)[0];
    assert.ok(run !== undefined);
    markUnanswered(run, 350);
    return { tables, run };
};

test("a long-running task whose start was not answered keeps running if the executor reports it", () => {
    const { tables, run } = startUnanswered();
    assert.equal(stops(tables, 360).length, 0);
    const active = [{ task: run.task.id, run: run.number, checkpoint: "", percent: 10, recentLoad: undefined }];
    receiveReport(tables, "a", { active }, 400);
    assert.equal(stops(tables, 410).length, 0);
    assert.equal(run.phase, "running");
});

test("a new scheduler does not count a task as available that its predecessor may have ordered to stop", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step({ count: 2, longRunning: true, disruptionBudget: 1 })], inherited: true }],
    });
    const activeRun = (index: number) => ({
        active: [{ task: `j1.0.0.${index}` as never, run: 5, checkpoint: "", percent: 100, recentLoad: undefined }],
    });
    executorOf(tables, "a").evacuation = { id: "e", byMs: 0 };
    receiveReport(tables, "a", activeRun(0), 100);
    receiveReport(tables, "b", activeRun(1), 100);
    receiveReport(tables, "b", activeRun(1), 200);
    assert.equal(stops(tables, 1000).length, 0, "the report was requested before a stop would be complete");
    receiveReport(tables, "b", activeRun(1), 1000);
    assert.equal(stops(tables, 1400).length, 1);
});

test("an unanswered start of a long-running task is stopped once a report that was requested later does not list it", () => {
    const { tables, run } = startUnanswered();
    receiveReport(tables, "a", {}, 300);
    assert.equal(stops(tables, 360).length, 0, "the report was requested before the start could have been executed");
    receiveReport(tables, "a", {}, 400);
    assert.deepEqual(stops(tables, 410), [run]);
    assert.equal(place(tables, 420).length, 0, "the start may still arrive, so its task does not start elsewhere");
});

test("the runs of a cancelled job are stopped", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    const runs = place(tables);
    const job = runs[0]?.task.step.job;
    assert.ok(job !== undefined);
    endJob(job, "cancelled");
    assert.deepEqual(
        stops(tables, 0).map(run => run.stopCause),
        ["cancelled", "cancelled"],
    );
});

test("evacuations stop no more long-running tasks of a step at once than its disruption budget allows", () => {
    const tables = createPool({
        executors: [record("a"), record("b"), record("c"), record("d")],
        jobs: [{ id: "j1", steps: [step({ count: 2, maxPerExecutor: 1, longRunning: true, disruptionBudget: 1 })] }],
    });
    const runs = place(tables);
    markAvailable(runs);
    runs.forEach(run => (run.executor.evacuation = { id: run.executor.id, byMs: 0 }));
    assert.equal(stops(tables, 1000).length, 1, "the second task waits until the first is available elsewhere");
    const [first] = runs;
    assert.equal(stops(tables, 1200).length, 0);
    assert.ok(first !== undefined);
    forgetRun(first);
    const replacement = place(tables, 1300)[0];
    assert.ok(replacement !== undefined);
    assert.equal(replacement.executor.id, executorOf(tables, "c").id);
    replacement.phase = "running";
    replacement.availableSinceMs = 2000;
    assert.equal(stops(tables, 2100).length, 0, "a replacement that has just started does not count yet");
    assert.equal(stops(tables, 2400).length, 1);
});

test("a long-running task on an executor that does not respond uses up the disruption budget of its step", () => {
    const tables = createPool({
        executors: [record("a"), record("b"), record("c")],
        jobs: [{ id: "j1", steps: [step({ count: 2, maxPerExecutor: 1, longRunning: true, disruptionBudget: 1 })] }],
    });
    const runs = place(tables);
    markAvailable(runs);
    executorOf(tables, "b").reachable = false;
    executorOf(tables, "a").evacuation = { id: "e", byMs: 1000 };
    assert.equal(stops(tables, 1000).length, 0);
    executorOf(tables, "b").reachable = true;
    assert.equal(stops(tables, 1100).length, 1);
});

test("a task that ends in time may finish on an executor that drains", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "short", steps: [step({ estimateMs: 500 })] },
            { id: "long", steps: [step({ estimateMs: 9000 })] },
        ],
    });
    place(tables);
    const executor = executorOf(tables, "a");
    executor.record = { ...executor.record, draining: true, remainingMs: 2000 };
    assert.deepEqual(
        stops(tables, 0).map(run => run.task.step.job.id as string),
        ["long"],
    );
});

test("the remaining members of an incomplete gang are stopped", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step({ count: 2, gang: true })] }],
    });
    const [first] = place(tables);
    assert.ok(first !== undefined);
    forgetRun(first);
    assert.deepEqual(
        stops(tables, 0).map(run => run.stopCause),
        ["gang-incomplete"],
    );
});

test("an evacuation waits for a task that is slower than expected but has completed most of its work", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ estimateMs: 3500 })] }] });
    const run = place(tables)[0];
    assert.ok(run !== undefined);
    markAvailable([run]);
    run.executor.evacuation = { id: "e", byMs: 8000 };
    run.percent = 88;
    assert.equal(stops(tables, 8000).length, 0);
    run.percent = 90;
    assert.equal(stops(tables, 11_000).length, 1, "but not indefinitely");
});

test("a task with little progress or with checkpoints is stopped in time on a VM that is evacuated", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "j1", steps: [step({ estimateMs: 9000 })] },
            { id: "j2", steps: [step({ estimateMs: 9000, checkpointing: true })] },
        ],
    });
    const runs = place(tables);
    markAvailable(runs);
    const [first, second] = runs;
    assert.ok(first !== undefined && second !== undefined);
    first.executor.evacuation = { id: "e", byMs: 5000 };
    first.percent = 30;
    second.percent = 70;
    assert.equal(stops(tables, 3000).length, 2);
});

const RESEND_AFTER_MS = 400;
const DURATION_MS = 20_000;
const TICK_MS = 100;

/** Times at which a stop request is due during the simulated time. */
const dueTimes = (isDue: (nowMs: number) => boolean): readonly number[] =>
    Array.from({ length: DURATION_MS / TICK_MS }, (unused, index) => index * TICK_MS).filter(isDue);

test("stop requests that are not answered are sent at growing, bounded intervals, so that they do not cause congestion", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const run = place(tables)[0];
    assert.ok(run !== undefined);
    run.phase = "unsettled";
    const { executor } = run;
    executor.orphanedRuns = [{ task: "x.0.0.0" as never, number: 1, stopSentAtMs: undefined, stopsSent: 0 }];
    const expected = [0, 400, 1200, ...Array.from({ length: 11 }, (unused, index) => 2800 + 1600 * index)];
    const options = { resendAfterMs: RESEND_AFTER_MS, budget: UNLIMITED_BUDGET };
    assert.deepEqual(
        dueTimes(nowMs => planStops(tables, { ...options, nowMs }).length > 0),
        expected,
    );
    assert.deepEqual(
        dueTimes(nowMs => planOrphanStops(executor, { ...options, nowMs }).length > 0),
        expected,
    );
});

test("stop requests beyond the budget are due in the next pass", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 3 })] }] });
    const runs = place(tables);
    runs.forEach(run => (run.phase = "unsettled"));
    const stopWithin = (orders: number): readonly Run[] =>
        planStops(tables, { nowMs: 0, resendAfterMs: RESEND_AFTER_MS, budget: limitedBudget(orders) });
    assert.deepEqual(stopWithin(2), runs.slice(0, 2));
    assert.deepEqual(stopWithin(2), runs.slice(2));
});

test("repeated stop requests do not hold back the first ones of other runs", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 3 })] }] });
    const [repeated, other, last] = place(tables);
    assert.ok(repeated !== undefined && other !== undefined && last !== undefined);
    const stopOne = (nowMs: number): readonly Run[] =>
        planStops(tables, { nowMs, resendAfterMs: RESEND_AFTER_MS, budget: limitedBudget(1) });
    repeated.phase = "unsettled";
    assert.deepEqual(stopOne(0), [repeated]);
    other.phase = "unsettled";
    last.phase = "unsettled";
    assert.deepEqual(stopOne(500), [other]);
    assert.deepEqual(stopOne(500), [last]);
    assert.deepEqual(stopOne(500), [repeated]);
});

test("a long-running task whose unanswered start arrived before its stop was sent keeps running", () => {
    const { tables, run } = startUnanswered();
    receiveReport(tables, "a", {}, 400);
    const options = { resendAfterMs: RESEND_AFTER_MS, budget: limitedBudget(0) };
    assert.equal(planStops(tables, { ...options, nowMs: 410 }).length, 0);
    const active = [{ task: run.task.id, run: run.number, checkpoint: "", percent: 10, recentLoad: undefined }];
    receiveReport(tables, "a", { active }, 500);
    assert.equal(stops(tables, 510).length, 0);
});

// It used up the disruption budget of its step, so that the VM never became empty either.
test("an evacuation stops a long-running task only once there is room for it on another executor", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step({ count: 3, maxPerExecutor: 2, longRunning: true, disruptionBudget: 1 })] }],
    });
    markAvailable(place(tables));
    const [first] = [...executorOf(tables, "a").runs.values()];
    assert.ok(first !== undefined);
    executorOf(tables, "a").evacuation = { id: "e", byMs: 0 };
    executorOf(tables, "b").backoffUntilMs = 1500;
    assert.equal(stops(tables, 1000).length, 0, "no other executor takes the task");
    assert.deepEqual(stops(tables, 1500), [first], "room for one");
    forgetRun(first);
    const [replacement] = place(tables, 1600);
    assert.equal(replacement?.executor, executorOf(tables, "b"));
    markAvailable([replacement]);
    assert.equal(stops(tables, 2600).length, 0, "the other executor has as many tasks of the step as it may");
    applyRegistry(tables, [record("a"), record("b"), record("c")], 2600);
    receiveReport(tables, "c", {}, 2600);
    executorOf(tables, "c").listedInLease = true;
    assert.equal(stops(tables, 2700).length, 1);
});

test("two long-running tasks are not stopped for the room of one", () => {
    const longRunning = step({ longRunning: true, demand: { cpu: 2000, memoryMb: 100, gpu: 0 } });
    const tables = createPool({
        executors: [record("a"), record("b", { capacity: { cpu: 3000, memoryMb: 4000, gpu: 0 } })],
        jobs: [
            { id: "j1", steps: [longRunning] },
            { id: "j2", steps: [longRunning] },
        ],
    });
    executorOf(tables, "b").backoffUntilMs = 10;
    markAvailable(place(tables));
    executorOf(tables, "a").evacuation = { id: "e", byMs: 0 };
    assert.equal(executorOf(tables, "a").runs.size, 2);
    assert.equal(stops(tables, 1000).length, 1);
});
