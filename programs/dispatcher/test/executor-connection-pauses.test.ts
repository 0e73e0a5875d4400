import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import type { Executor, Run, Task } from "@almondusher/scheduler/pool-tables";
import { addRun } from "@almondusher/scheduler/run-table";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { openExecutorConnection, type ExecutorConnection } from "../src/executors/executor-connection.js";
import { createOrderLoad } from "../src/executors/order-load.js";
import { createOrderWindow } from "../src/executors/order-window.js";
import { RUN_LEASE_MS, emptyTables, executorRecord } from "./fixture.js";

const EXECUTOR = toId<ExecutorId>("i-1");
const PAUSE_MS = 20_000;
const TIMEOUT_MS = 5000;
// Longer than an order to a server on this machine takes.
const SEVERAL_ORDERS_MS = 300;

interface ConnectedExecutor {
    readonly connection: ExecutorConnection;
    readonly executor: Executor;
    /** Paths and bodies of the requests that the executor has received. */
    readonly requests: readonly { readonly path: string; readonly body: { readonly until_ms?: number } }[];
    /** Decides whether the scheduler may extend leases and start runs. */
    mayExtendLeases: () => boolean;
    /** Adds to the monotonic clock, as a pause of the process does. */
    readonly pause: () => void;
}

/** Connects to an executor without runs, which has been read and whose clock shows the monotonic time of this process. */
const connect = async (context: TestContext): Promise<ConnectedExecutor> => {
    const requests: { path: string; body: { until_ms?: number } }[] = [];
    let pausedMs = 0;
    const monotonicMs = (): number => performance.now() + pausedMs;
    const server = createServer((request, response) => {
        let text = "";
        request.on("data", chunk => (text += String(chunk)));
        request.on("end", () => {
            requests.push({ path: request.url ?? "", body: JSON.parse(text) as { until_ms?: number } });
            response.end(JSON.stringify({ clock_ms: Math.floor(monotonicMs()), born: 1, active: [], ended: [] }));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const tables = emptyTables();
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const record = executorRecord(EXECUTOR, { address, clockMs: undefined });
    applyRegistry(tables, [record], 0);
    const executor = tables.executors.get(EXECUTOR);
    assert.ok(executor !== undefined);
    const metrics = { count: () => undefined, record: () => undefined };
    const connected = { mayExtendLeases: () => true };
    const connection = openExecutorConnection({
        context: { monotonicMs, log: () => undefined, metrics } as unknown as DispatcherContext,
        owner: {
            tables,
            mayHaveSuccessor: () => false,
            mayExtendLeases: () => connected.mayExtendLeases(),
            ended: () => undefined,
            changed: () => undefined,
            markedExecutorAnswered: () => undefined,
            ticketRejected: () => undefined,
            fenced: () => undefined,
        },
        executor,
        orderLoad: createOrderLoad({ metrics, monotonicMs } as never),
        orderWindow: createOrderWindow({ monotonicMs, timeoutMs: 350, maxSize: () => 6 }),
    });
    context.after(() => {
        connection.close();
        server.closeAllConnections();
        server.close();
    });
    const endMs = performance.now() + TIMEOUT_MS;
    while (!executor.reconciled) {
        assert.ok(performance.now() < endMs, "the executor was not read");
        await sleep(5);
    }
    return Object.assign(connected, { connection, executor, requests, pause: () => (pausedMs += PAUSE_MS) });
};

/** A run that was placed on the executor, in the tables. */
const placeRun = (executor: Executor): Run => {
    const task = {
        id: "0000000000000001.0.0.0",
        checkpoint: "",
        runs: [],
        step: { job: { job: { spec: "text" } } },
    };
    return addRun({
        task: task as unknown as Task,
        executor,
        number: 1,
        phase: "starting",
        startedAtMs: 0,
        resumedFrom: "",
    });
};

const startsOf = ({ requests }: ConnectedExecutor): ConnectedExecutor["requests"] =>
    requests.filter(({ path }) => path === "/-/run-start");

// A pass checks once that it may act, and then sends all orders. The lease of a start sent after a pause would begin after it.
test("a start that was planned before a pause is not sent after it", async context => {
    const connected = await connect(context);
    const run = placeRun(connected.executor);
    connected.mayExtendLeases = () => false;
    connected.pause();
    await connected.connection.start(run, undefined);
    await sleep(SEVERAL_ORDERS_MS);
    assert.deepEqual(startsOf(connected), []);
    assert.equal(run.task.runs.length, 0, "the task keeps a run that was never started");
});

/** Pauses the process right after the given check that it may act; the checks that follow fail. */
const pauseAfterCheck = (connected: ConnectedExecutor, pausedAtCheck: number): void => {
    let checks = 0;
    connected.mayExtendLeases = () => {
        checks++;
        if (checks === pausedAtCheck) {
            connected.pause();
        }
        return checks <= pausedAtCheck;
    };
};

test("the lease of a start does not begin after a pause that follows the check that the process may act", async context => {
    const connected = await connect(context);
    const run = placeRun(connected.executor);
    const latestUntilMs = performance.now() + RUN_LEASE_MS + 1000;
    // The second check is the last one before the start is written.
    pauseAfterCheck(connected, 2);
    await connected.connection.start(run, undefined);
    const [start] = startsOf(connected);
    assert.ok((start?.body.until_ms ?? Infinity) < latestUntilMs, `lease until ${start?.body.until_ms}`);
});

test("a start is not sent after a pause that follows the first check that the process may act", async context => {
    const connected = await connect(context);
    const run = placeRun(connected.executor);
    pauseAfterCheck(connected, 1);
    await connected.connection.start(run, undefined);
    await sleep(SEVERAL_ORDERS_MS);
    assert.deepEqual(startsOf(connected), []);
    assert.equal(run.task.runs.length, 0, "the task keeps a run that was never started");
});

test("an extended lease does not begin after a pause that follows the check that the process may act", async context => {
    // A poll checks several times.
    for (const pausedAtCheck of [1, 2, 3, 4]) {
        const connected = await connect(context);
        const run = placeRun(connected.executor);
        run.confirmedAtMs = performance.now();
        run.phase = "running";
        const latestUntilMs = performance.now() + RUN_LEASE_MS + 1000;
        pauseAfterCheck(connected, pausedAtCheck);
        connected.connection.pollNow();
        await sleep(SEVERAL_ORDERS_MS);
        const untils = connected.requests.map(({ body }) => body.until_ms).filter(until => until !== undefined);
        assert.ok(
            untils.every(until => until < latestUntilMs),
            `leases until ${untils.join()}, paused at check ${pausedAtCheck}`,
        );
    }
});
