import { rackOf, type ExecutorRecord } from "@almondusher/jobs/executor";
import { beginIncarnation, setIncarnationStart } from "./executor-incarnation.js";
import { recordClockReading } from "./lease-time.js";
import { NO_LOST_REQUESTS } from "./lost-requests.js";
import type { Executor, PoolTables } from "./pool-tables.js";
import { areInheritedRunsOver } from "./inherited-runs.js";
import { hasUndeliveredStart } from "./undelivered-starts.js";

/** Updates the executor table from the registry records of the pool. */
export const applyRegistry = (tables: PoolTables, records: readonly ExecutorRecord[], nowMs: number): void => {
    const present = new Set(records.map(({ id }) => id));
    records.forEach(record => applyRecord(tables, record, nowMs));
    tables.executors.forEach(executor => {
        executor.registered = present.has(executor.id);
        if (!executor.registered && canBeForgotten(tables, executor, nowMs)) {
            tables.executors.delete(executor.id);
        }
    });
};

/** Adds an executor that is listed only in the previous holder's lease row, so that its runs are read. */
export const addUnregistered = (tables: PoolTables, record: ExecutorRecord): void => {
    if (!tables.executors.has(record.id)) {
        tables.executors.set(record.id, {
            ...createExecutor(record),
            isIncarnationStartKnown: false,
            registered: false,
            reachable: true,
        });
    }
};

const applyRecord = (tables: PoolTables, record: ExecutorRecord, nowMs: number): void => {
    const known = tables.executors.get(record.id);
    if (known === undefined) {
        const executor = createExecutor(record);
        tables.executors.set(record.id, executor);
        recordRegistryClock(executor, record, nowMs);
        return;
    }
    if (known.record.startedAtMs < record.startedAtMs) {
        if (known.isIncarnationStartKnown) {
            beginIncarnation(known, nowMs, "registry");
        }
        setIncarnationStart(known, record.startedAtMs);
        known.record = record;
        // Of an executor in the lease row only the address was known, so its start time in the registry shows no restart.
        known.reachable ||= !known.isMarkedUnread;
    } else if (known.record.startedAtMs === record.startedAtMs && known.isIncarnationStartKnown) {
        known.record = record;
        recordRegistryClock(known, record, nowMs);
    }
};

const recordRegistryClock = (executor: Executor, { clockMs }: ExecutorRecord, nowMs: number): void => {
    if (clockMs !== undefined) {
        recordClockReading(executor, clockMs, nowMs);
    }
};

const createExecutor = (record: ExecutorRecord): Executor => ({
    record,
    id: record.id,
    rack: rackOf(record.labels),
    incarnation: 0,
    incarnationSinceMs: Number.NEGATIVE_INFINITY,
    isIncarnationStartKnown: true,
    hasUnresolvedStart: false,
    runs: new Map(),
    orphanedRuns: [],
    undeliveredStarts: [],
    givenUpRuns: [],
    clock: undefined,
    leaseUntilMs: 0,
    unansweredRequests: NO_LOST_REQUESTS,
    lostRequests: NO_LOST_REQUESTS,
    formerRequests: NO_LOST_REQUESTS,
    reconciled: false,
    inheritedRunsRead: false,
    wasRead: false,
    isMarkedUnread: false,
    inheritedWaitUntilMs: undefined,
    hasUnreadEnds: false,
    listedInLease: false,
    reachable: true,
    answeredRequestAtMs: Number.NEGATIVE_INFINITY,
    unansweredPollSentAtMs: Number.NEGATIVE_INFINITY,
    registered: true,
    lastAppliedEnd: 0,
    lastStoredEnd: 0,
    lastAcknowledgedEnd: 0,
    backoffUntilMs: 0,
    failureStreak: 0,
    evacuation: undefined,
});

// An executor without a registration may still be up and have runs, since its row is also missing if only its path to the
// store is disturbed.
const canBeForgotten = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    executor.runs.size === 0 &&
    !hasUndeliveredStart(executor, nowMs) &&
    (executor.reachable ? isIdle(executor) : areInheritedRunsOver(tables, executor, nowMs));

const isIdle = (executor: Executor): boolean =>
    executor.reconciled &&
    !executor.hasUnreadEnds &&
    executor.lastAcknowledgedEnd >= executor.lastAppliedEnd &&
    executor.orphanedRuns.length === 0 &&
    executor.evacuation === undefined;
