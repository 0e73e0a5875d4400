import { EventEmitter } from "node:events";
import type { PoolName } from "@almondusher/fleet/ids";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { decodeExecutor } from "@almondusher/platform-adapter/decode-executor";
import { EXECUTOR_TABLE, PLATFORM_PART } from "@almondusher/platform-adapter/platform-rows";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { createRangeReading, watchPages, type RangeReading } from "../store/read-all.js";

/** The registered executors, polled only while there are subscribers. */
export interface ExecutorRegistry {
    /** Emits `change` after each successful poll. */
    readonly events: EventEmitter;
    /** Returns the executors of a pool; undefined until the registry has been read. */
    readonly executorsOf: (pool: PoolName) => readonly ExecutorRecord[] | undefined;
    /** True once all executors have been read. */
    readonly isRead: () => boolean;
    readonly all: () => readonly ExecutorRecord[];
    /** Monotonic time at which the store last answered a page of all executors, in milliseconds. */
    readonly pageReadAtMs: () => number;
    /** Starts polling and returns a function that ends the subscription. */
    readonly subscribe: () => () => void;
    readonly close: () => void;
}

const POLL_INTERVAL_MS = 200;
const IDLE_CHECK_INTERVAL_MS = 100;
// Live executors register again within about two seconds after an outage of the store, so entries that are missing are
// kept for this long after the last failed read.
const REREGISTRATION_GRACE_MS = 2500;
const MAX_LOGGED_UNREADABLE = 100;
const MAX_LOGGED_ID_LENGTH = 200;

export const createExecutorRegistry = (context: DispatcherContext): ExecutorRegistry => {
    const events = new EventEmitter();
    events.setMaxListeners(0);
    const records = new Map<ExecutorId, ExecutorRecord>();
    const missingIds = new Set<ExecutorId>();
    /** Rows whose malformed content was logged. */
    const unreadableIds = new Set<ExecutorId>();
    const pages = watchPages(context);
    let subscribers = 0;
    let closed = false;
    let after: number | undefined;
    /** The reading of all rows that is not complete yet. */
    let reading: RangeReading | undefined;
    let loaded = false;
    let failedAtMs = Number.NEGATIVE_INFINITY;

    const reportUnreadable = (id: ExecutorId): void => {
        context.metrics.count("unreadable_executors");
        if (!unreadableIds.has(id) && unreadableIds.size < MAX_LOGGED_UNREADABLE) {
            unreadableIds.add(id);
            context.log("executor-unreadable", { executor: id.slice(0, MAX_LOGGED_ID_LENGTH) });
        }
    };
    // A row that cannot be read, or of another part, says nothing about the executor, whose last readable one stays valid.
    const apply = ({ key, value, deleted, part }: Row): void => {
        if (part !== PLATFORM_PART) {
            return;
        }
        const id = key as ExecutorId;
        if (deleted) {
            missingIds.add(id);
            return;
        }
        const record = decodeExecutor(key, value);
        if (record === undefined) {
            reportUnreadable(id);
            return;
        }
        records.set(id, record);
        missingIds.delete(id);
    };
    const applyAll = (rows: readonly Row[]): void => {
        const listed = new Set(rows.map(({ key }) => key));
        rows.forEach(apply);
        [...records.keys()].filter(id => !listed.has(id)).forEach(id => missingIds.add(id));
    };
    const dropMissing = (): void => {
        if (context.monotonicMs() - failedAtMs >= REREGISTRATION_GRACE_MS) {
            missingIds.forEach(id => records.delete(id));
            missingIds.clear();
        }
    };
    const refresh = async (): Promise<void> => {
        if (after === undefined) {
            reading ??= createRangeReading(pages.store, { table: EXECUTOR_TABLE, part: PLATFORM_PART });
            const all = await reading.read();
            if (all === undefined) {
                failedAtMs = context.monotonicMs();
                return;
            }
            reading = undefined;
            applyAll(all.rows);
            after = all.asOf.version;
            loaded = true;
        } else {
            const changes = await context.store.changes({ table: EXECUTOR_TABLE, after, waitMs: 0 });
            if (changes.kind === "rows") {
                changes.rows.forEach(apply);
                after = changes.version;
                // Not after a reading of all rows: a row that was missing there may have been written since.
                dropMissing();
            } else {
                failedAtMs = changes.kind === "failed" ? context.monotonicMs() : failedAtMs;
                after = changes.kind === "history-lost" ? undefined : after;
                return;
            }
        }
        events.emit("change");
    };
    const poll = async (): Promise<void> => {
        if (subscribers > 0) {
            await refresh();
            await sleep(POLL_INTERVAL_MS);
        } else {
            after = undefined;
            reading = undefined;
            loaded = false;
            await sleep(IDLE_CHECK_INTERVAL_MS);
        }
    };
    void repeatWhileActive({ context, part: "executor-registry", isActive: () => !closed, step: poll });
    return {
        events,
        executorsOf: pool => (loaded ? [...records.values()].filter(record => record.pool === pool) : undefined),
        isRead: () => loaded,
        all: () => [...records.values()],
        pageReadAtMs: pages.readAtMs,
        subscribe: () => {
            subscribers++;
            return () => void subscribers--;
        },
        close: () => (closed = true),
    };
};
