import assert from "node:assert/strict";
import test from "node:test";
import { addUnregistered, applyRegistry } from "@almondusher/scheduler/executor-table";
import type { Executor, PoolTables } from "@almondusher/scheduler/pool-tables";
import { areInheritedRunsKnown } from "../src/inherited-runs.js";
import { createPool, executorOf, place, receiveReport, record, step } from "./fixture.js";

const WAIT_UNTIL_MS = 8000;

/** Tables of a new holder: executor `a` is registered and read, `b` is listed in the lease only and was not read. */
const takenOver = (): { readonly tables: PoolTables; readonly unregistered: Executor } => {
    const tables = createPool({ executors: [], jobs: [{ id: "j1", steps: [step()], inherited: true }] });
    tables.inheritedWaitUntilMs = WAIT_UNTIL_MS;
    addUnregistered(tables, record("b", { startedAtMs: 0 }));
    applyRegistry(tables, [record("a")], 0);
    const registered = executorOf(tables, "a");
    registered.reconciled = true;
    registered.listedInLease = true;
    return { tables, unregistered: executorOf(tables, "b") };
};

const idsOf = ({ executors }: PoolTables): readonly string[] => [...executors.keys()];

test("an unregistered executor that cannot be reached is kept, and tasks wait, until leases of earlier runs have expired", () => {
    const { tables, unregistered } = takenOver();
    unregistered.reachable = false;
    applyRegistry(tables, [record("a")], WAIT_UNTIL_MS - 1);
    assert.deepEqual(idsOf(tables), ["b", "a"]);
    assert.equal(areInheritedRunsKnown(tables, WAIT_UNTIL_MS - 1), false);
    assert.equal(place(tables, WAIT_UNTIL_MS - 1).length, 0);
    applyRegistry(tables, [record("a")], WAIT_UNTIL_MS);
    assert.deepEqual(idsOf(tables), ["a"]);
    assert.equal(place(tables, WAIT_UNTIL_MS).length, 1);
});

test("an unregistered executor whose ends were read in part is kept while it may list the others", () => {
    const { tables, unregistered } = takenOver();
    receiveReport(tables, "b", { startedAtMs: 0, endsTruncated: true });
    unregistered.clock = { clockMs: 1000, heardAtMs: 0 };
    unregistered.leaseUntilMs = 12_000;
    unregistered.reachable = false;
    unregistered.unansweredPollSentAtMs = WAIT_UNTIL_MS;
    applyRegistry(tables, [record("a")], WAIT_UNTIL_MS);
    assert.deepEqual(idsOf(tables), ["b", "a"]);
    unregistered.unansweredPollSentAtMs = 12_000;
    applyRegistry(tables, [record("a")], 12_000);
    assert.deepEqual(idsOf(tables), ["a"]);
});

test("an idle executor that leaves is removed although it was never found out of reach", () => {
    const { tables } = takenOver();
    receiveReport(tables, "b", { startedAtMs: 0 });
    assert.equal(executorOf(tables, "b").reachable, true);
    applyRegistry(tables, [record("a")], 500);
    assert.deepEqual(idsOf(tables), ["a"]);
});

test("an executor without a registration stays while it has ends to store, runs to stop or an evacuation to report", () => {
    const changes: readonly ((executor: Executor) => void)[] = [
        executor => (executor.lastAppliedEnd = 1),
        executor => (executor.orphanedRuns = [{ task: "j9.0.0.0" as never, number: 1, stopSentAtMs: 1, stopsSent: 1 }]),
        executor => (executor.evacuation = { id: "1-1", byMs: 1000 }),
    ];
    changes.forEach(change => {
        const { tables, unregistered } = takenOver();
        receiveReport(tables, "b", { startedAtMs: 0 });
        change(unregistered);
        applyRegistry(tables, [record("a")], 500);
        assert.deepEqual(idsOf(tables), ["b", "a"]);
    });
});
