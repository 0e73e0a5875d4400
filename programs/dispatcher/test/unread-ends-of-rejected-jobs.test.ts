import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import type { EndedRun } from "@almondusher/jobs/executor";
import type { ExecutorId, JobId, TaskId } from "@almondusher/jobs/ids";
import { encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Transaction, TransactionResult } from "@almondusher/platform-adapter/table-store";
import { closeJob } from "@almondusher/scheduler/admit-job";
import { applyReport } from "@almondusher/scheduler/apply-report";
import { endToAcknowledge } from "@almondusher/scheduler/executor-incarnation";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { areInheritedRunsKnown } from "@almondusher/scheduler/inherited-runs";
import { recordLeaseHeld, type PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createProgressWriter } from "../src/jobs/progress-writer.js";
import { cancellationRow, cancelledProgressRow, jobTablesOf } from "../src/jobs/job-rows.js";
import { addInheritedJob, emptyTables, executorRecord, POOL } from "./fixture.js";

const TICK_MS = 100;
const INHERITED_WAIT_MS = 8000;
/** Time that is allowed for a takeover with everything healthy but the progress of one job. */
const MAX_WAIT_MS = 10_000;
// Ends that an executor lists at a time.
const LISTED_ENDS = 500;
const UNREAD_ENDS = 600;
const REJECTED = toId<JobId>("0000000000000001");
const OTHER = toId<JobId>("0000000000000002");

const endOf = (job: JobId, index: number, number: number): EndedRun => ({
    number,
    task: toId<TaskId>(`${job}.0.0.${index}`),
    run: number,
    how: "done",
    checkpoint: "",
});

type Answer = (transaction: Transaction) => TransactionResult;

interface EndsRead {
    readonly tables: PoolTables;
    /** Transactions that the store has committed. */
    readonly committed: readonly Transaction[];
    readonly lastStoredEnd: number;
}

const REJECTION: TransactionResult = { kind: "rejected", reason: "status 400" };
const COMMITTED: TransactionResult = { kind: "committed", version: 2, nowMs: 0 };

const writesOf = (id: JobId, { writes }: Transaction): Transaction["writes"] =>
    writes.filter(({ key }) => key.startsWith(id));

const rejectRowOf =
    (id: JobId): Answer =>
    ({ writes }) =>
        writes.some(({ key }) => key === id) ? REJECTION : COMMITTED;

const rejectTasksOf =
    (id: JobId): Answer =>
    transaction =>
        writesOf(id, transaction).some(({ value }) => value.includes("done")) ? REJECTION : COMMITTED;

/** Lets a new holder read an executor's ends, the first of which is one of a job, for the allowed time. */
const readEnds = async (
    context: TestContext,
    firstEndOf: JobId,
    { answer = rejectRowOf(REJECTED), unreadEnds = UNREAD_ENDS }: { answer?: Answer; unreadEnds?: number } = {},
): Promise<EndsRead> => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    let nowMs = 0;
    const tables = emptyTables();
    applyRegistry(tables, [executorRecord("a")], 0);
    tables.inheritedWaitUntilMs = INHERITED_WAIT_MS;
    recordLeaseHeld(tables, Number.POSITIVE_INFINITY);
    addInheritedJob(tables, REJECTED, 2);
    addInheritedJob(tables, OTHER, UNREAD_ENDS + 1);
    const executor = tables.executors.get(toId<ExecutorId>("a"));
    assert.ok(executor !== undefined);
    const committed: Transaction[] = [];
    const transact = (transaction: Transaction): Promise<TransactionResult> => {
        const result = answer(transaction);
        if (result.kind === "committed") {
            committed.push(transaction);
        }
        return Promise.resolve(result);
    };
    const writer = createProgressWriter({
        context: {
            store: { transact },
            monotonicMs: () => nowMs,
            log: () => undefined,
            metrics: { count: () => undefined, record: () => undefined },
        } as unknown as DispatcherContext,
        tables,
        onEndsStored: () => undefined,
        onJobFinished: job => closeJob(tables, job),
        isActive: () => nowMs < MAX_WAIT_MS,
        mayStore: () => true,
    });
    let kept = [
        endOf(firstEndOf, 0, 1),
        ...Array.from({ length: unreadEnds - 1 }, (unused, index) => endOf(OTHER, index + 1, index + 2)),
    ];
    while (nowMs < MAX_WAIT_MS) {
        const acknowledged = endToAcknowledge(executor);
        kept = kept.filter(({ number }) => number > acknowledged);
        const ended = kept.slice(0, LISTED_ENDS);
        const endsTruncated = kept.length > LISTED_ENDS;
        const report = { clockMs: nowMs, startedAtMs: 1, active: [], ended, endsTruncated };
        writer.addEnds(executor, applyReport(tables, executor, report, { sentAtMs: nowMs, receivedAtMs: nowMs }));
        writer.request();
        nowMs += TICK_MS;
        context.mock.timers.tick(TICK_MS);
        await turn();
    }
    return { tables, committed, lastStoredEnd: executor.lastStoredEnd };
};

test("a successor that reads more ends than an executor lists at a time starts tasks of earlier jobs", async context => {
    const { tables } = await readEnds(context, OTHER);
    assert.ok(areInheritedRunsKnown(tables, MAX_WAIT_MS));
});

test("a job whose progress the store rejects does not keep the tasks of all earlier jobs waiting", async context => {
    const { tables } = await readEnds(context, REJECTED);
    assert.ok(areInheritedRunsKnown(tables, MAX_WAIT_MS));
});

test("a job whose progress the store rejects is stored as failed before its ends are acknowledged", async context => {
    const { tables, committed, lastStoredEnd } = await readEnds(context, REJECTED, {
        answer: rejectTasksOf(REJECTED),
    });
    assert.ok(areInheritedRunsKnown(tables, MAX_WAIT_MS));
    assert.equal(lastStoredEnd, UNREAD_ENDS);
    assert.equal(tables.jobs.has(REJECTED), false, "the job is still open");
    assert.ok(tables.jobs.has(OTHER), "another job is closed");
    const states = committed
        .flatMap(transaction => writesOf(REJECTED, transaction))
        .map(({ key, value }) => [key, value]);
    assert.deepEqual(states, [[REJECTED, encodeProgress({ state: "failed", steps: [] })]]);
});

test("no later holder starts a job whose final state the store rejects as well", async context => {
    const { committed, lastStoredEnd } = await readEnds(context, REJECTED);
    assert.equal(lastStoredEnd, UNREAD_ENDS);
    const rows = committed.flatMap(transaction => writesOf(REJECTED, transaction));
    const tables = jobTablesOf(POOL);
    const cancellations = [cancellationRow(tables, REJECTED), cancelledProgressRow(tables, REJECTED)];
    assert.deepEqual(
        rows.map(({ table, part, key }) => ({ table, part, key })),
        cancellations,
    );
});

test("ends of a job are not acknowledged while the store accepts nothing that closes the job", async context => {
    const { tables, lastStoredEnd } = await readEnds(context, REJECTED, {
        answer: transaction => (writesOf(REJECTED, transaction).length > 0 ? REJECTION : COMMITTED),
    });
    assert.equal(lastStoredEnd, 0);
    assert.equal(tables.jobs.get(REJECTED)?.state, "running");
});

test("a former holder does not withdraw a job whose progress its successor has stored", async context => {
    const successorsRow = { table: "", part: "", key: REJECTED, value: "{", version: 7, deleted: false };
    const { committed, lastStoredEnd } = await readEnds(context, REJECTED, {
        answer: transaction => {
            const writes = writesOf(REJECTED, transaction);
            const isConditional = transaction.expect.some(({ key }) => key === REJECTED);
            return writes.some(({ key }) => key === REJECTED)
                ? REJECTION
                : writes.length > 0 && isConditional
                  ? { kind: "conflict", rows: [successorsRow] }
                  : COMMITTED;
        },
    });
    assert.equal(lastStoredEnd, 0);
    assert.deepEqual(
        committed.flatMap(transaction => writesOf(REJECTED, transaction)),
        [],
    );
});

test("a job whose progress the store rejects stays open while its executor lists all of its ends", async context => {
    const { tables, lastStoredEnd } = await readEnds(context, REJECTED, { unreadEnds: LISTED_ENDS });
    assert.equal(tables.jobs.get(REJECTED)?.state, "running");
    assert.equal(lastStoredEnd, 0);
    assert.ok(areInheritedRunsKnown(tables, MAX_WAIT_MS));
});

test("a job is not closed because the store does not answer, or fails for a while", async context => {
    const failures: readonly TransactionResult[] = [
        { kind: "unknown", reason: "no answer" },
        { kind: "not-run", reason: "status 503" },
    ];
    let calls = 0;
    const { tables, lastStoredEnd } = await readEnds(context, REJECTED, {
        answer: transaction => {
            calls++;
            return writesOf(REJECTED, transaction).length > 0
                ? (failures[calls % failures.length] ?? COMMITTED)
                : COMMITTED;
        },
    });
    assert.equal(tables.jobs.get(REJECTED)?.state, "running");
    assert.equal(lastStoredEnd, 0);
});
