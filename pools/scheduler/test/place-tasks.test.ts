import assert from "node:assert/strict";
import test from "node:test";
import { toId } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import { mergeProgress } from "@almondusher/scheduler/admit-job";
import { beginIncarnation } from "@almondusher/scheduler/executor-incarnation";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import { recordLeaseHeld, type PoolTables, type Run } from "@almondusher/scheduler/pool-tables";
import { forgetRun, giveUpRun, markForStop } from "@almondusher/scheduler/run-table";
import { UNLIMITED_BUDGET, createPool, executorOf, limitedBudget, place, record, step } from "./fixture.js";

/** Places tasks and counts the searches for an executor. */
const placeCountingSearches = (tables: PoolTables): { readonly runs: readonly Run[]; readonly searches: number } => {
    let searches = 0;
    const runs = placeTasks(tables, {
        nowMs: 0,
        budget: UNLIMITED_BUDGET,
        executorsWithTicket: () => {
            searches++;
            return undefined;
        },
    });
    return { runs, searches };
};

test("resources of a run that is being stopped or has an unanswered start are not reassigned", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "j1", steps: [step({ count: 4 })] },
            { id: "j2", steps: [step()] },
        ],
    });
    const runs = place(tables);
    assert.equal(runs.length, 4);
    const [first, second] = runs;
    assert.ok(first !== undefined && second !== undefined);
    first.phase = "unsettled";
    markForStop(second, "cancelled");
    assert.equal(place(tables).length, 0);
    forgetRun(first);
    first.task.done = true;
    assert.equal(place(tables).length, 1, "the resources are free once the run is gone");
});

test("the limit of tasks per executor counts the runs that are already present", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step({ count: 4, maxPerExecutor: 1 })] }],
    });
    assert.equal(place(tables).length, 2);
    assert.equal(place(tables).length, 0, "a second pass must count the runs of the first");
});

test("executors that drain, are evacuated, not in the lease row, not read yet or hold orphaned runs get no starts", () => {
    const tables = createPool({
        executors: [record("a", { draining: true }), record("b"), record("c"), record("d"), record("e")],
        jobs: [{ id: "j1", steps: [step()] }],
    });
    executorOf(tables, "b").evacuation = { id: "1-1", byMs: 0 };
    executorOf(tables, "c").listedInLease = false;
    executorOf(tables, "d").reconciled = false;
    executorOf(tables, "e").orphanedRuns = [
        { task: "x.0.0.0" as never, number: 1, stopSentAtMs: undefined, stopsSent: 0 },
    ];
    assert.equal(place(tables).length, 0);
    executorOf(tables, "e").orphanedRuns = [];
    assert.equal(place(tables).length, 1);
});

test("a required label is respected, and the rack that holds the data is preferred", () => {
    const tables = createPool({
        executors: [record("a", { labels: ["a", "r1-1"] }), record("b", { labels: ["b", "r1-2"] })],
        jobs: [
            { id: "j1", steps: [step({ requiredLabel: "b" })] },
            { id: "j2", steps: [step({ dataRack: "r1-1" })] },
        ],
    });
    const placed = new Map(place(tables).map(run => [run.task.step.job.id as string, run.executor.id as string]));
    assert.deepEqual(Object.fromEntries(placed), { j1: "b", j2: "a" });
});

test("a gang starts completely and with one run number, or not at all", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step({ count: 5, gang: true })] }],
    });
    assert.equal(place(tables).length, 0, "four of five fit, so none starts");
    const larger = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step({ count: 5, gang: true })] }],
    });
    const runs = place(larger);
    assert.equal(runs.length, 5);
    assert.equal(new Set(runs.map(run => run.number)).size, 1);
});

test("a gang that prefers a single rack gets one if it fits there", () => {
    const tables = createPool({
        executors: [
            record("a", { labels: ["r1-1"] }),
            record("b", { labels: ["r1-2"] }),
            record("c", { labels: ["r1-2"] }),
        ],
        jobs: [{ id: "j1", steps: [step({ count: 6, gang: true, sameRack: true })] }],
    });
    assert.deepEqual(new Set(place(tables).map(run => run.executor.rack)), new Set(["r1-2"]));
});

test("an inherited job starts no runs until the runs of every executor were read or the leases have expired", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "old", steps: [step()], inherited: true }],
    });
    tables.inheritedWaitUntilMs = 5000;
    executorOf(tables, "b").reconciled = false;
    assert.equal(place(tables, 4000).length, 0);
    assert.equal(place(tables, 5000).length, 1);
});

test("a step starts only after the steps that it depends on", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step(), step({ after: [0] })] }],
    });
    assert.deepEqual(
        place(tables).map(run => run.task.id as string),
        ["j1.0.0.0"],
    );
});

test("an executor on which a task failed is chosen for it only if there is no other", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step()] }],
    });
    const task = tables.jobs.get("j1" as never)?.occurrences.get(0)?.[0]?.tasks[0];
    task?.failedOn.add("a" as never);
    assert.equal(place(tables)[0]?.executor.id, "b");
});

test("a job that was read after the lease may have been lost starts only after a renewal shows that the lease is held", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()], readAtMs: 1 }],
        leaseHeldAtMs: 0,
    });
    assert.equal(place(tables).length, 0);
    recordLeaseHeld(tables, 1);
    assert.equal(place(tables).length, 1);
});

// The answer to a renewal may come seconds after the store has applied it, and another process may hold the lease by then.
test("a renewal that was sent before a job was read does not show that the lease was held when it was read", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()], readAtMs: 2300 }],
        leaseHeldAtMs: 0,
    });
    recordLeaseHeld(tables, 100);
    assert.equal(place(tables).length, 0);
    recordLeaseHeld(tables, 2310);
    assert.equal(place(tables).length, 1);
});

// The holder gave the run up by time alone, and a successor that reached the executor had adopted it.
test("a task whose run was given up starts again only after a renewal that was sent later", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step()] }],
        leaseHeldAtMs: 300,
    });
    const [run] = place(tables);
    assert.ok(run !== undefined);
    giveUpRun(run, "lease-expired", 4400);
    recordLeaseHeld(tables, 4399);
    assert.equal(place(tables, 4500).length, 0);
    recordLeaseHeld(tables, 4400);
    assert.equal(place(tables, 4600).length, 1);
});

test("a gang of which one run was given up starts again only after a renewal that was sent later", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step({ gang: true, count: 2 })] }],
        leaseHeldAtMs: 300,
    });
    const [first, second] = place(tables);
    assert.ok(first !== undefined && second !== undefined);
    giveUpRun(first, "lease-expired", 4400);
    forgetRun(second);
    assert.equal(place(tables, 4500).length, 0);
    recordLeaseHeld(tables, 4400);
    assert.equal(place(tables, 4600).length, 2);
});

// The executor has forgotten the fencing token of a successor, which may have read it before and started the tasks elsewhere.
test("an executor that has restarted gets no starts until a renewal that was sent later", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()] }],
        leaseHeldAtMs: 300,
    });
    const executor = executorOf(tables, "a");
    beginIncarnation(executor, 2000, "registry");
    executor.reconciled = true;
    assert.equal(place(tables, 2100).length, 0);
    recordLeaseHeld(tables, 2000);
    assert.equal(place(tables, 2200).length, 1);
});

// It may have restarted since, and forgotten the token of a successor that had read it.
test("an executor that has not answered lately gets no starts while a successor may exist", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step({ count: 8 })] }],
        leaseHeldAtMs: 1000,
    });
    executorOf(tables, "b").answeredRequestAtMs = 4000;
    const runs = place(tables, 5000);
    assert.ok(runs.length > 0);
    assert.deepEqual(
        runs.filter(({ executor }) => executor.id !== "b"),
        [],
    );
    assert.equal(place(tables, 8000).length, 0);
    recordLeaseHeld(tables, 8000);
    assert.ok(place(tables, 8010).length > 0);
});

test("a full pool is searched once per step, not once per task, so that a burst does not exhaust the CPU", () => {
    const wide = { steps: [step({ count: 50, demand: { cpu: 3000, memoryMb: 1, gpu: 0 } })] };
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [
            { id: "first", ...wide },
            { id: "second", ...wide },
        ],
    });
    const { runs, searches } = placeCountingSearches(tables);
    assert.equal(runs.length, 2);
    assert.ok(searches <= 4, `${searches} searches`);
});

test("an inherited job starts no runs before its current progress was read, or a done task could run again", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "old", steps: [step({ count: 2 })], inherited: true },
            { id: "new", steps: [step()] },
        ],
    });
    tables.isProgressCurrent = false;
    assert.deepEqual(
        place(tables).map(run => run.task.step.job.id as string),
        ["new"],
    );
    const old = tables.jobs.get(toId<JobId>("old"));
    assert.ok(old !== undefined);
    // The previous lease holder has stored the end of the first task in the meantime.
    const done = { occurrence: 0, step: 0, done: [0], failures: [], checkpoints: [] };
    mergeProgress(tables, old, { progress: { state: "running", steps: [done] }, version: 2 });
    tables.isProgressCurrent = true;
    assert.deepEqual(
        place(tables).map(run => run.task.id as string),
        ["old.0.0.1"],
    );
});

test("a job that the previous lease holder finished is closed, and an older version of its progress is ignored", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "old", steps: [step()], inherited: true }],
    });
    const old = tables.jobs.get(toId<JobId>("old"));
    assert.ok(old !== undefined);
    mergeProgress(tables, old, { progress: { state: "completed", steps: [] }, version: 1 });
    assert.equal(tables.jobs.size, 1);
    mergeProgress(tables, old, { progress: { state: "completed", steps: [] }, version: 2 });
    assert.equal(tables.jobs.size, 0);
});

test("steps that fit on no executor are not searched for, so that a backlog does not exhaust the CPU", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: Array.from({ length: 100 }, (unused, index) => ({
            id: `job-${index}`,
            steps: [step({ demand: { cpu: 3000, memoryMb: 1, gpu: 0 } })],
        })),
    });
    const { runs, searches } = placeCountingSearches(tables);
    assert.equal(runs.length, 2);
    assert.equal(searches, 2);
});

test("tasks beyond the budget keep waiting in the order of their steps, and a gang is not split by it", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [
            { id: "j1", steps: [step({ count: 3 })], arrivedAtMs: 0 },
            { id: "j2", steps: [step({ count: 2, gang: true })], arrivedAtMs: 10_000 },
            { id: "j3", steps: [step()], arrivedAtMs: 20_000 },
        ],
    });
    const placeWithin = (orders: number): readonly string[] =>
        placeTasks(tables, { nowMs: 0, budget: limitedBudget(orders), executorsWithTicket: () => undefined }).map(
            ({ task }) => task.id as string,
        );
    assert.deepEqual(placeWithin(0), []);
    assert.deepEqual(placeWithin(2), ["j1.0.0.0", "j1.0.0.1"]);
    assert.ok(
        [...executorOf(tables, "a").runs.keys(), ...executorOf(tables, "b").runs.keys()].every(
            id => !id.startsWith("j2"),
        ),
        "no run was recorded for a waiting task",
    );
    assert.deepEqual(placeWithin(2), ["j1.0.0.2", "j2.0.0.0", "j2.0.0.1"]);
    assert.deepEqual(placeWithin(2), ["j3.0.0.0"]);
});

test("steps that fit on no executor are not ranked in each pass, so that a backlog does not exhaust the CPU", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: Array.from({ length: 100 }, (unused, index) => ({
            id: `job-${index}`,
            steps: [step({ demand: { cpu: 3000, memoryMb: 1, gpu: 0 } })],
        })),
    });
    assert.equal(place(tables).length, 1);
    let lookups = 0;
    const { runTimes } = tables;
    const counted = {
        ...tables,
        get runTimes() {
            lookups++;
            return runTimes;
        },
    };
    assert.equal(place(counted, 1000).length, 0);
    assert.equal(lookups, 0);
});
