import assert from "node:assert/strict";
import { test } from "node:test";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { applyReport } from "@almondusher/scheduler/apply-report";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { areInheritedRunsKnown } from "@almondusher/scheduler/inherited-runs";
import { recordLeaseHeld, type Executor, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { decodeLease, emptyLeaseContent, encodeLease, type ListedExecutor } from "../src/leases/lease-rows.js";
import { listExecutors } from "../src/pool/pool-lease-content.js";
import { addInherited, marksAfter, removeMarks, withoutMarks } from "../src/executors/unread-executors.js";
import { POOL, emptyTables, executorRecord } from "./fixture.js";

const WAIT_UNTIL_MS = 8000;
const ENDED: ListedExecutor = { id: "a" as ExecutorId, address: "127.0.0.1:1" };

const executorOf = (tables: PoolTables): Executor => {
    const executor = tables.executors.get(ENDED.id);
    assert.ok(executor !== undefined);
    return executor;
};

/** Tables of a holder that took the lease over at 0 and has not reached its only executor. */
const neverReached = (): PoolTables => {
    const tables = emptyTables();
    tables.inheritedWaitUntilMs = WAIT_UNTIL_MS;
    applyRegistry(tables, [executorRecord("a")], 0);
    executorOf(tables).reachable = false;
    return tables;
};

/** Tables of a holder that takes the lease over at 0, whose wait is as long as after any takeover. */
const takeOver = (executors: readonly ListedExecutor[], unrenewedMs = 0): PoolTables => {
    const tables = emptyTables();
    tables.inheritedWaitUntilMs = WAIT_UNTIL_MS;
    addInherited(tables, { pool: POOL, executors, unrenewedMs, nowMs: 0 });
    recordLeaseHeld(tables, Number.POSITIVE_INFINITY);
    return tables;
};

const markOf = (tables: PoolTables, nowMs: number): number | undefined =>
    listExecutors(tables, nowMs)[0]?.earlierRunsForMs;

const report = (tables: PoolTables, receivedAtMs: number): void => {
    const content = { clockMs: 0, startedAtMs: 1, active: [], ended: [], endsTruncated: false };
    applyReport(tables, executorOf(tables), content, { sentAtMs: receivedAtMs, receivedAtMs });
};

// Each takeover waited 8 s for an executor that had ended with the maintenance of its VM.
test("a successor waits for an executor that its predecessor never reached no longer than that one would have", () => {
    const stored = listExecutors(neverReached(), 5000);
    const second = takeOver(stored, 2000);
    assert.equal(areInheritedRunsKnown(second, 999), false);
    assert.equal(areInheritedRunsKnown(second, 1000), true);
    const third = takeOver(listExecutors(second, 400));
    assert.equal(areInheritedRunsKnown(third, 599), false, "the wait is passed on");
    assert.equal(areInheritedRunsKnown(third, 600), true);
});

test("an executor that the predecessor may have used is waited for as long as after any takeover", () => {
    const used: readonly ((tables: PoolTables, executor: Executor) => void)[] = [
        tables => report(tables, 100),
        (tables, executor) => {
            report(tables, 100);
            executor.reconciled = false;
        },
        (tables, executor) => (executor.wasRead = true),
        (tables, executor) => (executor.reachable = true),
    ];
    used.forEach(use => {
        const tables = neverReached();
        use(tables, executorOf(tables));
        executorOf(tables).orphanedRuns = [
            { task: "j.0.0.0" as never, number: 1, stopSentAtMs: undefined, stopsSent: 0 },
        ];
        const stored = listExecutors(tables, 5000);
        assert.deepEqual(stored, [ENDED]);
        assert.equal(areInheritedRunsKnown(takeOver(stored), WAIT_UNTIL_MS - 1), false);
    });
});

test("an executor that was read and fell silent is not marked as not read", () => {
    const tables = neverReached();
    report(tables, 100);
    Object.assign(executorOf(tables), { reachable: false, reconciled: false });
    assert.equal(markOf(tables, 5000), undefined);
});

test("a mark is removed only by a stored row without it", () => {
    const tables = neverReached();
    const stored = listExecutors(tables, 5000);
    assert.equal(executorOf(tables).isMarkedUnread, true, "the renewal may be stored although it gets no response");
    assert.equal(removeMarks(tables, stored), false);
    assert.equal(executorOf(tables).isMarkedUnread, true);
    executorOf(tables).reachable = true;
    const withoutMark = listExecutors(tables, 5100);
    assert.equal(executorOf(tables).isMarkedUnread, true, "the renewal is not confirmed");
    assert.equal(removeMarks(tables, withoutMark), true);
    assert.equal(executorOf(tables).isMarkedUnread, false);
});

test("the mark of an executor that the row leaves out is removed", () => {
    const tables = neverReached();
    listExecutors(tables, 5000);
    assert.equal(removeMarks(tables, []), true);
    assert.equal(executorOf(tables).isMarkedUnread, false);
});

test("a successor keeps the marks of its predecessor until it has stored a row without them", () => {
    const tables = takeOver([{ ...ENDED, earlierRunsForMs: 3000 }]);
    assert.equal(executorOf(tables).isMarkedUnread, true);
    assert.equal(markOf(tables, 1000), 2000);
});

// The registry shows a later start time than the placeholder of the lease row, which is no sign of a restart.
test("a mark is kept while the registry still lists the executor", () => {
    const tables = takeOver([{ ...ENDED, earlierRunsForMs: 3000 }]);
    applyRegistry(tables, [executorRecord("a")], 100);
    assert.equal(markOf(tables, 1000), 2000);
});

// A row of another writer, or one whose time was measured on a clock that stood still.
test("a mark that is longer than any wait does not prolong the wait", () => {
    const tables = takeOver([{ ...ENDED, earlierRunsForMs: 3_600_000 }]);
    assert.equal(areInheritedRunsKnown(tables, WAIT_UNTIL_MS), true);
    assert.equal(markOf(tables, 1000), WAIT_UNTIL_MS - 1000);
});

test("time for which the row was observed unchanged is deducted from a mark once", () => {
    const [acquired] = marksAfter([{ ...ENDED, earlierRunsForMs: 3000 }, ENDED], 2000);
    assert.equal(acquired?.earlierRunsForMs, 1000);
    assert.equal(marksAfter([{ ...ENDED, earlierRunsForMs: 3000 }], 9000)[0]?.earlierRunsForMs, 0);
    assert.deepEqual(withoutMarks([{ ...ENDED, earlierRunsForMs: 3000 }]), [ENDED]);
});

test("a lease row stays readable and an executor unmarked if its mark is missing or malformed", () => {
    [undefined, -1, "3000", Number.NaN, []].forEach(earlierRunsForMs => {
        const record = {
            ...emptyLeaseContent,
            holder: undefined,
            process: undefined,
            epoch: 1,
            runNumbersUpTo: undefined,
            executors: [{ ...ENDED, earlierRunsForMs } as ListedExecutor],
        };
        assert.equal(decodeLease(encodeLease(record))?.executors[0]?.earlierRunsForMs, undefined);
        assert.equal(decodeLease(encodeLease(record))?.executors[0]?.id, ENDED.id);
    });
});
