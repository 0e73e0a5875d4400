import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId, type ProcessId, type VmId } from "@almondusher/fleet/ids";
import type { JobId, QueueName } from "@almondusher/jobs/ids";
import { initialProgress } from "@almondusher/jobs/progress";
import { encodeJob, encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { initialRunNumbers } from "@almondusher/scheduler/run-numbers";
import type { DecisionLog } from "../src/process/decision-log.js";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import type { ExecutorRegistry } from "../src/executors/executor-registry.js";
import { jobRow, jobTablesOf, progressRow } from "../src/jobs/job-rows.js";
import type { HeldLease } from "../src/leases/held-lease.js";
import { emptyLeaseContent, type LeaseRecord } from "../src/leases/lease-rows.js";
import type { OperatorFeed } from "../src/operator/operator-feed.js";
import { startPoolScheduler, type PoolScheduler } from "../src/pool/pool-scheduler.js";
import { POOL, STEP } from "./fixture.js";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

const QUEUE = toId<QueueName>("queue-1");
const TABLES = jobTablesOf(POOL);
const ID = "0000000000000001" as JobId;

const never = <Value>(): Promise<Value> => new Promise(() => undefined);
const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Starts the scheduler of a pool after a takeover, with a store that answers reads as given. */
const takeOver = (
    predecessor: LeaseRecord,
    read: (table: string) => Promise<Reading>,
    log: DecisionLog = () => undefined,
    monotonicMs: () => number = () => performance.now(),
    changes: (request: Parameters<TableStore["changes"]>[0]) => Promise<Reading> = never,
    isRegistryRead: () => boolean = () => false,
): { readonly scheduler: PoolScheduler; readonly lease: HeldLease } => {
    const lease: HeldLease = {
        subject: { kind: "pool", pool: POOL },
        epoch: predecessor.epoch + 1,
        runNumbers: initialRunNumbers(predecessor.epoch + 1),
        predecessor,
        predecessorEnded: false,
        unrenewedMs: 2000,
        inheritedRunsUntilMs: 0,
        renewedAtMs: performance.now(),
        renewedWallMs: Date.now(),
        version: 1,
        lost: false,
    };
    const scheduler = startPoolScheduler({
        context: {
            settings: { maxLeaseMs: 6000 },
            monotonicMs,
            log,
            metrics: { count: () => undefined, record: () => undefined },
            store: {
                nowMs: () => performance.now(),
                read: ({ table }: { readonly table: string }) => read(table),
                changes,
            },
        } as unknown as DispatcherContext,
        pool: POOL,
        lease,
        registry: {
            subscribe: () => () => undefined,
            events: new EventEmitter(),
            executorsOf: () => undefined,
            isRead: isRegistryRead,
            pageReadAtMs: () => Number.NEGATIVE_INFINITY,
        } as unknown as ExecutorRegistry,
        operator: { events: new EventEmitter(), configuration: () => undefined } as unknown as OperatorFeed,
        advice: undefined,
        division: () => undefined,
        requestRenewal: () => undefined,
    });
    return { scheduler, lease };
};

const PREDECESSOR: LeaseRecord = {
    ...emptyLeaseContent,
    holder: toId<VmId>("vm-1"),
    process: "vm-1/1" as ProcessId,
    epoch: 3,
    runNumbersUpTo: undefined,
    pending: [{ queue: QUEUE, jobs: 7 }],
    pendingAsOf: { version: 40, atMs: 1000 },
};

test("a new holder that has not loaded the jobs yet publishes its predecessor's counts with their age", async () => {
    const { scheduler } = takeOver(PREDECESSOR, never);
    await nextTurn();
    const content = scheduler.leaseContent();
    await scheduler.stop();
    assert.deepEqual(content.pending, [{ queue: QUEUE, jobs: 7 }]);
    assert.deepEqual(content.pendingAsOf, { version: 40, atMs: 1000 });
});

test("a new holder publishes its own counts once the jobs are loaded, as of the start of the load", async () => {
    const job: Row = {
        ...jobRow(TABLES, ID),
        version: 50,
        deleted: false,
        value: encodeJob({
            id: ID,
            queue: QUEUE,
            pool: POOL,
            spec: "",
            steps: [STEP],
            schedule: undefined,
            tenant: undefined,
            terms: undefined,
            acceptedAtMs: 0,
        }),
    };
    const progress: Row = { ...job, ...progressRow(TABLES, ID), value: encodeProgress(initialProgress) };
    const { scheduler } = takeOver(PREDECESSOR, table =>
        Promise.resolve({
            kind: "rows",
            rows: [table === TABLES.jobs ? job : progress],
            version: table === TABLES.jobs ? 60 : 61,
            nowMs: table === TABLES.jobs ? 2000 : 2020,
            truncated: false,
        }),
    );
    await nextTurn();
    await nextTurn();
    const content = scheduler.leaseContent();
    await scheduler.stop();
    assert.deepEqual(content.pending, [{ queue: QUEUE, jobs: 1 }]);
    assert.deepEqual(content.pendingAsOf, { version: 60, atMs: 2000 });
});

// The progress of a job that was accepted between the two readings is not taken from the second one, and the former holder may
// have stored an end of it before that.
test("changes of progress are read from the state of the jobs, not from that of the progress or of later jobs", async () => {
    const requests: { readonly table: string; readonly after: number }[] = [];
    let jobChanges = 0;
    const { scheduler } = takeOver(
        PREDECESSOR,
        table =>
            Promise.resolve({
                kind: "rows",
                rows: [],
                version: table === TABLES.jobs ? 60 : 65,
                nowMs: 2000,
                truncated: false,
            }),
        () => undefined,
        () => performance.now(),
        ({ table, after }) => {
            requests.push({ table, after });
            jobChanges += table === TABLES.jobs ? 1 : 0;
            return jobChanges === 1
                ? Promise.resolve({ kind: "rows", rows: [], version: 70, nowMs: 2100, truncated: false })
                : never();
        },
    );
    const endMs = performance.now() + 5000;
    while (!requests.some(({ table }) => table === TABLES.progress) && performance.now() < endMs) {
        await sleep(10);
    }
    await scheduler.stop();
    assert.ok(
        requests.some(({ table, after }) => table === TABLES.jobs && after === 70),
        "later jobs were not read",
    );
    assert.equal(requests.find(({ table }) => table === TABLES.progress)?.after, 60);
});

test("a pool whose holder has not read the executors yet counts as starting, so that a larger VM may request it", async () => {
    const answer = (): Promise<Reading> =>
        Promise.resolve({ kind: "rows", rows: [], version: 60, nowMs: 2000, truncated: false });
    let isRegistryRead = false;
    let progressReadings = 0;
    const { scheduler } = takeOver(
        PREDECESSOR,
        answer,
        () => undefined,
        () => performance.now(),
        ({ table }) => {
            progressReadings += table === TABLES.progress ? 1 : 0;
            return table === TABLES.progress ? answer() : never();
        },
        () => isRegistryRead,
    );
    const endMs = performance.now() + 5000;
    while (progressReadings === 0 && performance.now() < endMs) {
        await sleep(10);
    }
    await nextTurn();
    const before = scheduler.leaseContent().schedulerStatus;
    isRegistryRead = true;
    const after = scheduler.leaseContent().schedulerStatus;
    await scheduler.stop();
    assert.deepEqual([before, after], ["starting", "current"]);
});

test("a holder that cannot read the jobs of its pool names that after 3 s, since it starts nothing until then", async () => {
    const logged = new EventEmitter();
    const waiting = once(logged, "pool-waiting");
    const { scheduler } = takeOver(PREDECESSOR, never, (event, fields) => void logged.emit(event, fields));
    const [line] = (await waiting) as [{ readonly reason: string; readonly waitedMs: number }];
    await scheduler.stop();
    assert.equal(line.reason, "jobs-not-read");
    assert(line.waitedMs >= 3000);
});

/** A holder keeps its lease for this long before a larger VM may request it (docs/jobs.md, "Placement"). */
const TENURE_MS = 12_000;

/** A store that answers one page at a time when told to, and no other reads. */
const createPageByPageStore = () => {
    let pages = 0;
    let answered = 0;
    const page = (): Reading => ({
        kind: "rows",
        rows: [{ table: TABLES.jobs, part: TABLES.part, key: `${pages}!`, value: "{}", version: 1, deleted: false }],
        version: 1,
        nowMs: 0,
        truncated: true,
    });
    return {
        read: (): Promise<Reading> => {
            if (answered === pages) {
                return Promise.resolve({ kind: "failed", reason: "no answer", unanswered: true });
            }
            answered++;
            return Promise.resolve(page());
        },
        answerPage: async (): Promise<void> => {
            pages++;
            while (answered < pages) {
                await sleep(5);
            }
            await nextTurn();
        },
    };
};

// A holder whose path to the store carried the small renewals and no answers to reads kept its pool, and started nothing.
test("a scheduler is stuck once no page of its jobs was read for a tenure, but not while pages are read", async () => {
    let nowMs = 0;
    const store = createPageByPageStore();
    const { scheduler, lease } = takeOver(PREDECESSOR, store.read, undefined, () => nowMs);
    const isStuckAt = (ms: number): boolean => {
        nowMs = ms;
        return scheduler.isStuck();
    };
    assert.equal(isStuckAt(TENURE_MS - 1), false);
    assert.equal(isStuckAt(TENURE_MS), true);
    nowMs = 10_000;
    await store.answerPage();
    assert.equal(isStuckAt(10_000 + TENURE_MS - 1), false);
    await store.answerPage();
    assert.equal(isStuckAt(10_000 + 2 * (TENURE_MS - 1)), false);
    assert.equal(isStuckAt(10_000 + 2 * TENURE_MS), true);
    lease.lost = true;
    await scheduler.stop();
});

test("a scheduler that has read its jobs is stuck only while no page of the executors is read", async () => {
    let nowMs = 0;
    const read = (): Promise<Reading> =>
        Promise.resolve({ kind: "rows", rows: [], version: 1, nowMs: 0, truncated: false });
    const { scheduler, lease } = takeOver(PREDECESSOR, read, undefined, () => nowMs);
    await nextTurn();
    await nextTurn();
    nowMs = TENURE_MS - 1;
    assert.equal(scheduler.isStuck(), false);
    nowMs = TENURE_MS;
    assert.equal(scheduler.isStuck(), true);
    lease.lost = true;
    await scheduler.stop();
});
