import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import type { JobId, QueueName } from "@almondusher/jobs/ids";
import { initialProgress } from "@almondusher/jobs/progress";
import { reply, startJsonServer, type JsonServer } from "@almondusher/job-platform-stand-in/json-server";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { recordLeaseHeld, type PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createExecutorConnections } from "../src/executors/executor-connections.js";
import { createOrderLoad } from "../src/executors/order-load.js";
import { createOrderWindow } from "../src/executors/order-window.js";
import { createRunOrders } from "../src/executors/run-orders.js";
import type { StepTickets } from "../src/executors/step-tickets.js";
import { POOL, STEP, emptyTables, executorRecord } from "./fixture.js";

const JOB = toId<JobId>("0000000000000001");
const PASS_INTERVAL_MS = 20;
const REPORT_DELAY_MS = 10;
// Longer than the first backoff after a rejected start.
const STOP_MS = 900;
const TIMEOUT_MS = 8000;

/** An executor that takes a while to stop a run, and that rejects each start if it is unhealthy. */
const startExecutor = async (context: TestContext, isHealthy: boolean): Promise<JsonServer> => {
    const startedAtMs = performance.now();
    const active = new Map<string, number>();
    const ended: unknown[] = [];
    const server = await startJsonServer(async ({ path, body }) => {
        const { task = "", run = 0 } = body as { readonly task?: string; readonly run?: number };
        const clockMs = (): number => Math.round(performance.now() - startedAtMs);
        switch (path) {
            case "/-/run-start":
                if (!isHealthy) {
                    return reply(503);
                }
                active.set(task, run);
                return reply(200, { clock_ms: clockMs() });
            case "/-/run-stop":
                setTimeout(() => {
                    if (active.get(task) === run) {
                        active.delete(task);
                        ended.push([ended.length + 1, task, run, "stopped", ""]);
                    }
                }, STOP_MS);
                return reply(200, { clock_ms: clockMs() });
            default: {
                await sleep(REPORT_DELAY_MS);
                const runs = [...active].map(([id, number]) => [id, number, "", 0]);
                return reply(200, { clock_ms: clockMs(), born: 1, active: runs, ended });
            }
        }
    });
    context.after(() => server.close());
    return server;
};

const createGangPool = (): PoolTables => {
    const tables = emptyTables();
    tables.isProgressCurrent = true;
    recordLeaseHeld(tables, Infinity);
    const job = {
        id: JOB,
        queue: toId<QueueName>("queue-1"),
        pool: POOL,
        spec: "",
        steps: [{ ...STEP, count: 2, gang: true }],
        schedule: undefined,
        tenant: undefined,
        terms: undefined,
        acceptedAtMs: 0,
    };
    admitJob(
        tables,
        { job, progress: initialProgress, progressVersion: 1, arrivedAtMs: 0, readAtMs: 0, inherited: false },
        0,
    );
    return tables;
};

test("a gang starts although the executor that placement prefers rejects each start", async context => {
    const servers = [
        await startExecutor(context, false),
        await startExecutor(context, true),
        await startExecutor(context, true),
    ];
    const tables = createGangPool();
    const monotonicMs = (): number => performance.now();
    const shared = {
        monotonicMs,
        log: () => undefined,
        metrics: { count: () => undefined, record: () => undefined },
    } as unknown as DispatcherContext;
    const orderWindow = createOrderWindow({ monotonicMs, timeoutMs: 350, maxSize: () => 18 });
    const connections = createExecutorConnections({
        context: shared,
        owner: {
            tables,
            mayExtendLeases: () => true,
            mayHaveSuccessor: () => false,
            ended: executor => (executor.lastStoredEnd = executor.lastAppliedEnd),
            changed: () => undefined,
            markedExecutorAnswered: () => undefined,
            ticketRejected: () => undefined,
            fenced: () => undefined,
        },
        orderLoad: createOrderLoad(shared),
        orderWindow,
    });
    context.after(() => connections.close());
    const tickets = { executorsFor: () => undefined, ticketFor: () => undefined } as unknown as StepTickets;
    const orders = createRunOrders({ context: shared, tables, connections, orderWindow, tickets });
    // Placement prefers executors with less room.
    const records = servers.map(({ address }, index) =>
        executorRecord(`i-${index}`, {
            address,
            clockMs: undefined,
            capacity: { cpu: 1000 + index, memoryMb: 100, gpu: 0 },
        }),
    );
    connections.sync(records, new Map());
    tables.executors.forEach(executor => (executor.listedInLease = true));
    const isRunning = (): boolean =>
        tables.jobs
            .get(JOB)
            ?.occurrences.get(0)?.[0]
            ?.tasks.every(({ runs }) => runs.some(({ phase }) => phase === "running")) === true;
    const endMs = performance.now() + TIMEOUT_MS;
    while (!isRunning()) {
        assert.ok(performance.now() < endMs, "the gang does not start");
        orders.send();
        await sleep(PASS_INTERVAL_MS);
    }
});
