import assert from "node:assert/strict";
import test from "node:test";
import fc from "fast-check";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId } from "@almondusher/jobs/ids";
import type { Resources, Step } from "@almondusher/jobs/job";
import { toId } from "@almondusher/fleet/ids";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import { forgetRun, markForStop } from "@almondusher/scheduler/run-table";
import { createBusyPool } from "./busy-pool.js";
import { addJob, createPool, executorOf, limitedBudget, place, record, step, UNLIMITED_BUDGET } from "./fixture.js";

const CASES = Number(process.env["CASES"] ?? 300);
const SEED = Number(process.env["SEED"] ?? 20_261_206);

// A task that lasts and has capacity may wait for this time, in milliseconds.
const MAX_WAIT_MS = 3000;
const FILL_MS = 400;

const cpu = (amount: number): Resources => ({ cpu: amount, memoryMb: 1, gpu: 0 });
const short = (change: Partial<Step> = {}): Step => step({ count: 20, estimateMs: 1000, demand: cpu(1000), ...change });
const lasting = (change: Partial<Step> = {}): Step => step({ longRunning: true, demand: cpu(4000), ...change });

interface Contest {
    readonly executors?: readonly ExecutorRecord[];
    readonly backlog?: readonly Step[];
    readonly lasting: Step;
    readonly reportsProgress?: boolean;
}

/** Lets a step that lasts arrive at a pool that is full of short work; returns the time until all of its tasks run. */
const waitOf = ({ executors, backlog, lasting: arriving, reportsProgress }: Contest): number => {
    const tables = createPool({ executors: executors ?? [record("a"), record("b"), record("c")] });
    const pool = createBusyPool({ tables, backlog: backlog ?? [short()], reportsProgress: reportsProgress ?? true });
    pool.playUntil(() => false, FILL_MS);
    const arrivedAtMs = pool.nowMs();
    addJob(tables, { id: "lasting", steps: [arriving], arrivedAtMs });
    pool.playUntil(() => pool.lastingRuns().length === arriving.count, 2 * MAX_WAIT_MS);
    return pool.lastingRuns().length === arriving.count ? pool.nowMs() - arrivedAtMs : Infinity;
};

const assertWaitsBriefly = (contest: Contest): void => {
    const waitedMs = waitOf(contest);
    assert.ok(waitedMs <= MAX_WAIT_MS, `waited for ${waitedMs} ms`);
};

test("a task that lasts and needs the room of several short tasks does not wait while those follow each other", () =>
    assertWaitsBriefly({ lasting: lasting() }));

test("it does not wait where executors report no progress of the short tasks", () =>
    assertWaitsBriefly({ lasting: lasting(), reportsProgress: false }));

test("it does not wait for memory", () =>
    assertWaitsBriefly({
        backlog: [short({ demand: { cpu: 1, memoryMb: 1000, gpu: 0 } })],
        lasting: lasting({ demand: { cpu: 1, memoryMb: 3500, gpu: 0 } }),
    }));

test("it does not wait for GPUs", () =>
    assertWaitsBriefly({
        executors: ["a", "b"].map(id => record(id, { capacity: { cpu: 4000, memoryMb: 4000, gpu: 4 } })),
        backlog: [short({ demand: { cpu: 1, memoryMb: 1, gpu: 1 } })],
        lasting: lasting({ demand: { cpu: 1, memoryMb: 1, gpu: 3 } }),
    }));

test("it does not wait where short tasks are gangs", () =>
    assertWaitsBriefly({ backlog: [short({ count: 3, gang: true })], lasting: lasting() }));

test("a gang that lasts does not wait while short tasks take each part of its room", () =>
    assertWaitsBriefly({ lasting: lasting({ count: 3, gang: true }) }));

test("tasks that last, one on each executor, do not wait while short tasks take each part of their room", () =>
    assertWaitsBriefly({ lasting: lasting({ count: 3, maxPerExecutor: 1, demand: cpu(3000) }) }));

test("a task that lasts gets room on the executor with its label", () =>
    assertWaitsBriefly({
        executors: [record("a"), record("b", { labels: ["wanted"] })],
        lasting: lasting({ requiredLabel: "wanted" }),
    }));

test("a task that lasts does not wait while the order window is full of starts of short tasks", () => {
    const tables = createPool({ executors: [record("a"), record("b")], jobs: [{ id: "short", steps: [short()] }] });
    const placeOne = (): string | undefined =>
        placeTasks(tables, { nowMs: 0, budget: limitedBudget(1), executorsWithTicket: () => undefined })[0]?.task.step
            .job.id;
    assert.equal(placeOne(), "short");
    addJob(tables, { id: "lasting", steps: [lasting()] });
    assert.equal(placeOne(), "lasting");
});

test("a gang that lasts keeps the room of its members while they are stopped because one has failed", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "lasting", steps: [lasting({ count: 2, gang: true })] }],
    });
    const [failed, other] = place(tables);
    assert.ok(failed !== undefined && other !== undefined);
    addJob(tables, { id: "short", steps: [short()] });
    forgetRun(failed);
    markForStop(other, "gang-incomplete");
    assert.equal(place(tables).length, 0);
    forgetRun(other);
    assert.deepEqual(
        place(tables).map(({ task }) => task.step.job.id as string),
        ["lasting", "lasting"],
    );
});

test("no more room is kept than a task that waits needs", () => {
    const tables = createPool({
        executors: ["a", "b", "c"].map(id => record(id)),
        jobs: [{ id: "first", steps: [short({ count: 9 })] }],
    });
    place(tables);
    addJob(tables, { id: "lasting", steps: [lasting({ demand: cpu(3500) })] });
    addJob(tables, { id: "short", steps: [short({ demand: cpu(500) })] });
    const startsAfterEndOn = (id: string): readonly string[] => {
        const [run] = executorOf(tables, id).runs.values();
        assert.ok(run !== undefined);
        forgetRun(run);
        run.task.done = true;
        return place(tables)
            .map(({ task, executor }) => `${task.step.job.id} on ${executor.id}`)
            .toSorted();
    };
    // Two executors are full, the third one has 3,000 free of 4,000.
    assert.equal(place(tables).length, 0);
    assert.deepEqual(startsAfterEndOn("a"), ["short on a", "short on a"]);
    assert.deepEqual(startsAfterEndOn("c"), ["lasting on c", "short on c"]);
});

test("a task that lasts and fits on no executor keeps no room", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "lasting", steps: [lasting({ demand: cpu(5000) })] },
            { id: "short", steps: [short()] },
        ],
    });
    assert.equal(place(tables).length, 4);
});

test("a task that lasts and may not start yet keeps no room", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            { id: "old", steps: [lasting()], inherited: true },
            { id: "short", steps: [short()] },
        ],
    });
    tables.isProgressCurrent = false;
    assert.equal(place(tables).length, 4);
});

test("a task that lasts keeps room only where it has a ticket", () => {
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "first", steps: [short({ count: 8 })] }],
    });
    place(tables);
    addJob(tables, { id: "lasting", steps: [lasting()] });
    addJob(tables, { id: "short", steps: [short()] });
    ["a", "b"].forEach(id => {
        const [run] = executorOf(tables, id).runs.values();
        assert.ok(run !== undefined);
        forgetRun(run);
        run.task.done = true;
    });
    const runs = placeTasks(tables, {
        nowMs: 0,
        budget: UNLIMITED_BUDGET,
        executorsWithTicket: ({ job }) => (job.id === "lasting" ? new Set([toId<ExecutorId>("b")]) : undefined),
    });
    assert.deepEqual(
        runs.map(({ executor }) => executor.id as string),
        ["a"],
    );
});

const amount = fc.record({
    cpu: fc.integer({ min: 1, max: 40 }).map(hundreds => 100 * hundreds),
    memoryMb: fc.integer({ min: 1, max: 40 }).map(hundreds => 100 * hundreds),
    gpu: fc.constant(0),
});

const contests = fc.record({
    executors: fc.integer({ min: 1, max: 4 }).map(count => ["a", "b", "c", "d"].slice(0, count).map(id => record(id))),
    backlog: fc.array(
        fc
            .record({
                count: fc.integer({ min: 1, max: 8 }),
                demand: amount,
                hundredMs: fc.integer({ min: 1, max: 25 }),
            })
            .map(({ count, demand, hundredMs }) => short({ count, demand, estimateMs: 100 * hundredMs })),
        { minLength: 1, maxLength: 3 },
    ),
    lasting: amount.map(demand => lasting({ demand })),
    reportsProgress: fc.boolean(),
});

test(`a task that lasts waits for at most ${MAX_WAIT_MS} ms for room that tasks of up to 2,500 ms hold (seed ${SEED})`, () =>
    fc.assert(fc.property(contests, assertWaitsBriefly), { seed: SEED, numRuns: CASES }));
