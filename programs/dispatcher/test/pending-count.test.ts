import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type ProcessId, type VmId } from "@almondusher/fleet/ids";
import type { JobId, QueueName } from "@almondusher/jobs/ids";
import { initialProgress, type Progress } from "@almondusher/jobs/progress";
import { encodeJob, encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row, RowKey, TableStore } from "@almondusher/platform-adapter/table-store";
import { cancellationRow, cancelledProgressRow, jobRow, jobTablesOf, progressRow } from "../src/jobs/job-rows.js";
import { emptyLeaseContent, type LeaseRecord } from "../src/leases/lease-rows.js";
import { countPending, type CountedJobs } from "../src/entry/pending-count.js";
import { POOL, QUEUE } from "./fixture.js";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

const TABLES = jobTablesOf(POOL);
const NOW_MS = 10_000;

const row = (key: RowKey, value: string): Row => ({ ...key, value, version: 1, deleted: false });
const job = (id: string, queue = QUEUE.name): Row =>
    row(
        jobRow(TABLES, id as JobId),
        encodeJob({
            id: id as JobId,
            queue,
            pool: POOL,
            tenant: undefined,
            spec: "",
            steps: [],
            schedule: undefined,
            terms: undefined,
            acceptedAtMs: 0,
        }),
    );
const progress = (id: string, state: Progress["state"]): Row =>
    row(progressRow(TABLES, id as JobId), encodeProgress({ ...initialProgress, state }));
const rows = (found: readonly Row[]): Reading => ({
    kind: "rows",
    rows: found,
    version: 50,
    nowMs: NOW_MS,
    truncated: false,
});

const published = (change: Partial<LeaseRecord>): LeaseRecord => ({
    ...emptyLeaseContent,
    holder: toId<VmId>("vm-1"),
    process: "vm-1/1" as ProcessId,
    epoch: 3,
    runNumbersUpTo: undefined,
    ...change,
});

const count = async (
    lease: LeaseRecord | undefined,
    store: { readonly changes?: Reading; readonly stored?: readonly Row[] },
): Promise<{ readonly counted: CountedJobs | undefined; readonly calls: readonly string[] }> => {
    const calls: string[] = [];
    const unavailable: Reading = { kind: "failed", reason: "status 503" };
    const counted = await countPending({
        published: lease,
        queue: QUEUE,
        context: {
            log: () => undefined,
            metrics: { count: () => undefined, record: () => undefined, text: () => "" },
            store: {
                nowMs: () => NOW_MS,
                changes: ({ after }: { readonly after: number }) => {
                    calls.push(`changes after ${after}`);
                    return Promise.resolve(store.changes ?? unavailable);
                },
                read: ({ table }: { readonly table: string }) => {
                    calls.push(`read ${table}`);
                    const found = store.stored?.filter(stored => stored.table === table);
                    return Promise.resolve(found === undefined ? unavailable : rows(found));
                },
            } as unknown as TableStore,
        },
    });
    return { counted, calls };
};

test("a recent count is answered from the lease without a call to the store", async () => {
    const lease = published({
        pending: [{ queue: QUEUE.name, jobs: 4 }],
        pendingAsOf: { version: 7, atMs: NOW_MS - 1500 },
    });
    const { counted, calls } = await count(lease, {});
    assert.equal(counted?.jobs, 4);
    assert.equal(counted.ageMs, 1500);
    assert.equal(counted.source.kind, "lease");
    assert.deepEqual(calls, []);
});

test("jobs that the holder of a renewed lease has not read yet are counted", async () => {
    const lease = published({
        pending: [{ queue: QUEUE.name, jobs: 1 }],
        pendingAsOf: { version: 7, atMs: NOW_MS - 5000 },
    });
    const changes = rows([
        job("a"),
        job("b"),
        job("c", toId<QueueName>("queue-2")),
        job("d"),
        row(cancellationRow(TABLES, "d" as JobId), "{}"),
    ]);
    const { counted, calls } = await count(lease, { changes });
    assert.equal(counted?.jobs, 3, "the published job, a and b");
    assert.deepEqual(counted.source, {
        kind: "lease-and-store",
        holder: "vm-1",
        epoch: 3,
        publishedAgeMs: 5000,
    });
    assert.deepEqual(calls, ["changes after 7"]);
});

const stored = [
    job("a"),
    progress("a", "queued"),
    job("b"),
    progress("b", "running"),
    job("c"),
    progress("c", "queued"),
    row(cancellationRow(TABLES, "c" as JobId), "{}"),
    row(cancelledProgressRow(TABLES, "c" as JobId), "{}"),
    job("d"),
    progress("d", "queued"),
];

test("an old count is replaced by one of the stored jobs if the changes after it are lost or cut off", async () => {
    const lease = published({ pendingAsOf: { version: 7, atMs: 0 } });
    const cutOff: Reading = { kind: "rows", rows: [], version: 9, nowMs: NOW_MS, truncated: true };
    for (const changes of [{ kind: "history-lost" } as const, cutOff]) {
        const { counted } = await count(lease, { changes, stored });
        assert.equal(counted?.jobs, 2, "a and d");
        assert.equal(counted.source.kind, "store");
    }
});

test("a lease that does not tell the age of its count is not used", async () => {
    for (const lease of [undefined, published({ pending: [{ queue: QUEUE.name, jobs: 0 }] })]) {
        const { counted } = await count(lease, { stored });
        assert.equal(counted?.jobs, 2, "a and d");
        assert.equal(counted.source.kind, "store");
    }
});

test("an old count is not answered while the store is unavailable", async () => {
    const { counted } = await count(published({ pendingAsOf: { version: 7, atMs: 0 } }), {});
    assert.equal(counted, undefined);
});
