import assert from "node:assert/strict";
import test from "node:test";
import { mergeProgress } from "@almondusher/scheduler/admit-job";
import { toId } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import type { Progress } from "@almondusher/jobs/progress";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import { planStops } from "../src/plan-stops.js";
import { addJob, createPool, place, receiveReport, record, step, UNLIMITED_BUDGET } from "./fixture.js";

const withDoneTask = (index: number): Progress => ({
    state: "running",
    steps: [{ occurrence: 0, step: 0, done: [index], failures: [], checkpoints: [] }],
});

const merge = (tables: PoolTables, progress: Progress): void => {
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    mergeProgress(tables, job, { progress, version: 2 });
};

const endOfSecondTask = [{ number: 1, task: "j1.0.0.1" as never, run: 1, how: "done", checkpoint: "" }] as const;

test("a job completes when its last tasks ended under two schedulers, each of which knows a part", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    receiveReport(tables, "a", { ended: endOfSecondTask });
    assert.equal(tables.jobs.get("j1" as never)?.state, "running");
    merge(tables, withDoneTask(0));
    assert.equal(tables.jobs.get("j1" as never)?.state, "completed");
    assert.equal(tables.jobs.get("j1" as never)?.dirty, true, "the completion must be stored");
});

test("a job whose stored progress lacks a task does not complete", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 3 })] }] });
    receiveReport(tables, "a", { ended: endOfSecondTask });
    merge(tables, withDoneTask(0));
    assert.equal(tables.jobs.get("j1" as never)?.state, "running");
});

test("a job that the previous scheduler knew as running stays so in stored progress", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    merge(tables, withDoneTask(0));
    assert.equal(tables.jobs.get("j1" as never)?.state, "running");
});

test("a job loaded with all of its tasks done but not completed is completed", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()], progress: withDoneTask(0) }],
    });
    assert.equal(tables.jobs.get("j1" as never)?.state, "completed");
    assert.equal(tables.jobs.get("j1" as never)?.dirty, true);
});

// It would be neither opened by a later attempt nor ever completed.
test("a job that cannot be opened is not half open", () => {
    const tables = createPool({ executors: [record("a")] });
    assert.throws(() => addJob(tables, { id: "j1", steps: undefined as never }));
    assert.equal(tables.jobs.size, 0);
    addJob(tables, { id: "j1", steps: [step()] });
    assert.equal(tables.jobs.get("j1" as never)?.occurrences.size, 1);
});

test("progress of an occurrence that the job does not have opens no tasks, and does not keep the job from completing", () => {
    const steps = [step()];
    const done = { step: 0, done: [0], failures: [], checkpoints: [] };
    const tables = createPool({
        executors: [record("e1")],
        jobs: [
            {
                id: "job",
                steps,
                progress: {
                    state: "running",
                    steps: [
                        { ...done, occurrence: 0 },
                        { ...done, occurrence: 7, done: [] },
                    ],
                },
            },
        ],
    });
    assert.deepEqual(place(tables), []);
    assert.equal(tables.jobs.get(toId<JobId>("job"))?.state, "completed");
});

(["completed", "failed", "cancelled"] as const).forEach(
    state =>
        void test(`a run of a job that the previous scheduler has stored as ${state} is stopped`, () => {
            const tables = createPool({
                executors: [record("a")],
                jobs: [{ id: "j1", steps: [step({ longRunning: true })], inherited: true }],
            });
            receiveReport(tables, "a", {
                active: [{ task: "j1.0.0.0" as never, run: 1, checkpoint: "", percent: 100, recentLoad: 0 }],
            });
            merge(tables, { state, steps: [] });
            const options = { nowMs: 1000, resendAfterMs: 400, budget: UNLIMITED_BUDGET };
            assert.deepEqual(
                planStops(tables, options).map(({ task }) => task.id as string),
                ["j1.0.0.0"],
            );
        }),
);
