import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import type { JobId, QueueName } from "@almondusher/jobs/ids";
import type { Job } from "@almondusher/jobs/job";
import { initialProgress, type Progress } from "@almondusher/jobs/progress";
import { encodeJob, encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import type { FinishedJob } from "../src/jobs/finished-job-rows.js";
import { followJobs } from "../src/jobs/job-feed.js";
import { jobTablesOf } from "../src/jobs/job-rows.js";
import type { StorePoint } from "../src/store/read-all.js";
import { createPagedStore, PAGED_STORE_VERSION, type PagedStore } from "./paged-store.js";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

const rows = (version: number, nowMs: number, truncated = false): Reading => ({
    kind: "rows",
    rows: [],
    version,
    nowMs,
    truncated,
});

const POOL = toId<PoolName>("pool-a");
const TABLES = jobTablesOf(POOL);

const jobOf = (id: string, pool = POOL): Job => ({
    id: id as JobId,
    queue: "queue-1" as QueueName,
    pool,
    spec: "text",
    steps: [],
    schedule: undefined,
    tenant: undefined,
    terms: undefined,
    acceptedAtMs: 0,
});

const rowOf = (table: string, key: string, value: string, version = 1): Row => ({
    table,
    part: TABLES.part,
    key,
    value,
    version,
    deleted: false,
});

const descriptionRow = (job: Job, version?: number): Row => rowOf(TABLES.jobs, job.id, encodeJob(job), version);

const progressRow = (id: string, progress: Progress = initialProgress, version?: number): Row =>
    rowOf(TABLES.progress, id, encodeProgress(progress), version);

/** Follows the jobs of a pool until the given changes are used up, and returns the states that were read up to. */
const follow = async (loads: readonly Reading[], changes: readonly Reading[]): Promise<readonly StorePoint[]> => {
    const points: StorePoint[] = [];
    const remainingLoads = [...loads];
    const remainingChanges = [...changes];
    const store = {
        read: () => Promise.resolve(remainingLoads.shift() ?? rows(99, 99)),
        changes: () => Promise.resolve(remainingChanges.shift() ?? { kind: "failed", reason: "no more" }),
    } as unknown as TableStore;
    await followJobs({
        context: { store } as unknown as DispatcherContext,
        pool: POOL,
        isActive: () => remainingChanges.length > 0,
        sink: {
            job: () => undefined,
            finished: () => undefined,
            cancelled: () => undefined,
            changed: () => undefined,
            readUpTo: point => points.push(point),
        },
    });
    return points;
};

test("the jobs are known up to the first page of the load, since later pages may lack jobs", async () => {
    const cancellation = { table: "jobs-1", part: "jobs-1", key: "a!", value: "{}", version: 4, deleted: false };
    const firstPage: Reading = { kind: "rows", rows: [cancellation], version: 5, nowMs: 100, truncated: true };
    const loads = [firstPage, rows(8, 130), rows(9, 140)];
    assert.deepEqual(await follow(loads, [{ kind: "failed", reason: "status 503" }]), [{ version: 5, atMs: 100 }]);
});

test("failed, lost and cut off reads of changes do not make the known jobs appear newer", async () => {
    const loads = [rows(5, 100), rows(5, 100), { kind: "failed", reason: "status 503" } as const, rows(9, 900)];
    const points = await follow(loads, [
        rows(6, 300),
        { kind: "failed", reason: "status 503" },
        rows(7, 500, true),
        { kind: "history-lost" },
        rows(8, 999),
    ]);
    assert.deepEqual(points.slice(0, 3), [
        { version: 5, atMs: 100 },
        { version: 6, atMs: 300 },
        { version: 7, atMs: 300 },
    ]);
    assert.deepEqual(points[3], { version: 9, atMs: 900 }, "the load that goes on after a failed read");
});

test("unreadable rows of jobs and of progress are skipped, and the other jobs are delivered", async () => {
    const stored: Readonly<Record<string, readonly Row[]>> = {
        [TABLES.jobs]: [
            descriptionRow(jobOf("odd-progress")),
            rowOf(TABLES.jobs, "odd-job", "[".repeat(10_000)),
            descriptionRow(jobOf("good")),
        ],
        [TABLES.progress]: [
            progressRow("odd-job"),
            progressRow("good"),
            rowOf(TABLES.progress, "odd-progress", '{"format":1}'),
        ],
    };
    const delivered: string[] = [];
    const unreadable: unknown[] = [];
    await followJobs({
        context: {
            store: {
                read: ({ table }: { readonly table: string }) =>
                    Promise.resolve({ ...rows(5, 100), rows: stored[table] ?? [] }),
            },
            log: (unusedEvent: string, { key }: { readonly key?: unknown }) => unreadable.push(key),
            metrics: { count: () => undefined },
            monotonicMs: () => 0,
        } as unknown as DispatcherContext,
        pool: POOL,
        isActive: () => delivered.length === 0,
        sink: {
            job: read => delivered.push(read.job.id),
            finished: () => undefined,
            cancelled: () => undefined,
            changed: () => undefined,
            readUpTo: () => undefined,
        },
    });
    assert.deepEqual(delivered, ["good"]);
    assert.deepEqual(unreadable, ["odd-progress", "odd-job"]);
});

test("a finished job whose description is still stored is reported as finished, and is not opened", async () => {
    const job = jobOf("done");
    const stored: Readonly<Record<string, Row>> = {
        [TABLES.jobs]: descriptionRow(job),
        [TABLES.progress]: progressRow(job.id, { state: "failed", steps: [] }),
    };
    const finished: FinishedJob[] = [];
    let loaded = false;
    await followJobs({
        context: {
            store: {
                read: ({ table }: { readonly table: string }) =>
                    Promise.resolve({ ...rows(5, 100), rows: [stored[table]] }),
            },
            monotonicMs: () => 0,
        } as unknown as DispatcherContext,
        pool: POOL,
        isActive: () => !loaded,
        sink: {
            job: () => assert.fail("the job is finished"),
            finished: ended => finished.push(ended),
            cancelled: () => undefined,
            changed: () => undefined,
            readUpTo: () => (loaded = true),
        },
    });
    assert.deepEqual(finished, [{ id: job.id, state: "failed" }]);
});

test("a job whose progress is missing is not left out silently", async () => {
    const jobRows = [
        ...Array.from({ length: 30 }, (unused, index) => descriptionRow(jobOf(`job-${index}`))),
        descriptionRow(jobOf("other", toId<PoolName>("pool-b"))),
    ];
    const lines: Readonly<Record<string, unknown>>[] = [];
    const counts: unknown[] = [];
    let loaded = false;
    await followJobs({
        context: {
            store: {
                read: ({ table }: { readonly table: string }) =>
                    Promise.resolve({ ...rows(5, 100), rows: table === TABLES.jobs ? jobRows : [] }),
            },
            log: (event: string, fields: Readonly<Record<string, unknown>>) => lines.push({ event, ...fields }),
            metrics: { count: (...counted: readonly unknown[]) => counts.push(counted) },
            monotonicMs: () => 0,
        } as unknown as DispatcherContext,
        pool: POOL,
        isActive: () => !loaded,
        sink: {
            job: () => assert.fail("tasks that are done could run again"),
            finished: () => undefined,
            cancelled: () => undefined,
            changed: () => undefined,
            readUpTo: () => (loaded = true),
        },
    });
    const ids = Array.from({ length: 20 }, (unused, index) => `job-${index}`);
    assert.deepEqual(lines, [{ event: "progress-missing", pool: POOL, count: 30, jobs: ids }]);
    assert.deepEqual(counts, [["missing_progress_rows", 30]]);
});

test("a job whose delivery fails does not keep later jobs back and is delivered again", async () => {
    const jobRows = [descriptionRow(jobOf("bad"), 6), descriptionRow(jobOf("good"), 7)];
    const progressRows = [progressRow("bad", initialProgress, 6), progressRow("good", initialProgress, 7)];
    const rowsOf = (read: readonly Row[]): Reading => ({
        kind: "rows",
        rows: read,
        version: 7,
        nowMs: 200,
        truncated: false,
    });
    const delivered: string[] = [];
    let attempts = 0;
    let loads = 0;
    const read = (table: string): Reading => {
        loads += table === TABLES.jobs ? 1 : 0;
        // The jobs are accepted after the first load.
        return loads === 1 ? rows(5, 100) : rowsOf(table === TABLES.jobs ? jobRows : progressRows);
    };
    const changes = async (after: number): Promise<Reading> => {
        await sleep(20);
        return rowsOf(jobRows.filter(({ version }) => version > after));
    };
    const endMs = performance.now() + 5000;
    await followJobs({
        context: {
            store: {
                read: ({ table }: { readonly table: string }) => Promise.resolve(read(table)),
                changes: ({ after }: { readonly after: number }) => changes(after),
            },
            log: () => undefined,
            metrics: { count: () => undefined },
            monotonicMs: () => performance.now(),
        } as unknown as DispatcherContext,
        pool: POOL,
        isActive: () => !delivered.includes("bad") && performance.now() < endMs,
        sink: {
            job: ({ job }) => {
                attempts += job.id === "bad" ? 1 : 0;
                if (job.id === "bad" && attempts < 3) {
                    throw new Error("the job cannot be opened");
                }
                delivered.push(job.id);
            },
            finished: () => undefined,
            cancelled: () => undefined,
            changed: () => undefined,
            readUpTo: () => undefined,
        },
    });
    assert.equal(delivered[0], "good");
    assert.ok(delivered.includes("bad"));
    assert.equal(attempts, 3);
});

/** 1,900 jobs that have ended, and the descriptions of 150 open ones. */
const storedRows = (): readonly Row[] => {
    const ids = Array.from({ length: 1900 }, (unused, index) => String(index).padStart(4, "0"));
    const isOpen = (id: string): boolean => Number(id) < 150;
    return [
        ...ids.filter(isOpen).map(id => descriptionRow(jobOf(id))),
        ...ids.map(id => progressRow(id, isOpen(id) ? initialProgress : { state: "completed", steps: [] })),
    ];
};

/** Loads the stored jobs, until a row is read for the second time; returns the jobs that were delivered. */
const loadFrom = async (store: PagedStore) => {
    const open: string[] = [];
    const finished: string[] = [];
    const points: StorePoint[] = [];
    await followJobs({
        context: { store, monotonicMs: () => 0 } as unknown as DispatcherContext,
        pool: POOL,
        isActive: () => points.length === 0 && store.mostReadsOfARow() <= 1,
        sink: {
            job: ({ job }) => open.push(job.id),
            finished: ({ id }) => finished.push(id),
            cancelled: () => undefined,
            changed: () => undefined,
            readUpTo: point => points.push(point),
        },
    });
    return { open: open.length, finished: finished.length, points, mostReads: store.mostReadsOfARow() };
};

const ALL_LOADED = {
    open: 150,
    finished: 1750,
    points: [{ version: PAGED_STORE_VERSION, atMs: 100 }],
    mostReads: 1,
};

// A holder on such a path renews its lease, with small answers, and started nothing for as long as it held the pool.
test("jobs are loaded although each page fails as often as it is tried at once, and no row is read again", async () => {
    const store = createPagedStore(storedRows(), call => (call % 4 === 3 ? "answered" : "unanswered"));
    assert.deepEqual(await loadFrom(store), ALL_LOADED);
});

test("jobs are loaded from a store that refuses every other call, and no row is read again", async () => {
    const store = createPagedStore(storedRows(), call => (call % 2 === 0 ? "answered" : "refused"));
    assert.deepEqual(await loadFrom(store), ALL_LOADED);
});

// Progress that is read before its job would lack what a former holder has stored in between.
test("progress is read only after all jobs, also if the store refuses reads of the jobs", async () => {
    const answeredTables: string[] = [];
    const store = createPagedStore(storedRows(), (call, { table }) => {
        if (call % 2 === 0) {
            return "refused";
        }
        answeredTables.push(table);
        return "answered";
    });
    assert.deepEqual(await loadFrom(store), ALL_LOADED);
    const firstProgress = answeredTables.indexOf(TABLES.progress);
    assert.equal(firstProgress, answeredTables.lastIndexOf(TABLES.jobs) + 1);
});

/** A store whose rows can change between two calls, with the changes after a version unless the history is lost. */
const createChangingStore = (initial: readonly Row[]) => {
    const stored = new Map(initial.map(row => [`${row.table} ${row.key}`, row]));
    const script = { version: 5, isHistoryLost: false, refused: 0 };
    const rowsOf = (found: readonly Row[], limit: number): Reading => ({
        kind: "rows",
        rows: found.slice(0, limit),
        version: script.version,
        nowMs: script.version * 10,
        truncated: found.length > limit,
    });
    return {
        script,
        put: (...rows: readonly Row[]) => {
            script.version++;
            rows.forEach(row => stored.set(`${row.table} ${row.key}`, { ...row, version: script.version }));
        },
        remove: ({ table, key }: Row) => {
            script.version++;
            stored.delete(`${table} ${key}`);
        },
        store: {
            read: ({ table, from = "", limit = 100 }: Parameters<TableStore["read"]>[0]): Promise<Reading> => {
                if (script.refused > 0) {
                    script.refused--;
                    return Promise.resolve({ kind: "failed", reason: "status 503" });
                }
                const found = [...stored.values()]
                    .filter(row => row.table === table && row.key >= from)
                    .sort((left, right) => (left.key < right.key ? -1 : 1));
                return Promise.resolve(rowsOf(found, limit));
            },
            changes: ({ table, after }: { readonly table: string; readonly after: number }): Promise<Reading> => {
                if (script.isHistoryLost) {
                    script.isHistoryLost = false;
                    return Promise.resolve({ kind: "history-lost" });
                }
                const changed = [...stored.values()].filter(row => row.table === table && row.version > after);
                return Promise.resolve(rowsOf(changed, Number.POSITIVE_INFINITY));
            },
        },
    };
};

for (const isHistoryLost of [false, true]) {
    const name = isHistoryLost ? "and the history is lost meanwhile" : "and the changes are followed";
    test(`rows that change between two pages of a load are noticed if a page fails in between, ${name}`, async () => {
        const keyOf = (index: number): string => String(index).padStart(4, "0");
        const ids = Array.from({ length: 250 }, (unused, index) => keyOf(2 * index));
        const changing = createChangingStore(ids.flatMap(id => [descriptionRow(jobOf(id), 5), progressRow(id)]));
        const { script, store, put, remove } = changing;
        const open = new Map<string, boolean>();
        const cancelled: string[] = [];
        const points: StorePoint[] = [];
        let calls = 0;
        const change = (): void => {
            // In the first page, which has been read: a new job, a cancellation, and a job whose description is removed.
            put(descriptionRow(jobOf(keyOf(1))), progressRow(keyOf(1)));
            put(rowOf(TABLES.jobs, `${keyOf(2)}!`, "{}"));
            put(progressRow(keyOf(4), { state: "completed", steps: [] }));
            remove(descriptionRow(jobOf(keyOf(4))));
            // In pages that follow.
            put(descriptionRow(jobOf(keyOf(401))), progressRow(keyOf(401)));
            remove(descriptionRow(jobOf(keyOf(400))));
            put(progressRow(keyOf(400), { state: "completed", steps: [] }));
            script.isHistoryLost = isHistoryLost;
            script.refused = 3;
        };
        const deadlineMs = performance.now() + 5000;
        await followJobs({
            context: {
                store: {
                    ...store,
                    read: (range: Parameters<TableStore["read"]>[0]) => {
                        if (calls++ === 1) {
                            change();
                        }
                        return store.read(range);
                    },
                },
                log: () => undefined,
                metrics: { count: () => undefined },
                monotonicMs: () => performance.now(),
            } as unknown as DispatcherContext,
            pool: POOL,
            isActive: () => points.length < 2 && performance.now() < deadlineMs,
            sink: {
                job: ({ job, inherited }) => open.set(job.id, open.get(job.id) ?? inherited),
                finished: () => undefined,
                cancelled: id => cancelled.push(id),
                changed: () => undefined,
                readUpTo: point => points.push(point),
            },
        });
        assert.deepEqual(points[0], { version: 5, atMs: 50 }, "the state of the first page");
        assert.deepEqual(points[1], { version: script.version, atMs: script.version * 10 });
        assert.ok(cancelled.includes(keyOf(2)));
        assert.equal(open.get(keyOf(1)), false, "a job in a page that had been read");
        assert.equal(open.get(keyOf(401)), true, "a job in a page that had not");
        assert.ok(!open.has(keyOf(4)) && !open.has(keyOf(400)), "a job that had ended was opened");
        assert.equal(open.size, ids.length);
    });
}
