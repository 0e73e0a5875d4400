import assert from "node:assert/strict";
import test from "node:test";
import { orderSteps } from "@almondusher/scheduler/order-steps";
import { toId } from "@almondusher/fleet/ids";
import type { QueueName } from "@almondusher/jobs/ids";
import { addJob, createPool, place, QUEUE, record, step } from "./fixture.js";

const order = (nowMs: number, jobs: Parameters<typeof createPool>[0]["jobs"]): readonly string[] =>
    orderSteps(createPool({ executors: [record("a")], jobs: jobs ?? [] }), nowMs, () => true).map(
        ({ step: { job } }) => job.id,
    );

test("jobs that can still be on time are placed before late ones, those with the least slack first", () => {
    const jobs = [
        { id: "late", steps: [step()], arrivedAtMs: 0 },
        { id: "loose", steps: [step()], arrivedAtMs: 4900 },
        { id: "tight", steps: [step()], arrivedAtMs: 4000 },
    ];
    assert.deepEqual(order(5000, jobs), ["tight", "loose", "late"]);
});

test("long-running tasks are placed first, since their downtime cannot be made up", () => {
    const jobs = [
        { id: "short", steps: [step()] },
        { id: "lasting", steps: [step({ longRunning: true })] },
    ];
    assert.deepEqual(order(0, jobs), ["lasting", "short"]);
});

test("a task that lasts does not wait behind short tasks of a queue with a higher priority", () => {
    const low = toId<QueueName>("low");
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "short", steps: [step({ count: 4 })] }] });
    const queue = tables.queues.get(QUEUE);
    assert.ok(queue !== undefined);
    tables.queues.set(low, { ...queue, name: low, priority: 1 });
    addJob(tables, {
        id: "lasting",
        steps: [step({ longRunning: true, demand: { cpu: 4000, memoryMb: 100, gpu: 0 } })],
        queue: low,
    });
    assert.deepEqual(
        place(tables).map(({ task }) => task.step.job.id as string),
        ["lasting"],
    );
});

test("a single step is placed before a chain of steps that arrived with it, since it has less slack", () => {
    const jobs = [
        { id: "single", steps: [step({ estimateMs: 500 })] },
        { id: "chain", steps: [step({ estimateMs: 500 }), step({ estimateMs: 500, after: [0] })] },
    ];
    // The objective is the stretch (2) times the critical path, so the longer chain has more slack.
    assert.deepEqual(order(0, jobs), ["single", "chain"]);
});

test("steps of a backlog are not estimated again in each pass, but again once estimates may have changed", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "waiting", steps: [step({ estimateMs: 500 })] }],
    });
    let lookups = 0;
    const runTimes = tables.runTimes;
    const counted = {
        ...tables,
        get runTimes() {
            lookups++;
            return runTimes;
        },
    };
    orderSteps(counted, 0, () => true);
    const first = lookups;
    orderSteps(counted, 10, () => true);
    assert.equal(lookups, first);
    orderSteps(counted, 1000, () => true);
    assert.ok(lookups > first);
});

// More steps than the call stack has room for.
const CHAIN_LENGTH = 20_000;

test("a job whose steps form a long chain is ordered, and does not keep other jobs from being started", () => {
    const chain = Array.from({ length: CHAIN_LENGTH }, (unused, index) =>
        step({ after: index === 0 ? [] : [index - 1] }),
    );
    const tables = createPool({
        executors: [record("e1")],
        jobs: [
            { id: "chain", steps: chain },
            { id: "other", steps: [step()] },
        ],
    });
    assert.deepEqual(
        place(tables)
            .map(({ task }) => task.id)
            .toSorted(),
        ["chain.0.0.0", "other.0.0.0"],
    );
});

const READY_STEPS = 9000;
// A pass must not delay the next tick of the scheduler.
const MAX_ORDER_MS = 100;

test(`${READY_STEPS} steps of one job that are ready at once are ordered in less than ${MAX_ORDER_MS} ms`, () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "wide", steps: Array.from({ length: READY_STEPS }, () => step()) }],
    });
    const measure = (): number => {
        const startedAtMs = performance.now();
        assert.equal(orderSteps(tables, 0, () => true).length, READY_STEPS);
        return performance.now() - startedAtMs;
    };
    const bestMs = Math.min(...Array.from({ length: 5 }, measure));
    assert(bestMs < MAX_ORDER_MS, `${bestMs} ms`);
});
