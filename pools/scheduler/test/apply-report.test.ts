import assert from "node:assert/strict";
import test from "node:test";
import type { Progress } from "@almondusher/jobs/progress";
import { closeJob, mergeProgress } from "@almondusher/scheduler/admit-job";
import { progressOf } from "@almondusher/scheduler/job-progress";
import { findTask, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { confirmStart } from "../src/executor-incarnation.js";
import {
    addJob,
    createPool,
    executorOf,
    expireAfterPoll,
    receiveReport,
    place,
    record,
    RUN_LEASE_MS,
    step,
} from "./fixture.js";

const TASK = "j1.0.0.0" as never;

test("a repeated report of a failure counts as one attempt, also for the next lease holder", () => {
    const ended = [{ number: 1, task: TASK, run: 7, how: "failed", checkpoint: "" }] as const;
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    receiveReport(tables, "a", { ended });
    receiveReport(tables, "a", { ended });
    assert.equal(findTask(tables, TASK)?.failures, 1);
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    const successor = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()], progress: progressOf(job) }],
    });
    receiveReport(successor, "a", { ended });
    assert.equal(findTask(successor, TASK)?.failures, 1, "the stored progress contains the number of the counted run");
    assert.equal(successor.jobs.get("j1" as never)?.state, "running");
});

test("a successor counts the failures of a task in whatever order the executors report them", () => {
    const earlier = [{ number: 1, task: TASK, run: 7, how: "failed", checkpoint: "" }] as const;
    const later = [{ number: 1, task: TASK, run: 9, how: "failed", checkpoint: "" }] as const;
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step()], inherited: true }],
    });
    receiveReport(tables, "b", { ended: later });
    receiveReport(tables, "a", { ended: earlier });
    assert.equal(findTask(tables, TASK)?.failures, 2);
    assert.equal(tables.jobs.get("j1" as never)?.state, "failed");
});

test("failures that were counted by two holders of the lease are counted once each", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    receiveReport(tables, "a", { ended: [{ number: 1, task: TASK, run: 9, how: "failed", checkpoint: "" }] });
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    const failures = (runs: readonly number[]) => [
        { index: 0, attempts: runs.length, lastRun: Math.max(...runs), runs },
    ];
    const stored = (runs: readonly number[]): Progress => ({
        state: "running",
        steps: [{ occurrence: 0, step: 0, done: [], failures: failures(runs), checkpoints: [] }],
    });
    mergeProgress(tables, job, { progress: stored([9]), version: job.progressVersion + 1 });
    assert.equal(findTask(tables, TASK)?.failures, 1);
    mergeProgress(tables, job, { progress: stored([7]), version: job.progressVersion + 1 });
    assert.equal(findTask(tables, TASK)?.failures, 2);
});

test("a failure counted in a row of an earlier version is not counted again by the second holder that reads it", () => {
    const ended = [{ number: 1, task: TASK, run: 7, how: "failed", checkpoint: "" }] as const;
    const failures = [{ index: 0, attempts: 1, lastRun: 7 }];
    const earlier: Progress = {
        state: "running",
        steps: [{ occurrence: 0, step: 0, done: [], failures, checkpoints: [] }],
    };
    const first = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()], progress: earlier }],
    });
    const job = first.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    const second = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()], progress: progressOf(job) }],
    });
    receiveReport(second, "a", { ended });
    assert.equal(findTask(second, TASK)?.failures, 1);
});

test("a job fails after its last attempt and completes only when every task is done", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "j1", steps: [step()] },
            { id: "j2", steps: [step({ count: 2 })] },
        ],
    });
    receiveReport(tables, "a", {
        ended: [
            { number: 1, task: TASK, run: 7, how: "failed", checkpoint: "" },
            { number: 2, task: TASK, run: 8, how: "failed", checkpoint: "" },
            { number: 3, task: "j2.0.0.0" as never, run: 9, how: "done", checkpoint: "" },
        ],
    });
    assert.equal(tables.jobs.get("j1" as never)?.state, "failed");
    assert.equal(tables.jobs.get("j2" as never)?.state, "running");
    receiveReport(tables, "a", {
        ended: [{ number: 4, task: "j2.0.0.1" as never, run: 10, how: "done", checkpoint: "" }],
    });
    assert.equal(tables.jobs.get("j2" as never)?.state, "completed");
});

test("a run that the previous lease holder started is adopted, and its task is not started again", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step()], inherited: true }],
    });
    receiveReport(tables, "a", {
        active: [{ task: TASK, run: 5, checkpoint: "c1", percent: 40, recentLoad: undefined }],
    });
    assert.equal(place(tables).length, 0);
    assert.equal(findTask(tables, TASK)?.checkpoint, "c1");
});

test("a run of an unknown job is orphaned and blocks starts on its executor until it is gone", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    receiveReport(tables, "a", {
        active: [{ task: "gone.0.0.0" as never, run: 5, checkpoint: "", percent: 0, recentLoad: undefined }],
    });
    assert.equal(executorOf(tables, "a").orphanedRuns.length, 1);
    assert.equal(place(tables).length, 0);
    receiveReport(tables, "a", {}, 200);
    assert.equal(place(tables).length, 1);
});

test("a report requested before a start was confirmed does not remove its run", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const run = place(tables, 90)[0];
    assert.ok(run !== undefined);
    receiveReport(tables, "a", {}, 100);
    assert.equal(executorOf(tables, "a").runs.size, 1, "the start request has no response yet");
    run.confirmedAtMs = 110;
    receiveReport(tables, "a", {}, 105);
    assert.equal(executorOf(tables, "a").runs.size, 1);
    receiveReport(tables, "a", {}, 120);
    assert.equal(executorOf(tables, "a").runs.size, 0, "the run is reported neither as active nor as ended");
});

test("runs on an unreachable executor are given up once their lease expired on the slowest clock, and not before", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    place(tables).forEach(run => confirmStart(tables, run, 0));
    const executor = executorOf(tables, "a");
    executor.clock = { clockMs: 1000, heardAtMs: 0 };
    executor.leaseUntilMs = 5000;
    executor.reachable = false;
    assert.equal(expireAfterPoll(tables, executor, 4100).length, 0);
    assert.equal(expireAfterPoll(tables, executor, 4250).length, 1);
    executor.reachable = true;
    assert.equal(place(tables, 4250).length, 1);
});

// A successor that may not extend leases yet, or whose first extension is not sent, knows no end of a lease that it has granted.
test("a run adopted from the previous holder is kept on an unreachable executor until that holder's lease has expired", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step()], inherited: true }],
    });
    receiveReport(tables, "a", {
        active: [{ task: TASK, run: 5, checkpoint: "", percent: 40, recentLoad: undefined }],
    });
    const executor = executorOf(tables, "a");
    executor.reachable = false;
    assert.equal(expireAfterPoll(tables, executor, 300).length, 0);
    assert.equal(place(tables, 300).length, 0, "the run is still active");
    assert.equal(expireAfterPoll(tables, executor, 105 + RUN_LEASE_MS).length, 0, "the clock may be slow");
    assert.equal(expireAfterPoll(tables, executor, 105 + RUN_LEASE_MS * 1.1).length, 1);
    assert.equal(place(tables, 6000).length, 1);
});

test("a scheduler that was suspended does not start a task again before it has asked for the end of its run", () => {
    const tables = createPool({ executors: [record("a"), record("b")], jobs: [{ id: "j1", steps: [step()] }] });
    const run = place(tables)[0];
    assert.ok(run !== undefined);
    confirmStart(tables, run, 0);
    const { executor } = run;
    executor.clock = { clockMs: 1000, heardAtMs: 0 };
    executor.leaseUntilMs = 5000;
    executor.reachable = false;
    assert.equal(expireAfterPoll(tables, executor, 1500).length, 0);
    assert.equal(place(tables, 9000).length, 0, "the last poll was sent before the end of the lease");
    const ended = [{ number: 1, task: TASK, run: run.number, how: "done", checkpoint: "" }] as const;
    receiveReport(tables, executor.id, { clockMs: 10_000, ended }, 9000);
    assert.equal(place(tables, 9100).length, 0);
    assert.equal(tables.jobs.get("j1" as never)?.state, "completed");
});

test("another start time under the same id ends all runs and resets the number of the last run end", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    place(tables).forEach(run => confirmStart(tables, run, 50));
    receiveReport(tables, "a", { ended: [{ number: 9, task: TASK, run: 65_537, how: "stopped", checkpoint: "" }] });
    const executor = executorOf(tables, "a");
    assert.equal(executor.lastAppliedEnd, 9);
    receiveReport(tables, "a", { startedAtMs: 2 });
    assert.equal(executor.runs.size, 0);
    assert.equal(executor.lastAppliedEnd, 0);
    assert.equal(place(tables).length, 2);
});

test("the completed run of one gang member completes the whole gang", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step({ count: 3, gang: true })] }],
    });
    const runs = place(tables);
    receiveReport(tables, "a", {
        ended: [{ number: 1, task: TASK, run: runs[0]?.number ?? 0, how: "done", checkpoint: "" }],
    });
    assert.equal(tables.jobs.get("j1" as never)?.state, "completed");
});

test("an executor on which tasks fail in a row gets no starts for a while", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 4 })] }] });
    receiveReport(tables, "a", {
        ended: [0, 1].map(index => ({
            number: index + 1,
            task: `j1.0.0.${index}` as never,
            run: 5,
            how: "failed" as const,
            checkpoint: "",
        })),
    });
    assert.equal(place(tables, 200).length, 0);
    assert.equal(place(tables, 3000).length, 4);
});

test("a finished job is not opened again by a read of its rows from before its end", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    receiveReport(tables, "a", { ended: [{ number: 1, task: TASK, run: 7, how: "done", checkpoint: "" }] });
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    closeJob(tables, job);
    addJob(tables, { id: "j1", steps: [step()] });
    assert.equal(place(tables).length, 0);
});

/** An executor whose three long-running tasks are in service from 1,000 ms on and fail together. */
const failInService = (failedAtMs: number): PoolTables => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step({ count: 3, longRunning: true })] }],
    });
    const runs = place(tables).map(({ task, number }) => ({ task: task.id, run: number, checkpoint: "" }));
    const active = runs.map(run => ({ ...run, percent: 100, recentLoad: undefined }));
    receiveReport(tables, "a", { active }, 1000);
    const ended = runs.map((run, index) => ({ ...run, number: index + 1, how: "failed" as const }));
    receiveReport(tables, "a", { clockMs: failedAtMs, ended }, failedAtMs);
    return tables;
};

test("a long-running task does not wait because tasks that were in service for long have failed on its executor", () =>
    assert.equal(place(failInService(20_000), 20_010).length, 3));

test("an executor on which long-running tasks fail as soon as they are in service gets no starts for a while", () =>
    assert.equal(place(failInService(1500), 1510).length, 0));
