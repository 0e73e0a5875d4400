import assert from "node:assert/strict";
import test from "node:test";
import type { Step } from "@almondusher/jobs/job";
import {
    highRunMs,
    learnFromActive,
    learnFromEnd,
    predictionOf,
    recordPrediction,
} from "@almondusher/scheduler/learned-times";
import { expectedRunMs } from "@almondusher/scheduler/order-steps";
import type { OpenStep, PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { highRemainingRunMs, remainingRunMs } from "../src/remaining-time.js";
import { addJob, createPool, place, record, step } from "./fixture.js";

const FAR_FACTOR = 2;

const pool = (): PoolTables => ({
    ...createPool({ executors: [record("a", { capacity: { cpu: 64_000, memoryMb: 64_000, gpu: 0 } })] }),
    farFactor: FAR_FACTOR,
});

const startRuns = (tables: PoolTables, id: string, change: Partial<Step>): readonly Run[] => {
    addJob(tables, { id, steps: [step(change)] });
    const runs = place(tables);
    runs.forEach(run => (run.phase = "running"));
    return runs;
};

const stepOf = (tables: PoolTables, id: string, change: Partial<Step> = {}): OpenStep => {
    addJob(tables, { id, steps: [step(change)] });
    const open = tables.jobs.get(id as never)?.occurrences.get(0)?.[0];
    assert.ok(open !== undefined);
    return open;
};

const assertNear = (actual: number, wanted: number): void =>
    assert.ok(Math.abs(actual / wanted - 1) < 0.2, `${actual} instead of ${wanted}`);

test("runs that are done are learned, far ones by the time that they would take near to their data", () => {
    const tables = pool();
    startRuns(tables, "far", { count: 40, dataRack: "r1-2" }).forEach(run => learnFromEnd(tables, run, "done", 6000));
    assertNear(expectedRunMs(tables, stepOf(tables, "next")), 6000 / FAR_FACTOR);
});

test("the remaining time of a run that is far from its data is longer", () => {
    const tables = pool();
    const [near] = startRuns(tables, "near", {});
    const [far] = startRuns(tables, "far", { dataRack: "r1-2" });
    assert.ok(near !== undefined && far !== undefined);
    assertNear(remainingRunMs(tables, far, 0) / remainingRunMs(tables, near, 0), FAR_FACTOR);
});

test("runs that resumed, lapsed or broke, were stopped early, or last are not learned", () => {
    const tables = pool();
    const runs = startRuns(tables, "runs", { count: 20 });
    runs.forEach(run => {
        learnFromEnd(tables, { ...run, resumedFrom: "checkpoint" }, "done", 9000);
        learnFromEnd(tables, run, "lapsed", 9000);
        learnFromEnd(tables, run, "broken", 9000);
        learnFromEnd(tables, run, "alone", 9000);
        learnFromEnd(tables, run, "failed", 20);
        learnFromEnd(tables, run, "stopped", 20);
    });
    startRuns(tables, "lasting", { count: 20, longRunning: true }).forEach(run =>
        learnFromEnd(tables, run, "done", 9000),
    );
    assert.equal(Math.round(expectedRunMs(tables, stepOf(tables, "next"))), 1000);
});

test("runs that go on raise the expectation of others, but not those on executors that do not respond", () => {
    const tables = pool();
    const runs = startRuns(tables, "long", { count: 20 });
    const next = stepOf(tables, "next");
    runs.forEach(run => (run.executor.reachable = false));
    learnFromActive(tables, 5000);
    assertNear(expectedRunMs(tables, next), 1000);
    runs.forEach(run => (run.executor.reachable = true));
    learnFromActive(tables, 5000);
    assert.ok(expectedRunMs(tables, next) > 2000);
});

test("a run without progress that has lasted longer than expected is not about to end", () => {
    const tables = pool();
    const [run] = startRuns(tables, "run", {});
    assert.ok(run !== undefined);
    assertNear(remainingRunMs(tables, run, 500), 1000);
    assert.ok(remainingRunMs(tables, run, 8000) > 1000);
    run.percent = 50;
    assertNear(remainingRunMs(tables, run, 8000), 8000);
});

test("the high estimate of the remaining time counts until the rate of a run is known", () => {
    const tables = pool();
    const [run] = startRuns(tables, "run", { checkpointing: true });
    assert.ok(run !== undefined);
    assert.ok(highRemainingRunMs(tables, run, 0) > 1.2 * remainingRunMs(tables, run, 0));
    run.percent = 50;
    assert.equal(highRemainingRunMs(tables, run, 500), remainingRunMs(tables, run, 500));
});

test("what was expected of a run is kept for its end", () => {
    const tables = pool();
    const [run, resumed] = startRuns(tables, "run", { count: 2 });
    assert.ok(run !== undefined && resumed !== undefined);
    recordPrediction(tables, run);
    const expected = { expectedMs: expectedRunMs(tables, run.task.step), highMs: highRunMs(tables, run.task.step) };
    learnFromEnd(tables, run, "done", 4000);
    assert.deepEqual(predictionOf(run), expected);
    const other = { ...resumed, resumedFrom: "checkpoint" };
    recordPrediction(tables, other);
    assert.equal(predictionOf(other), undefined);
});
