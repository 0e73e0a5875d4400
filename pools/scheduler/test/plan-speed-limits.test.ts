import assert from "node:assert/strict";
import test from "node:test";
import { planSpeedLimits, type SpeedLimitHistory } from "../src/plan-speed-limits.js";
import type { Run } from "@almondusher/scheduler/pool-tables";
import { createPool, place, record, step } from "./fixture.js";

const createServingAndBackfill = (): {
    readonly plan: (loadMs: number, nowMs: number) => readonly number[];
    readonly backfill: Run;
} => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "serves", steps: [step({ longRunning: true, latencyTargetMs: 100 })] },
            { id: "fills", steps: [step({ longRunning: true, backfill: true })] },
        ],
    });
    const runs = place(tables);
    runs.forEach(run => (run.phase = "running"));
    const serving = runs.find(run => run.task.step.job.id === ("serves" as never));
    const backfill = runs.find(run => run.task.step.job.id === ("fills" as never));
    assert.ok(serving !== undefined && backfill !== undefined);
    const history: SpeedLimitHistory = new Map();
    return {
        backfill,
        plan: (loadMs, nowMs) => {
            serving.recentLoad = loadMs;
            const changes = planSpeedLimits(tables, history, nowMs);
            changes.forEach(({ run, percent }) => (run.speedLimitPercent = percent));
            return changes.map(({ percent }) => percent);
        },
    };
};

test("backfill is paused before a task on the same executor misses its latency target", () => {
    const { plan, backfill } = createServingAndBackfill();
    assert.deepEqual(plan(60, 0), []);
    assert.deepEqual(plan(85, 100), [0]);
    assert.equal(backfill.speedLimitPercent, 0);
});

test("the speed limit rises step by step, only well below the target and not right after a change", () => {
    const { plan } = createServingAndBackfill();
    plan(120, 0);
    assert.deepEqual(plan(30, 1000), [], "too soon");
    assert.deepEqual(plan(60, 3000), [], "too close to the target");
    assert.deepEqual(plan(30, 3000), [25]);
    assert.deepEqual(plan(30, 4000), []);
    assert.deepEqual(plan(30, 5000), [50]);
});
