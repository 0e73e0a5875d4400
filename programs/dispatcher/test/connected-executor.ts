import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import { initialProgress } from "@almondusher/jobs/progress";
import type { ExecutorId, JobId, QueueName } from "@almondusher/jobs/ids";
import { startJsonServer, type JsonReply, type JsonRequest } from "@almondusher/job-platform-stand-in/json-server";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import type { AppliedEnd } from "@almondusher/scheduler/apply-report";
import type { Executor, PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { addRun } from "@almondusher/scheduler/run-table";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { openExecutorConnection, type ExecutorConnection } from "../src/executors/executor-connection.js";
import { POOL, STEP, emptyTables, executorRecord } from "./fixture.js";

export const ID = "i-0" as ExecutorId;
export const JOB = "0000000000000001" as JobId;
/** Start time of the executor that the tables know first, in Unix milliseconds. */
export const STARTED_AT_MS = 1;
const TIMEOUT_MS = 3000;

/** Address of an executor and its start time in Unix milliseconds, as the registry has them. */
interface RegisteredExecutor {
    readonly address: string;
    readonly startedAtMs: number;
}

/** A connection to an executor, and the state of the scheduler that it changes. */
interface Connected {
    readonly tables: PoolTables;
    readonly executor: Executor;
    readonly connection: ExecutorConnection;
    /** Ends of runs in the order in which they were applied. */
    readonly ends: readonly AppliedEnd[];
    mayExtendLeases: boolean;
    /** How often the removal of the executor's mark was requested. */
    removalsRequested: number;
}

/** Connects to an idle executor that counts as read. */
export const connectTo = (context: TestContext, registered: RegisteredExecutor): Connected => {
    const tables = emptyTables();
    applyRegistry(tables, [executorRecord(ID, { ...registered, clockMs: undefined })], performance.now());
    const executor = tables.executors.get(ID);
    assert.ok(executor !== undefined);
    executor.reconciled = true;
    const ends: AppliedEnd[] = [];
    const state = { mayExtendLeases: true, removalsRequested: 0 };
    const connection = openExecutorConnection({
        context: {
            monotonicMs: () => performance.now(),
            log: () => undefined,
            metrics: { count: () => undefined, record: () => undefined },
        } as unknown as DispatcherContext,
        owner: {
            tables,
            mayHaveSuccessor: () => false,
            mayExtendLeases: () => state.mayExtendLeases,
            ended: (executor, applied) => void ends.push(...applied),
            changed: () => undefined,
            markedExecutorAnswered: () => void state.removalsRequested++,
            ticketRejected: () => undefined,
            fenced: () => undefined,
        },
        executor,
        orderLoad: { track: send => send(), takeSample: () => undefined },
        orderWindow: {
            track: (id, send) => send(),
            createBudget: () => assert.fail("no orders are planned"),
            size: () => 1,
            forget: () => undefined,
        },
    });
    context.after(connection.close);
    return Object.assign(state, { tables, executor, connection, ends });
};

/** A connection to an executor of the test, and the requests that it has received. */
interface ConnectedServer extends Connected {
    readonly requests: readonly JsonRequest[];
}

/** Connects to an idle executor whose clock is 0 at the start of this process, and which answers as given. */
export const connect = async (
    context: TestContext,
    answer: (request: JsonRequest) => JsonReply | Promise<JsonReply>,
): Promise<ConnectedServer> => {
    const requests: JsonRequest[] = [];
    const server = await startJsonServer(request => {
        requests.push(request);
        return answer(request);
    });
    const connected = connectTo(context, { address: server.address, startedAtMs: STARTED_AT_MS });
    context.after(server.close);
    return Object.assign(connected, { requests });
};

/** Adds a run of the only task of a job to the tables; the job is admitted if it is not there yet. */
export const addTaskRun = (
    tables: PoolTables,
    executor: Executor,
    number: number,
    startedAtMs = performance.now(),
): Run => {
    admitJob(
        tables,
        {
            job: {
                id: JOB,
                queue: toId<QueueName>("queue-1"),
                pool: POOL,
                spec: "",
                steps: [STEP],
                schedule: undefined,
                tenant: undefined,
                terms: undefined,
                acceptedAtMs: 0,
            },
            progress: initialProgress,
            progressVersion: 1,
            arrivedAtMs: 0,
            readAtMs: 0,
            inherited: false,
        },
        0,
    );
    const task = tables.jobs.get(JOB)?.occurrences.get(0)?.[0]?.tasks[0];
    assert.ok(task !== undefined);
    return addRun({ task, number, executor, phase: "starting", startedAtMs, resumedFrom: "" });
};

/** Waits until a condition holds, and fails after a time limit. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
    const endMs = performance.now() + TIMEOUT_MS;
    while (!condition()) {
        assert.ok(performance.now() < endMs, "the condition does not become true");
        await sleep(5);
    }
};
