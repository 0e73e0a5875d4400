import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { toId } from "@almondusher/fleet/ids";
import type { Queue } from "@almondusher/jobs/configuration";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId, JobId, StepId } from "@almondusher/jobs/ids";
import { initialProgress } from "@almondusher/jobs/progress";
import { toTerms, type QueueTerms } from "@almondusher/jobs/queue-terms";
import type { AdviceClient } from "@almondusher/platform-adapter/advice-client";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { beginIncarnation } from "@almondusher/scheduler/executor-incarnation";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import { recordLeaseHeld, stepsOf, type OpenStep, type PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createStepTickets, type StepTickets } from "../src/executors/step-tickets.js";
import { POOL, QUEUE as PLAIN_QUEUE, STEP, emptyTables, executorRecord } from "./fixture.js";

const QUEUE = PLAIN_QUEUE.name;
const VALID_MS = 3000;
const CALL_MS = 120;
const MAX_IDS = 100;

const executorId = (index: number): ExecutorId => toId<ExecutorId>(`i-${index}`);

const record = (index: number): ExecutorRecord =>
    executorRecord(executorId(index), { capacity: { cpu: 1000, memoryMb: 1000, gpu: 0 } });

const ADVISED_QUEUE: Queue = { ...PLAIN_QUEUE, advice: { decideMs: 20, perExecutorMs: 1, validMs: VALID_MS } };

interface AdvisedPool {
    readonly tables: PoolTables;
    readonly tickets: StepTickets;
    /** The executors of each call, in the order of the calls. */
    readonly calls: readonly { readonly step: StepId; readonly executors: readonly ExecutorId[] }[];
    readonly nowMs: () => number;
    /** Makes the calls that are due, one after another, each of which takes the same time. */
    readonly ask: (calls: number) => Promise<void>;
    readonly pass: (ms: number) => void;
    /** Events of the log lines. */
    readonly logged: readonly string[];
}

const admit = (tables: PoolTables, id: string, terms: QueueTerms | undefined): void => {
    const job = {
        id: toId<JobId>(id),
        queue: QUEUE,
        pool: POOL,
        spec: "",
        steps: [STEP],
        schedule: undefined,
        tenant: undefined,
        terms,
        acceptedAtMs: 0,
    };
    admitJob(
        tables,
        { job, progress: initialProgress, progressVersion: 1, arrivedAtMs: 0, readAtMs: 0, inherited: false },
        0,
    );
};

/** A pool of executors whose policy allows those with the given indexes, with a job of one task for each id. */
const createAdvisedPool = (
    executors: number,
    allowed: (index: number) => boolean,
    jobs: readonly string[] = ["j1"],
): AdvisedPool => {
    const tables = emptyTables();
    tables.queues.set(QUEUE, ADVISED_QUEUE);
    tables.isProgressCurrent = true;
    recordLeaseHeld(tables, Infinity);
    applyRegistry(
        tables,
        Array.from({ length: executors }, (unused, index) => record(index)),
        0,
    );
    tables.executors.forEach(executor => {
        executor.reconciled = true;
        executor.listedInLease = true;
    });
    jobs.forEach(id => admit(tables, id, undefined));
    let nowMs = 0;
    let inFlight = 0;
    const calls: AdvisedPool["calls"][number][] = [];
    const logged: string[] = [];
    const client: AdviceClient = {
        advise: (step, ids) => {
            inFlight++;
            assert.equal(inFlight, 1, "more than one call at a time");
            assert.ok(ids.length > 0 && ids.length <= MAX_IDS, `${ids.length} executors in one call`);
            calls.push({ step, executors: ids });
            const good = ids.filter(id => allowed(Number(id.slice(2))));
            return Promise.resolve({
                kind: "tickets",
                tickets: good.map(executor => ({ executor, ticket: `${step}/${executor}/${nowMs}` })),
                validMs: VALID_MS,
            } as const).finally(() => {
                nowMs += CALL_MS;
                inFlight--;
            });
        },
    };
    const tickets = createStepTickets({
        context: {
            monotonicMs: () => nowMs,
            metrics: { count: () => undefined },
            log: (event: string) => logged.push(event),
        } as unknown as DispatcherContext,
        client,
        tables,
        changed: () => undefined,
    });
    return {
        tables,
        tickets,
        calls,
        logged,
        nowMs: () => nowMs,
        pass: ms => void (nowMs += ms),
        ask: async count => {
            for (let index = 0; index < count; index++) {
                tickets.prefetch();
                await new Promise(resolve => setImmediate(resolve));
            }
        },
    };
};

const firstStep = ({ tables }: AdvisedPool): OpenStep => {
    const [step] = [...tables.jobs.values()].flatMap(stepsOf);
    assert.ok(step !== undefined);
    return step;
};

const place = ({ tables, tickets, nowMs }: AdvisedPool): readonly string[] =>
    placeTasks(tables, {
        nowMs: nowMs(),
        budget: { isExhausted: () => false, allows: () => true, spend: () => undefined },
        executorsWithTicket: tickets.executorsFor,
    }).map(run => run.executor.id);

test("a job whose policy allows only the last of 102 executors is started", async () => {
    const pool = createAdvisedPool(102, index => index === 101);
    await pool.ask(2);
    assert.deepEqual(place(pool), ["i-101"]);
});

test("executors with room are asked about before those without", async () => {
    const pool = createAdvisedPool(150, () => true);
    pool.tables.executors.forEach(executor => {
        executor.reachable = Number(executor.id.slice(2)) >= 140;
    });
    await pool.ask(2);
    assert.deepEqual(
        pool.calls[0]?.executors,
        Array.from({ length: 10 }, (unused, index) => executorId(140 + index)),
    );
    assert.equal(pool.calls[1]?.executors.length, MAX_IDS);
});

test("executors that were refused for a step are not asked about again, and expired tickets are", async () => {
    const pool = createAdvisedPool(250, index => index === 5 || index === 240);
    await pool.ask(6);
    assert.deepEqual(
        pool.calls.map(({ executors }) => executors.length),
        [100, 100, 50],
    );
    assert.deepEqual([...(pool.tickets.executorsFor(firstStep(pool)) ?? [])], ["i-5", "i-240"]);
    pool.pass(VALID_MS);
    assert.equal(pool.tickets.executorsFor(firstStep(pool))?.size, 0, "an expired ticket");
    assert.equal(pool.tickets.ticketFor(firstStep(pool), executorId(5)), undefined);
    await pool.ask(2);
    assert.deepEqual(
        pool.calls.slice(3).map(({ executors }) => executors),
        [["i-5", "i-240"]],
    );
    assert.deepEqual(place(pool).length, 1);
});

test("a ticket that an executor has rejected is not used again", async () => {
    const pool = createAdvisedPool(3, index => index === 1);
    await pool.ask(2);
    const before = pool.tickets.ticketFor(firstStep(pool), executorId(1));
    assert.ok(before !== undefined);
    pool.tickets.discard(firstStep(pool));
    assert.equal(pool.tickets.ticketFor(firstStep(pool), executorId(1)), undefined);
    await pool.ask(1);
    assert.deepEqual(pool.calls[1]?.executors, ["i-1"]);
    assert.notEqual(pool.tickets.ticketFor(firstStep(pool), executorId(1)), before);
});

test("an executor that has joined, or restarted under its id, is asked about", async () => {
    const pool = createAdvisedPool(3, index => index === 3);
    await pool.ask(3);
    assert.equal(pool.calls.length, 1);
    applyRegistry(pool.tables, [0, 1, 2, 3].map(record), pool.nowMs());
    const restarted = pool.tables.executors.get(executorId(2));
    assert.ok(restarted !== undefined);
    beginIncarnation(restarted, pool.nowMs(), "registry");
    pool.pass(1000);
    await pool.ask(2);
    assert.deepEqual(
        pool.calls
            .slice(1)
            .flatMap(({ executors }) => executors)
            .sort(),
        ["i-2", "i-3"],
    );
});

test("a step without any permitted executor does not keep the others from being asked about", async () => {
    const pool = createAdvisedPool(300, () => false, ["j1", "j2"]);
    await pool.ask(2);
    assert.equal(new Set(pool.calls.map(({ step }) => step)).size, 2);
    await pool.ask(10);
    assert.equal(pool.calls.length, 6);
});

test("answers about steps that are over and executors that have left are dropped, and none is asked for", async () => {
    const pool = createAdvisedPool(5, () => true);
    await pool.ask(1);
    const step = firstStep(pool);
    pool.tables.executors.delete(executorId(4));
    await pool.ask(1);
    assert.ok(pool.tickets.ticketFor(step, executorId(3)) !== undefined);
    pool.tables.jobs.clear();
    await pool.ask(1);
    assert.equal(pool.tickets.ticketFor(step, executorId(3)), undefined);
    assert.equal(pool.calls.length, 1);
});

test("every executor is asked about once for each step, whatever the size of the pool and the number of jobs", async () => {
    await fc.assert(
        fc.asyncProperty(fc.integer({ min: 1, max: 350 }), fc.integer({ min: 1, max: 3 }), async (executors, jobs) => {
            const ids = Array.from({ length: jobs }, (unused, index) => `j${index}`);
            const pool = createAdvisedPool(executors, () => false, ids);
            const expected = jobs * Math.ceil(executors / MAX_IDS);
            await pool.ask(expected + 3);
            assert.equal(pool.calls.length, expected);
            const asked = pool.calls.flatMap(call => call.executors.map(executor => `${call.step} ${executor}`));
            assert.equal(asked.length, jobs * executors);
            assert.equal(new Set(asked).size, asked.length);
        }),
        { numRuns: 30 },
    );
});

// It may be of another kind then. The time at which its life began is unknown for both entries.
test("an executor that was refused is asked about again after it has left and joined under its id during a call", async () => {
    let isAllowed = false;
    const pool = createAdvisedPool(1, () => isAllowed);
    await pool.ask(1);
    assert.deepEqual(place(pool), []);
    isAllowed = true;
    applyRegistry(pool.tables, [], pool.nowMs());
    assert.equal(pool.tables.executors.size, 0);
    applyRegistry(pool.tables, [record(0)], pool.nowMs());
    await pool.ask(1);
    assert.equal(pool.calls.length, 2);
    assert.equal(pool.tickets.executorsFor(firstStep(pool))?.size, 1);
});

// A scheduler that had never seen the queue sent each start without a ticket, and executors rejected thousands of them.
test("a job of a removed queue is started with tickets if the queue was advised when the job was accepted", async () => {
    const pool = createAdvisedPool(3, index => index === 1, []);
    pool.tables.queues.clear();
    admit(pool.tables, "j1", toTerms(ADVISED_QUEUE));
    assert.equal(pool.tickets.executorsFor(firstStep(pool))?.size, 0);
    assert.deepEqual(place(pool), []);
    await pool.ask(2);
    assert.deepEqual(place(pool), ["i-1"]);
});

test("a job of a removed queue that was not advised needs no tickets", async () => {
    const pool = createAdvisedPool(3, () => true, []);
    pool.tables.queues.clear();
    admit(pool.tables, "j1", toTerms(PLAIN_QUEUE));
    await pool.ask(2);
    assert.equal(pool.calls.length, 0);
    assert.equal(place(pool).length, 1);
});

const missingAdvice = [
    { name: "of unknown terms", terms: undefined },
    { name: "that was accepted before its queue was advised", terms: toTerms(PLAIN_QUEUE) },
];

missingAdvice.forEach(({ name, terms }) => {
    test(`a job of a removed queue, ${name}, waits for tickets once a start was rejected for want of one`, async () => {
        const pool = createAdvisedPool(3, index => index === 1, []);
        pool.tables.queues.clear();
        admit(pool.tables, "j1", terms);
        admit(pool.tables, "j2", terms);
        assert.equal(pool.tickets.executorsFor(firstStep(pool)), undefined, "nothing says that the queue is advised");
        const steps = [...pool.tables.jobs.values()].flatMap(stepsOf);
        steps.forEach(pool.tickets.discard);
        steps.forEach(pool.tickets.discard);
        assert.deepEqual(pool.logged, ["tickets-required"]);
        steps.forEach(step => assert.equal(pool.tickets.executorsFor(step)?.size, 0));
        assert.deepEqual(place(pool), []);
        await pool.ask(3);
        assert.deepEqual(place(pool), ["i-1"]);
    });
});

test("what a rejection has shown of a queue holds no longer once another configuration of the queue is in use", () => {
    const pool = createAdvisedPool(3, () => true);
    pool.tables.queues.clear();
    pool.tickets.discard(firstStep(pool));
    assert.equal(pool.tickets.executorsFor(firstStep(pool))?.size, 0);
    pool.tables.queues.set(QUEUE, PLAIN_QUEUE);
    assert.equal(pool.tickets.executorsFor(firstStep(pool)), undefined);
});
