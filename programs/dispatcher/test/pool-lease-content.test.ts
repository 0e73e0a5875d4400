import assert from "node:assert/strict";
import { test } from "node:test";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { recordLeaseHeld, type Executor, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { completedEvacuations, listExecutors } from "../src/pool/pool-lease-content.js";
import { emptyTables, executorRecord } from "./fixture.js";

const NOW_MS = 1000;

const tablesWithEvacuation = (change: Partial<Executor>): PoolTables => {
    const tables = emptyTables();
    // Runs of earlier holders may still be active.
    tables.inheritedWaitUntilMs = NOW_MS + 1;
    applyRegistry(tables, [executorRecord("a"), executorRecord("b")], 0);
    tables.executors.forEach(executor => (executor.reconciled = true));
    Object.assign(tables.executors.get("b" as ExecutorId) as Executor, {
        evacuation: { id: "1-1", byMs: 0 },
        ...change,
    });
    return tables;
};

const listedIds = (tables: PoolTables): readonly string[] => listExecutors(tables, NOW_MS).map(({ id }) => id);

// The VM is moved next, and its executor ends: a successor would wait for the runs of an executor that is gone.
test("an evacuated executor is not listed in the lease", () => {
    assert.deepEqual(listedIds(tablesWithEvacuation({})), ["a"]);
});

test("an executor that is being evacuated is listed while it has runs or its runs are not known", () => {
    const orphanedRuns = [{ task: "j.0.0.0" as never, number: 1, stopSentAtMs: undefined, stopsSent: 0 }];
    assert.deepEqual(listedIds(tablesWithEvacuation({ orphanedRuns })), ["a", "b"]);
    assert.deepEqual(listedIds(tablesWithEvacuation({ reconciled: false })), ["a", "b"]);
    assert.deepEqual(listedIds(tablesWithEvacuation({ reconciled: false, reachable: false })), ["a", "b"]);
});

test("an executor that a renewal leaves out gets no runs before a later one has listed it", () => {
    const tables = tablesWithEvacuation({ listedInLease: true });
    listExecutors(tables, NOW_MS);
    assert.equal(tables.executors.get("b" as ExecutorId)?.listedInLease, false);
});

// After its VM was moved, the registration of the executor that ended with it lasts for some seconds.
test("an executor that ended with its VM is not listed again once its evacuation is over", () => {
    const tables = tablesWithEvacuation({ evacuation: undefined, reconciled: false, reachable: false });
    assert.deepEqual(listedIds(tables), ["a", "b"], "runs of earlier holders may be active on it");
    tables.inheritedWaitUntilMs = NOW_MS;
    assert.deepEqual(listedIds(tables), ["a", "b"], "a successor may have adopted such runs before the wait was over");
    recordLeaseHeld(tables, NOW_MS);
    assert.deepEqual(listedIds(tables), ["a"]);
});

// The end of the evacuation makes the executor unreconciled, since its VM may come back with it.
test("an executor whose runs were read before its VM was moved does not hold up the next holder", () => {
    const ended = { evacuation: undefined, reconciled: false, reachable: false, inheritedRunsRead: true };
    assert.deepEqual(listedIds(tablesWithEvacuation(ended)), ["a"]);
    assert.deepEqual(listedIds(tablesWithEvacuation({ ...ended, reachable: true })), ["a", "b"]);
});

// The executor was out of reach for the new holder only, and the VM would be moved with the runs on it.
test("an evacuation is not reported as complete while an executor that a new holder cannot reach may have earlier runs", () => {
    const tables = tablesWithEvacuation({ reconciled: false, reachable: false });
    assert.deepEqual(completedEvacuations(tables, NOW_MS), []);
    tables.inheritedWaitUntilMs = NOW_MS;
    recordLeaseHeld(tables, NOW_MS);
    assert.deepEqual(completedEvacuations(tables, NOW_MS), ["1-1"]);
});

test("an evacuation is complete once the runs of its executor were read, also if it does not respond any more", () => {
    [true, false].forEach(reachable =>
        assert.deepEqual(completedEvacuations(tablesWithEvacuation({ reachable }), NOW_MS), ["1-1"]),
    );
    assert.deepEqual(completedEvacuations(tablesWithEvacuation({ reconciled: false }), NOW_MS), []);
});
