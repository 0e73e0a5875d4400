import assert from "node:assert/strict";
import { mock, test, type TestContext } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import type { Transaction, TransactionResult } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createFinishedJobRows, type FinishedJob, type FinishedJobRows } from "../src/jobs/finished-job-rows.js";
import { jobTablesOf } from "../src/jobs/job-rows.js";

const POOL = toId<PoolName>("pool-a");
const TABLES = jobTablesOf(POOL);
const COMMITTED: TransactionResult = { kind: "committed", version: 1, nowMs: 0 };
const STEP_MS = 50;
const JOB_STATE_SECONDS = 1200;
const MAX_ROWS_PER_TRANSACTION = 100;

const finishedJob = (number: number, state: FinishedJob["state"] = "completed"): FinishedJob => ({
    id: toId<JobId>(String(number).padStart(16, "0")),
    state,
});

interface Removal {
    readonly rows: FinishedJobRows;
    /** Tables and keys of the rows in each transaction that the store has received. */
    readonly removed: readonly (readonly string[])[];
    /** Lets the given time pass, in milliseconds. */
    readonly pass: (durationMs: number, stepMs?: number) => Promise<void>;
}

interface RemovalOptions {
    readonly answer?: () => TransactionResult;
    readonly mayStore?: () => boolean;
    readonly jobStateSeconds?: number;
}

const descriptionOf = ({ id }: FinishedJob): string => `${TABLES.jobs}/${id}`;
const stateOf = ({ id }: FinishedJob): string => `${TABLES.progress}/${id}`;

const createRemoval = (
    context: TestContext,
    { answer = () => COMMITTED, mayStore = () => true, jobStateSeconds = JOB_STATE_SECONDS }: RemovalOptions = {},
): Removal => {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const removed: (readonly string[])[] = [];
    let nowMs = 0;
    const rows = createFinishedJobRows({
        context: {
            store: {
                transact: ({ expect, writes, removals = [] }: Transaction) => {
                    assert.deepEqual([expect, writes], [[], []]);
                    assert.ok(removals.every(({ part }) => part === TABLES.part));
                    removed.push(removals.map(({ table, key }) => `${table}/${key}`));
                    return Promise.resolve(answer());
                },
            },
            metrics: { count: () => undefined },
            monotonicMs: () => nowMs,
        } as unknown as DispatcherContext,
        pool: POOL,
        jobStateSeconds,
        isActive: () => true,
        mayStore,
    });
    const pass: Removal["pass"] = async (durationMs, stepMs = STEP_MS) => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
            nowMs += stepMs;
            mock.timers.tick(stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { rows, removed, pass };
};

test("the descriptions of finished jobs are removed together, once", async context => {
    const { rows, removed, pass } = createRemoval(context);
    const jobs = [finishedJob(1), finishedJob(2)];
    jobs.forEach(rows.add);
    await pass(3000);
    jobs.forEach(rows.add);
    await pass(3000);
    assert.deepEqual(removed, [jobs.map(descriptionOf)]);
});

test("a finished job does not keep its description in memory", async context => {
    const { rows, pass } = createRemoval(context);
    const addJob = (): WeakRef<FinishedJob> => {
        const job = { ...finishedJob(1), spec: "text" };
        rows.add(job);
        return new WeakRef(job);
    };
    const added = addJob();
    await pass(3000);
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    assert.equal(added.deref(), undefined);
});

test("the state of a finished job stays readable for the retention time, and a late submission conflicts with it", async context => {
    const { rows, removed, pass } = createRemoval(context);
    const job = finishedJob(1);
    rows.add(job);
    await pass(JOB_STATE_SECONDS * 1000 - 2000, 1000);
    assert.deepEqual(removed, [[descriptionOf(job)]]);
    await pass(5000, 1000);
    assert.deepEqual(removed, [[descriptionOf(job)], [stateOf(job)]]);
});

test("a short retention time does not let a submission that is repeated minutes later run its job again", async context => {
    const { rows, removed, pass } = createRemoval(context, { jobStateSeconds: 1 });
    rows.add(finishedJob(1));
    await pass(590_000, 1000);
    assert.equal(removed.length, 1);
});

test("the cancellation of a cancelled job is removed with its state", async context => {
    const { rows, removed, pass } = createRemoval(context);
    const job = finishedJob(1, "cancelled");
    rows.add(job);
    await pass(JOB_STATE_SECONDS * 1000 + 3000, 1000);
    assert.deepEqual(removed, [[descriptionOf(job)], [stateOf(job), `${stateOf(job)}!`, `${descriptionOf(job)}!`]]);
});

test("a removal that may not have been applied is repeated", async context => {
    const results: TransactionResult[] = [
        { kind: "unknown", reason: "no response" },
        { kind: "not-run", reason: "status 503" },
    ];
    const { rows, removed, pass } = createRemoval(context, { answer: () => results.shift() ?? COMMITTED });
    const job = finishedJob(1);
    rows.add(job);
    await pass(6000);
    assert.deepEqual(removed, [[descriptionOf(job)], [descriptionOf(job)], [descriptionOf(job)]]);
});

test("a holder that may no longer act removes no rows", async context => {
    let mayStore = false;
    const { rows, removed, pass } = createRemoval(context, { mayStore: () => mayStore });
    const job = finishedJob(1);
    rows.add(job);
    await pass(3000);
    assert.deepEqual(removed, []);
    mayStore = true;
    await pass(2000);
    assert.deepEqual(removed, [[descriptionOf(job)]]);
});

test("many finished jobs are removed in transactions that the store accepts, within its rate", async context => {
    const { rows, removed, pass } = createRemoval(context);
    const jobs = Array.from({ length: 600 }, (unused, number) => finishedJob(number, "cancelled"));
    jobs.forEach(rows.add);
    await pass(4000);
    assert.deepEqual(removed.flat(), jobs.map(descriptionOf));
    assert.ok(removed.length <= 10);
    await pass(JOB_STATE_SECONDS * 1000 + 20_000, 100);
    assert.equal(removed.flat().length, 4 * jobs.length);
    assert.ok(removed.every(keys => keys.length <= MAX_ROWS_PER_TRANSACTION));
});
