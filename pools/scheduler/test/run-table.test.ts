import assert from "node:assert/strict";
import test from "node:test";
import { findTask, isWaiting, type PoolTables, type Run } from "@almondusher/scheduler/pool-tables";
import { confirmStart, markUnanswered } from "../src/executor-incarnation.js";
import { planStops } from "../src/plan-stops.js";
import { createPool, executorOf, place, receiveReport, record, step, UNLIMITED_BUDGET } from "./fixture.js";

const TASK = "j1.0.0.0" as never;
const LATE_RUN = 7;

const active = (run: number) => ({ task: TASK, run, checkpoint: "", percent: 10, recentLoad: undefined });

const stopped = (number: number, run: number) => ({ number, task: TASK, run, how: "stopped", checkpoint: "" }) as const;

const stop = (tables: PoolTables, nowMs: number): readonly Run[] =>
    planStops(tables, { nowMs, resendAfterMs: 400, budget: UNLIMITED_BUDGET });

// A start of an earlier life of the executor is carried out late, while a later run of the same task is placed there.
test("a task is started again after its executor lists a run of it other than the one placed there", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const [placed] = place(tables);
    assert.ok(placed !== undefined);
    markUnanswered(placed, 90);
    receiveReport(tables, "a", { active: [active(LATE_RUN)] }, 100);
    assert.deepEqual(
        stop(tables, 200)
            .map(({ number }) => number)
            .sort((left, right) => left - right),
        [LATE_RUN, placed.number],
        "both the run that the executor lists and the one whose start may still arrive are stopped",
    );
    placed.confirmedAtMs = 210;
    receiveReport(tables, "a", { ended: [stopped(1, LATE_RUN)] }, 300);
    const task = findTask(tables, TASK);
    assert.ok(task !== undefined);
    assert.ok(isWaiting(task), "a run that no executor has keeps the task");
    assert.equal(place(tables, 400).length, 1);
});

test("an executor with two runs of one task has room for neither twice", () => {
    const tables = createPool({
        executors: [record("a", { capacity: { cpu: 2000, memoryMb: 4000, gpu: 0 } })],
        jobs: [{ id: "j1", steps: [step()] }],
    });
    const [placed] = place(tables);
    assert.ok(placed !== undefined);
    confirmStart(tables, placed, 90);
    receiveReport(tables, "a", { active: [active(placed.number), active(LATE_RUN)] }, 100);
    assert.equal(executorOf(tables, "a").runs.size, 2);
    assert.equal(place(tables, 200).length, 0);
});
