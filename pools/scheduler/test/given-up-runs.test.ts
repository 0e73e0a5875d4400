import assert from "node:assert/strict";
import test from "node:test";
import { confirmStart, endIncarnation } from "@almondusher/scheduler/executor-incarnation";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { recordLeaseHeld, type Executor, type GiveUpCause, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { takeGivenUpRuns } from "@almondusher/scheduler/run-table";
import { createPool, executorOf, expireAfterPoll, place, receiveReport, record, step } from "./fixture.js";

const LEASE_HELD_AT_MS = 300;
const GIVEN_UP_AT_MS = 5000;
const CONFIRMED_AT_MS = 200;

interface GiveUp {
    readonly cause: GiveUpCause;
    readonly giveUp: (tables: PoolTables, executor: Executor) => void;
}

const giveUps: readonly GiveUp[] = [
    {
        cause: "lease-expired",
        giveUp: (tables, executor) => {
            executor.reachable = false;
            executor.leaseUntilMs = 0;
            assert.equal(expireAfterPoll(tables, executor, GIVEN_UP_AT_MS).length, 1);
        },
    },
    {
        cause: "executor-restarted",
        giveUp: tables =>
            applyRegistry(tables, [record("a", { startedAtMs: 2 }), record("b"), record("c")], GIVEN_UP_AT_MS),
    },
    { cause: "executor-replaced", giveUp: (unused, executor) => endIncarnation(executor, GIVEN_UP_AT_MS) },
    {
        cause: "not-listed",
        giveUp: tables => void receiveReport(tables, "a", { clockMs: GIVEN_UP_AT_MS }, GIVEN_UP_AT_MS - 5),
    },
];

// Each is a way in which the run may go on for a successor that knows more than this process does.
giveUps.forEach(({ cause, giveUp }) => {
    test(`a task whose run was given up (${cause}) waits for a proof that the lease was held then`, () => {
        const tables = createPool({
            executors: [record("a")],
            jobs: [{ id: "j1", steps: [step()] }],
            leaseHeldAtMs: LEASE_HELD_AT_MS,
        });
        const [run] = place(tables);
        assert.ok(run !== undefined);
        confirmStart(tables, run, CONFIRMED_AT_MS);
        applyRegistry(tables, [record("a"), record("b")], CONFIRMED_AT_MS);
        const other = executorOf(tables, "b");
        other.reconciled = true;
        other.listedInLease = true;
        // It answers throughout, so that only the task has to wait.
        other.answeredRequestAtMs = GIVEN_UP_AT_MS;
        giveUp(tables, executorOf(tables, "a"));
        assert.deepEqual(run.task.runs, []);
        recordLeaseHeld(tables, GIVEN_UP_AT_MS - 1);
        assert.deepEqual(place(tables, GIVEN_UP_AT_MS), []);
        recordLeaseHeld(tables, GIVEN_UP_AT_MS);
        assert.deepEqual(
            place(tables, GIVEN_UP_AT_MS).map(({ task }) => task),
            [run.task],
        );
    });
});

test("the runs that were given up are returned once, with their causes", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const [run] = place(tables);
    assert.ok(run !== undefined);
    endIncarnation(run.executor, GIVEN_UP_AT_MS);
    assert.deepEqual(takeGivenUpRuns(tables), [
        { run, cause: "executor-replaced", executorStartedAtMs: 1, acknowledgedEnd: 0, restartSource: undefined },
    ]);
    assert.deepEqual(takeGivenUpRuns(tables), []);
});
