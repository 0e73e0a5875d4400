import assert from "node:assert/strict";
import test from "node:test";
import { endJob } from "@almondusher/scheduler/apply-report";
import { confirmStart } from "@almondusher/scheduler/executor-incarnation";
import { countPendingJobs } from "@almondusher/scheduler/job-progress";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import { forgetRun } from "@almondusher/scheduler/run-table";
import { createPool, place, QUEUE, receiveReport, record, step } from "./fixture.js";

const poolWithJobs = (...ids: readonly string[]): PoolTables =>
    createPool({ executors: [record("a")], jobs: ids.map(id => ({ id, steps: [step()] })) });

const pendingJobs = (tables: PoolTables): number => countPendingJobs(tables).get(QUEUE) ?? 0;

test("jobs whose starts were rejected or got no answer stay pending", () => {
    const tables = poolWithJobs("j1", "j2", "j3");
    const [rejected, unanswered, accepted] = place(tables);
    assert.ok(rejected !== undefined && unanswered !== undefined && accepted !== undefined);
    assert.equal(pendingJobs(tables), 3, "a start that was only sent has not begun");
    forgetRun(rejected);
    unanswered.phase = "unsettled";
    confirmStart(tables, accepted, 10);
    assert.equal(pendingJobs(tables), 2);
});

test("a job is no longer pending once an executor lists a run or an end of it", () => {
    const tables = poolWithJobs("j1", "j2", "j3", "j4");
    const [listed, ended] = place(tables);
    assert.ok(listed !== undefined && ended !== undefined);
    const active = { checkpoint: "", percent: 0, recentLoad: undefined };
    receiveReport(tables, "a", {
        active: [
            { ...active, task: listed.task.id, run: listed.number },
            // A run of the previous scheduler.
            { ...active, task: "j3.0.0.0" as never, run: 1 },
        ],
        ended: [{ number: 1, task: ended.task.id, run: ended.number, how: "failed", checkpoint: "" }],
    });
    assert.equal(pendingJobs(tables), 1, "only j4 has not begun");
});

test("a job cancelled before its first start is not pending", () => {
    const tables = poolWithJobs("j1", "j2");
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    endJob(job, "cancelled");
    assert.equal(pendingJobs(tables), 1);
});
