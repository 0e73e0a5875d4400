import assert from "node:assert/strict";
import test from "node:test";
import type { Resources, Step } from "@almondusher/jobs/job";
import { allRuns } from "@almondusher/scheduler/run-table";
import { createBusyPool } from "./busy-pool.js";
import { addJob, createPool, place, record, step } from "./fixture.js";

// A task whose turn has come may wait for this time while most of its pool is free, in milliseconds.
const MAX_WAIT_MS = 3000;
const PASS_INTERVAL_MS = 50;

const cpu = (amount: number): Resources => ({ cpu: amount, memoryMb: 1, gpu: 0 });
const short = (change: Partial<Step> = {}): Step => step({ demand: cpu(1000), ...change });
const lasting = (change: Partial<Step> = {}): Step => step({ longRunning: true, demand: cpu(4000), ...change });

/** How long a short task waits in a pool of four VMs of which each of some has one finite task of 7 s. */
const waitOfShortTask = (arriving: Step, finiteTasks: number): number => {
    const tables = createPool({
        executors: ["a", "b", "c", "d"].map(id => record(id)),
        jobs: [{ id: "finite", steps: [short({ count: finiteTasks, estimateMs: 7000, maxPerExecutor: 1 })] }],
    });
    place(tables);
    allRuns(tables).forEach(run => (run.phase = "running"));
    addJob(tables, { id: "lasting", steps: [arriving] });
    addJob(tables, { id: "short", steps: [short({ estimateMs: 200 })] });
    for (let nowMs = 0; nowMs < 7000; nowMs += PASS_INTERVAL_MS) {
        allRuns(tables).forEach(run => (run.percent = Math.round(nowMs / 70)));
        place(tables, nowMs);
        if (allRuns(tables).some(({ task }) => task.step.job.id === "short")) {
            return nowMs;
        }
    }
    return Infinity;
};

// 15 of 16 cores are free, or 12 of 16.
test("a gang that lasts and waits for one finite task does not keep a free pool from short tasks", () => {
    const waitedMs = waitOfShortTask(lasting({ count: 4, gang: true }), 1);
    assert.ok(waitedMs <= MAX_WAIT_MS, `waited for ${waitedMs} ms`);
});

test("tasks that last and wait for finite tasks do not keep a free pool from short tasks", () => {
    const waitedMs = waitOfShortTask(lasting({ count: 4 }), 4);
    assert.ok(waitedMs <= MAX_WAIT_MS, `waited for ${waitedMs} ms`);
});

test("tasks that last and fit twice on an executor do not wait for each other where each executor may have one", () => {
    const ids = ["a", "b", "c", "d", "e", "f"];
    const tables = createPool({ executors: ids.map(id => record(id)) });
    const pool = createBusyPool({
        tables,
        backlog: [short({ count: 20, estimateMs: 2500, demand: cpu(1000) })],
        reportsProgress: true,
    });
    pool.playUntil(() => false, 400);
    const arrivedAtMs = pool.nowMs();
    addJob(tables, {
        id: "lasting",
        steps: [lasting({ count: 6, maxPerExecutor: 1, demand: cpu(2000) })],
        arrivedAtMs,
    });
    pool.playUntil(() => pool.lastingRuns().length === 6, 10_000);
    const waitedMs = pool.nowMs() - arrivedAtMs;
    assert.ok(waitedMs <= MAX_WAIT_MS, `waited for ${waitedMs} ms`);
});
