import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startExecutorStandIn, type ExecutorStandIn } from "@almondusher/job-platform-stand-in/executor";
import type { StoreStandIn } from "@almondusher/job-platform-stand-in/store";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { addTaskRun, connectTo, ID, waitUntil } from "./connected-executor.js";
import { executorRecord, POOL } from "./fixture.js";

const RUN_MS = 100;
/** Time between polls that would list the same ends again, in milliseconds. */
const POLL_PAUSE_MS = 700;
// Longer than the executor takes to notice that a lease has expired, shorter than a lease that it must not have.
const EXPIRY_MS = 500;
/** How late an order is carried out, in milliseconds; longer than the limit for a restart to be noticed. */
const LATE_START_MS = 2000;
const NOTICED_MS = 500;
const FAILED_RUNS_BACKOFF_MS = 1000;

interface Registered {
    readonly stand: ExecutorStandIn;
    /** Start time in the last registration, in Unix milliseconds. */
    readonly startedAtMs: () => number;
}

/** Starts an executor that registers in a store of the test. */
const startExecutor = async (context: TestContext, runMs: number): Promise<Registered> => {
    let startedAtMs = 0;
    const store = {
        put: (table: string, key: string, row: { readonly born: number }) => (startedAtMs = row.born),
        remove: () => undefined,
    };
    const stand = await startExecutorStandIn({
        store: store as unknown as StoreStandIn,
        id: ID,
        service: POOL,
        runMs: () => runMs,
    });
    context.after(stand.close);
    return { stand, startedAtMs: () => startedAtMs };
};

const connectToStandIn = (context: TestContext, { stand, startedAtMs }: Registered): ReturnType<typeof connectTo> => {
    const connected = connectTo(context, { address: stand.address, startedAtMs: startedAtMs() });
    connected.executor.clock = { clockMs: 0, heardAtMs: performance.now() };
    return connected;
};

// The new incarnation numbers its ends from 1 again, below the number that was acknowledged to the former one.
test("an end of a restarted executor is reported although ends of its former incarnation were acknowledged", async context => {
    const registered = await startExecutor(context, RUN_MS);
    const { tables, executor, connection, ends } = connectToStandIn(context, registered);
    const first = addTaskRun(tables, executor, 1);
    await connection.start(first, undefined);
    assert.equal(first.phase, "running");
    await waitUntil(() => ends.length === 1);
    Object.assign(executor, { lastAppliedEnd: 7, lastStoredEnd: 7 });
    // Long enough for the next poll to be under way.
    await sleep(50);
    registered.stand.restart();
    await waitUntil(() => executor.record.startedAtMs === registered.startedAtMs() && executor.reconciled);
    await connection.start(addTaskRun(tables, executor, 2), undefined);
    await waitUntil(() => executor.runs.size === 0);
    assert.deepEqual(
        ends.map(({ end }) => [end.run, end.how]),
        [
            [1, "done"],
            [2, "done"],
        ],
    );
});

// A clock of the VM goes on, so that only the start time shows the restart, and answers to starts do not have it.
test("a run that a restarted executor has accepted is not given up when the registry shows the restart", async context => {
    const registered = await startExecutor(context, Infinity);
    const { tables, executor, connection } = connectToStandIn(context, registered);
    await connection.start(addTaskRun(tables, executor, 1), undefined);
    registered.stand.setFault({
        kind: "unreliable",
        drawOutcome: request => ({ kind: request === "hold" ? "lost-answer" : "answered" }),
    });
    registered.stand.restart("goes-on");
    await connection.start(addTaskRun(tables, executor, 2), undefined);
    const record = executorRecord(ID, {
        address: registered.stand.address,
        startedAtMs: registered.startedAtMs(),
        clockMs: undefined,
    });
    applyRegistry(tables, [record], performance.now());
    const known = [...executor.runs.values()].map(({ number }) => number);
    const active = registered.stand.started.filter(({ how }) => how === undefined).map(({ run }) => run);
    assert.deepEqual(
        active.filter(run => !known.includes(run)),
        [],
        "a run that is active was given up",
    );
});

test("a restarted executor gets no lease that was computed for the clock of its former incarnation", async context => {
    const registered = await startExecutor(context, Infinity);
    const { tables, executor, connection } = connectToStandIn(context, registered);
    await connection.start(addTaskRun(tables, executor, 1), undefined);
    // An end that is not stored yet, so that the scheduler pauses between its polls.
    executor.lastAppliedEnd = 1;
    executor.clock = { clockMs: 500_000, heardAtMs: performance.now() };
    await sleep(POLL_PAUSE_MS / 2);
    registered.stand.restart();
    const restartedAtMs = performance.now();
    await waitUntil(() => executor.record.startedAtMs === registered.startedAtMs() && executor.reconciled);
    await connection.start(addTaskRun(tables, executor, 2), undefined);
    registered.stand.setFault({ kind: "silent" });
    await waitUntil(() => !executor.reachable);
    const { started } = registered.stand;
    await sleep(executor.leaseUntilMs + EXPIRY_MS - (performance.now() - restartedAtMs));
    assert.deepEqual(
        started.map(({ how }) => how),
        ["crashed", "lapsed"],
        "the lease lasts longer than the tables know",
    );
});

/** Leaves the next order unanswered; it is carried out after the delay, also by a later incarnation. */
const delayNextOrder = (stand: ExecutorStandIn, delayMs: number): void => {
    let isNext = true;
    stand.setFault({
        kind: "unreliable",
        drawOutcome: request => {
            const isDelayed = isNext && request === "order";
            isNext &&= !isDelayed;
            return isDelayed ? { kind: "late", delayMs } : { kind: "answered" };
        },
    });
};

// The late start of review/6: nothing runs on the executor, which is cut off from the store, so only its connection tells of
// the restart.
test("a start that got no response and was stopped is stopped again soon after its idle executor has restarted, although the registry does not show it", async context => {
    const registered = await startExecutor(context, Infinity);
    const { stand } = registered;
    const { tables, executor, connection } = connectToStandIn(context, registered);
    const run = addTaskRun(tables, executor, 1);
    await sleep(50);
    delayNextOrder(stand, LATE_START_MS);
    await connection.start(run, undefined);
    await connection.stop(run);
    await waitUntil(() => executor.runs.size === 0);
    stand.restart();
    const restartedAtMs = performance.now();
    await waitUntil(() => executor.runs.size === 1);
    assert.ok(performance.now() - restartedAtMs < NOTICED_MS, "the restart is noticed before the start arrives");
    await connection.stop(run);
    await waitUntil(() => executor.runs.size === 0);
    await sleep(LATE_START_MS);
    assert.deepEqual(stand.started, [], "the late start is carried out");
});

test("an executor that has accepted the stop of its first start without a response gets starts again", async context => {
    const registered = await startExecutor(context, Infinity);
    const { tables, executor, connection } = connectToStandIn(context, registered);
    const startOnce = async (number: number): Promise<void> => {
        const run = addTaskRun(tables, executor, number);
        delayNextOrder(registered.stand, LATE_START_MS);
        await connection.start(run, undefined);
        assert.ok(executor.backoffUntilMs > performance.now(), "until the stop is accepted it may have failed");
        await connection.stop(run);
    };
    await startOnce(1);
    assert.ok(executor.backoffUntilMs <= performance.now());
    await startOnce(2);
    assert.ok(executor.backoffUntilMs > performance.now(), "a second one in a row keeps starts away");
});

test("the stop of a start without a response does not end a back-off of another cause", async context => {
    const registered = await startExecutor(context, Infinity);
    const { tables, executor, connection } = connectToStandIn(context, registered);
    const untilMs = performance.now() + FAILED_RUNS_BACKOFF_MS;
    executor.backoffUntilMs = untilMs;
    const run = addTaskRun(tables, executor, 1);
    delayNextOrder(registered.stand, LATE_START_MS);
    await connection.start(run, undefined);
    await connection.stop(run);
    assert.equal(executor.backoffUntilMs, untilMs);
});
