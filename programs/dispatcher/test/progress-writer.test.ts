import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId } from "@almondusher/fleet/ids";
import type { RunEnd } from "@almondusher/jobs/executor";
import type { ExecutorId, JobId, QueueName, TaskId } from "@almondusher/jobs/ids";
import { initialProgress } from "@almondusher/jobs/progress";
import type { Row, Transaction, TransactionResult } from "@almondusher/platform-adapter/table-store";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { applyReport } from "@almondusher/scheduler/apply-report";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import type { Executor, OpenJob } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createProgressWriter, type ProgressWriter } from "../src/jobs/progress-writer.js";
import { POOL, STEP, emptyTables, executorRecord, openAllTasks } from "./fixture.js";

const TIMEOUT_MS = 3000;
// Longer than the writer pauses between two attempts.
const SEVERAL_ATTEMPTS_MS = 200;
const MAX_TRANSACTION_BYTES = 1_000_000;

interface Writing {
    readonly writer: ProgressWriter;
    /** Transactions that the store has received. */
    readonly transactions: readonly Transaction[];
    /** Adds a job with the given number of tasks. */
    readonly addJob: (number: number, tasks?: number) => OpenJob;
    /** Lets an executor report the next end, of a run of the job's task with the given index. */
    readonly end: (
        executor: Executor,
        job: OpenJob,
        change?: { readonly index?: number; readonly how?: RunEnd },
    ) => void;
    readonly executors: readonly [Executor, Executor];
}

const idOf = (number: number): JobId => toId<JobId>(String(number).padStart(16, "0"));

/** A writer whose store answers as given. */
const createWriting = (context: TestContext, answer: (transaction: Transaction) => TransactionResult): Writing => {
    let active = true;
    context.after(() => (active = false));
    const tables = emptyTables();
    applyRegistry(tables, [executorRecord("a"), executorRecord("b")], 0);
    const transactions: Transaction[] = [];
    const writer = createProgressWriter({
        context: {
            store: {
                transact: (transaction: Transaction) => {
                    transactions.push(transaction);
                    return Promise.resolve(answer(transaction));
                },
            },
            monotonicMs: () => performance.now(),
            log: () => undefined,
            metrics: { count: () => undefined, record: () => undefined },
        } as unknown as DispatcherContext,
        tables,
        onEndsStored: () => undefined,
        onJobFinished: () => undefined,
        isActive: () => active,
        mayStore: () => true,
    });
    const addJob: Writing["addJob"] = (number, tasks = 2) => {
        const job = {
            id: idOf(number),
            queue: toId<QueueName>("queue-1"),
            pool: POOL,
            spec: "",
            steps: [{ ...STEP, count: tasks }],
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
        const open = tables.jobs.get(job.id);
        assert.ok(open !== undefined);
        return open;
    };
    const end: Writing["end"] = (executor, { id }, { index = 0, how = "done" } = {}) => {
        const number = executor.lastAppliedEnd + 1;
        const task = toId<TaskId>(`${id}.0.0.${index}`);
        const ended = [{ number, task, run: number, how, checkpoint: "" }];
        const report = { clockMs: 10, startedAtMs: 1, active: [], ended, endsTruncated: false };
        writer.addEnds(executor, applyReport(tables, executor, report, { sentAtMs: 10, receivedAtMs: 10 }));
        writer.request();
    };
    const [a, b] = ["a", "b"].map(id => tables.executors.get(id as ExecutorId));
    assert.ok(a !== undefined && b !== undefined);
    return { writer, transactions, addJob, end, executors: [a, b] };
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
    const endMs = performance.now() + TIMEOUT_MS;
    while (!condition()) {
        assert.ok(performance.now() < endMs, "the condition does not become true");
        await sleep(5);
    }
};

const COMMITTED: TransactionResult = { kind: "committed", version: 2, nowMs: 0 };
const BAD = idOf(1);

/** A text of 64 characters that takes 48 bytes when it is compressed. */
const incompressible = (text: string): string => createHash("sha512").update(text).digest("base64").slice(0, 64);

const contains = ({ writes }: Transaction, id: JobId): boolean => writes.some(({ key }) => key === id);

/** Refuses every transaction that contains the bad job. */
const refuse =
    (refusal: TransactionResult) =>
    (transaction: Transaction): TransactionResult =>
        contains(transaction, BAD) ? refusal : COMMITTED;

// A row that is too large makes the store reject the transaction that contains it.
test("a job whose progress the store rejects does not keep the ends of other jobs unacknowledged", async context => {
    const { addJob, end, executors } = createWriting(context, refuse({ kind: "rejected", reason: "status 400" }));
    const [bad, good] = [addJob(1), addJob(2)];
    const [a, b] = executors;
    end(a, bad);
    end(b, good);
    await waitUntil(() => b.lastStoredEnd === 1);
    end(b, good, { how: "failed", index: 1 });
    await waitUntil(() => b.lastStoredEnd === 2);
    assert.equal(a.lastStoredEnd, 0, "an end is acknowledged although it is not stored");
    assert.ok(bad.dirty);
});

test("a job whose stored progress cannot be read does not keep the ends of other jobs unacknowledged", async context => {
    const row: Row = { table: "", part: "", key: BAD, value: "{", version: 7, deleted: false };
    const { addJob, end, executors } = createWriting(context, refuse({ kind: "conflict", rows: [row] }));
    const [bad, good] = [addJob(1), addJob(2)];
    const [a, b] = executors;
    end(a, bad);
    end(b, good);
    await waitUntil(() => b.lastStoredEnd === 1);
    assert.equal(a.lastStoredEnd, 0, "an end is acknowledged although it is not stored");
});

test("a job whose stored progress is missing does not keep the ends of other jobs unacknowledged", async context => {
    const { addJob, end, executors } = createWriting(context, refuse({ kind: "conflict", rows: [] }));
    const [bad, good] = [addJob(1), addJob(2)];
    const [a, b] = executors;
    end(a, bad);
    end(b, good);
    await waitUntil(() => b.lastStoredEnd === 1);
    assert.equal(a.lastStoredEnd, 0, "an end is acknowledged although it is not stored");
});

test("a transaction that fails keeps only the ends unacknowledged whose jobs it contains", async context => {
    // More jobs than fit in one transaction; the bad one is in the first.
    const { addJob, end, executors } = createWriting(context, refuse({ kind: "not-run", reason: "status 503" }));
    const jobs = Array.from({ length: 45 }, (unused, index) => addJob(index + 1));
    const [a, b] = executors;
    jobs.forEach((job, index) => end(index < 44 ? a : b, job));
    await waitUntil(() => b.lastStoredEnd === 1);
    assert.equal(a.lastStoredEnd, 0, "an end is acknowledged although it is not stored");
});

test("ends of two jobs are acknowledged only once both are stored", async context => {
    let isRefused = true;
    const { addJob, end, executors } = createWriting(context, transaction =>
        isRefused && contains(transaction, BAD) ? { kind: "rejected", reason: "status 400" } : COMMITTED,
    );
    const [bad, good] = [addJob(1), addJob(2)];
    const [a] = executors;
    end(a, bad);
    end(a, good);
    await sleep(SEVERAL_ATTEMPTS_MS);
    assert.equal(good.dirty, false);
    assert.equal(a.lastStoredEnd, 0);
    isRefused = false;
    await waitUntil(() => a.lastStoredEnd === 2);
});

test("the ends of a job whose write throws are acknowledged only once it is stored", async context => {
    let calls = 0;
    const { addJob, end, executors } = createWriting(context, () => {
        calls++;
        if (calls === 1) {
            throw new Error("write");
        }
        return COMMITTED;
    });
    const [a] = executors;
    end(a, addJob(1));
    await waitUntil(() => a.lastStoredEnd === 1);
    assert.equal(calls, 2);
});

test("large progress rows are stored in transactions of at most the size that the store takes", async context => {
    const sizeOf = (transaction: Transaction): number =>
        transaction.writes.reduce((sum, { value }) => sum + Buffer.from(value).toString("base64").length, 0) +
        JSON.stringify(transaction.expect).length * 2;
    const { addJob, end, executors, transactions } = createWriting(context, transaction =>
        sizeOf(transaction) > MAX_TRANSACTION_BYTES ? { kind: "not-run", reason: "status 400" } : COMMITTED,
    );
    const [a] = executors;
    const jobs = Array.from({ length: 40 }, (unused, index) => addJob(index + 1, 600));
    // A checkpoint of 64 characters for each of 600 tasks makes rows of about 40 kB.
    jobs.forEach(job => openAllTasks(job).forEach(task => (task.checkpoint = incompressible(task.id))));
    jobs.forEach(job => end(a, job));
    await waitUntil(() => a.lastStoredEnd === 40);
    assert.ok(transactions.some(({ writes }) => writes.some(({ value }) => value.length > 38_000)));
    assert.ok(transactions.every(transaction => sizeOf(transaction) <= MAX_TRANSACTION_BYTES));
});

test("a job whose progress is too large with its checkpoints is stored without them", async context => {
    const maxRowBytes = 65_536;
    const { addJob, end, executors, transactions } = createWriting(context, ({ writes }) =>
        writes.some(({ value }) => Buffer.byteLength(value) > maxRowBytes)
            ? { kind: "rejected", reason: "status 400" }
            : COMMITTED,
    );
    const [a] = executors;
    const job = addJob(1, 2000);
    openAllTasks(job).forEach(task => (task.checkpoint = incompressible(task.id)));
    end(a, job);
    await waitUntil(() => a.lastStoredEnd === 1);
    end(a, job, { index: 1 });
    await waitUntil(() => a.lastStoredEnd === 2);
    assert.equal(transactions.length, 3, "the row that is too large is sent only once");
});
