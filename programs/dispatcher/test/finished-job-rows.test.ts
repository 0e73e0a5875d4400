import assert from "node:assert/strict";
import { mock, test, type TestContext } from "node:test";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import type { Transaction, TransactionResult } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../src/dispatcher-context.js";
import { createFinishedJobRows, type FinishedJobRows } from "../src/finished-job-rows.js";
import { jobTablesOf } from "../src/job-rows.js";

const POOL = toId<PoolName>("pool-a");
const COMMITTED: TransactionResult = { kind: "committed", version: 1, nowMs: 0 };
const STEP_MS = 50;

const idOf = (number: number): JobId => toId<JobId>(String(number).padStart(16, "0"));

interface Removal {
    readonly rows: FinishedJobRows;
    /** Keys of the rows in each transaction that the store has received. */
    readonly removed: readonly (readonly string[])[];
    /** Lets the given time pass, in milliseconds. */
    readonly pass: (durationMs: number) => Promise<void>;
}

interface RemovalOptions {
    readonly answer?: () => TransactionResult;
    readonly mayStore?: () => boolean;
}

const createRemoval = (
    context: TestContext,
    { answer = () => COMMITTED, mayStore = () => true }: RemovalOptions = {},
): Removal => {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const removed: (readonly string[])[] = [];
    const rows = createFinishedJobRows({
        context: {
            store: {
                transact: ({ expect, writes, removals = [] }: Transaction) => {
                    assert.deepEqual([expect, writes], [[], []]);
                    assert.ok(removals.every(({ table, part }) => table === jobTablesOf(POOL).jobs && part === table));
                    removed.push(removals.map(({ key }) => key));
                    return Promise.resolve(answer());
                },
            },
            metrics: { count: () => undefined },
        } as unknown as DispatcherContext,
        pool: POOL,
        isActive: () => true,
        mayStore,
    });
    const pass = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
            mock.timers.tick(STEP_MS);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { rows, removed, pass };
};

test("the rows of finished jobs are removed together, once", async context => {
    const { rows, removed, pass } = createRemoval(context);
    rows.add(idOf(1));
    rows.add(idOf(2));
    await pass(5000);
    assert.deepEqual(removed, [[idOf(1), idOf(2)]]);
});

test("a removal that may not have been applied is repeated", async context => {
    const results: TransactionResult[] = [
        { kind: "unknown", reason: "no response" },
        { kind: "not-run", reason: "status 503" },
    ];
    const { rows, removed, pass } = createRemoval(context, { answer: () => results.shift() ?? COMMITTED });
    rows.add(idOf(1));
    await pass(6000);
    assert.deepEqual(removed, [[idOf(1)], [idOf(1)], [idOf(1)]]);
});

test("a holder that may no longer act removes no rows", async context => {
    let mayStore = false;
    const { rows, removed, pass } = createRemoval(context, { mayStore: () => mayStore });
    rows.add(idOf(1));
    await pass(3000);
    assert.deepEqual(removed, []);
    mayStore = true;
    await pass(2000);
    assert.deepEqual(removed, [[idOf(1)]]);
});

test("many finished jobs are removed in transactions that the store accepts, within its rate", async context => {
    const { rows, removed, pass } = createRemoval(context);
    const ids = Array.from({ length: 950 }, (unused, number) => idOf(number));
    ids.forEach(rows.add);
    await pass(4000);
    assert.deepEqual(removed.flat(), ids);
    assert.ok(removed.every(keys => keys.length <= 100));
    assert.ok(removed.length <= 10);
});
