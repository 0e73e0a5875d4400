import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createExecutorRegistry } from "../src/executors/executor-registry.js";
import { POOL } from "./fixture.js";
import { createPagedStore } from "./paged-store.js";

type Reading = Awaited<ReturnType<TableStore["changes"]>>;

const TEST_TIMEOUT_MS = 10_000;

const rowOf = (key: string, value: string, deleted = false): Row => ({
    table: "servers",
    part: "",
    key,
    value,
    version: 1,
    deleted,
});

const ENTRY = JSON.stringify({
    service: POOL,
    address: "127.0.0.1:1",
    zone: "dc-1",
    state: "ready",
    capacity: { cpu: 4000, mem_mb: 8000 },
    labels: ["a"],
    born: 1,
});

const readingOf = (rows: readonly Row[]): Reading => ({ kind: "rows", rows, version: 1, nowMs: 0, truncated: false });

/** A registry that reads the given rows first, and then the change. */
const followRows = async (rows: readonly Row[], change: Row) => {
    const changes = [[], [change]];
    const registry = createExecutorRegistry({
        monotonicMs: () => performance.now(),
        log: () => undefined,
        metrics: { count: () => undefined },
        store: {
            read: () => Promise.resolve(readingOf(rows)),
            changes: () => Promise.resolve(readingOf(changes.shift() ?? [])),
        },
    } as unknown as DispatcherContext);
    registry.subscribe();
    await once(registry.events, "change");
    const before = registry.executorsOf(POOL)?.map(({ id }) => id);
    await once(registry.events, "change");
    await once(registry.events, "change");
    const after = registry.executorsOf(POOL)?.map(({ id }) => id);
    registry.close();
    return { before, after };
};

test(
    "an unreadable row under the id of a known executor does not take the executor out of use",
    { timeout: TEST_TIMEOUT_MS },
    async () => {
        const odd = rowOf("i-1", ENTRY.replace("127.0.0.1:1", "127.0.0.1:99999"));
        const { before, after } = await followRows([rowOf("i-1", ENTRY), rowOf("i-2", ENTRY)], odd);
        assert.deepEqual(before, ["i-1", "i-2"]);
        assert.deepEqual(after, ["i-1", "i-2"]);
    },
);

test("an executor whose row is removed leaves the list", { timeout: TEST_TIMEOUT_MS }, async () => {
    const { after } = await followRows([rowOf("i-1", ENTRY), rowOf("i-2", ENTRY)], rowOf("i-1", "", true));
    assert.deepEqual(after, ["i-2"]);
});

test(
    "a row of another part under the id of a known executor does not take the executor out of use",
    { timeout: TEST_TIMEOUT_MS },
    async () => {
        const other = { ...rowOf("i-1", "{}"), part: "other" };
        const { after } = await followRows([rowOf("i-1", ENTRY), rowOf("i-2", ENTRY)], other);
        assert.deepEqual(after, ["i-1", "i-2"]);
    },
);

// Without the executors a scheduler starts nothing, while its small renewals of the lease may all be answered.
test(
    "executors are read although each page fails as often as it is tried at once, and no row is read again",
    { timeout: TEST_TIMEOUT_MS },
    async () => {
        const keys = Array.from({ length: 660 }, (unused, index) => `i-${String(index).padStart(3, "0")}`);
        const store = createPagedStore(
            keys.map(key => rowOf(key, ENTRY)),
            call => (call % 4 === 3 ? "answered" : "unanswered"),
        );
        const registry = createExecutorRegistry({
            monotonicMs: () => performance.now(),
            log: () => undefined,
            metrics: { count: () => undefined },
            store: { ...store, changes: () => Promise.resolve(readingOf([])) },
        } as unknown as DispatcherContext);
        registry.subscribe();
        while (registry.executorsOf(POOL) === undefined && store.mostReadsOfARow() <= 1) {
            await sleep(10);
        }
        const executors = registry.executorsOf(POOL)?.length;
        registry.close();
        assert.deepEqual({ executors, mostReads: store.mostReadsOfARow() }, { executors: 660, mostReads: 1 });
    },
);

// It may have registered again after its page was read, and be forgotten with what is known of its incarnation.
test(
    "an executor that is missing in a reading of all rows stays until the changes since then are read",
    { timeout: TEST_TIMEOUT_MS },
    async () => {
        const readings = [readingOf([rowOf("i-1", ENTRY)]), readingOf([])];
        const changes: Reading[] = [{ kind: "history-lost" }, readingOf([rowOf("i-1", ENTRY)])];
        const registry = createExecutorRegistry({
            monotonicMs: () => performance.now(),
            log: () => undefined,
            metrics: { count: () => undefined },
            store: {
                read: () => Promise.resolve(readings.shift() ?? readingOf([])),
                changes: () => Promise.resolve(changes.shift() ?? readingOf([])),
            },
        } as unknown as DispatcherContext);
        registry.subscribe();
        const known: (readonly string[] | undefined)[] = [];
        for (let polls = 0; polls < 3; polls++) {
            await once(registry.events, "change");
            known.push(registry.executorsOf(POOL)?.map(({ id }) => id));
        }
        registry.close();
        assert.deepEqual(known, [["i-1"], ["i-1"], ["i-1"]]);
    },
);
