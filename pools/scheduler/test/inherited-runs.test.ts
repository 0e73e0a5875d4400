import assert from "node:assert/strict";
import test from "node:test";
import type { EndedRun } from "@almondusher/jobs/executor";
import { recordLeaseHeld, type Executor, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { beginIncarnation, confirmStart } from "../src/executor-incarnation.js";
import { areInheritedRunsKnown } from "../src/inherited-runs.js";
import { planStops } from "../src/plan-stops.js";
import { createPool, executorOf, place, receiveReport, record, step, UNLIMITED_BUDGET } from "./fixture.js";

const done = (index: number, run: number): EndedRun => ({
    number: index + 1,
    task: `j1.0.0.${index}` as never,
    run,
    how: "done",
    checkpoint: "",
});

const placeConfirmed = (tables: PoolTables): void =>
    place(tables).forEach(run => confirmStart(tables, run, run.startedAtMs));

/** Tables of a new holder that has read nothing of its executors yet and has a job of two tasks from before. */
const takenOver = (executors: readonly string[] = ["a"], leaseHeldAtMs = Infinity): PoolTables => {
    const tables = createPool({
        leaseHeldAtMs,
        executors: executors.map(id => record(id)),
        jobs: [{ id: "j1", steps: [step({ count: 2 })], inherited: true }],
    });
    tables.executors.forEach(executor => (executor.reconciled = false));
    tables.inheritedWaitUntilMs = 10_000;
    return tables;
};

const loseContact = (executor: Executor, pollSentAtMs: number): void => {
    executor.reachable = false;
    executor.unansweredPollSentAtMs = pollSentAtMs;
};

test("a run that a truncated list of ends does not contain is kept until the rest of the list is read", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    placeConfirmed(tables);
    const runs = [...executorOf(tables, "a").runs.values()].map(({ number }) => number);
    receiveReport(tables, "a", { ended: [done(0, runs[0] ?? 0)], endsTruncated: true });
    assert.equal(place(tables, 200).length, 0, "the second task may have ended as well");
    receiveReport(tables, "a", { ended: [done(1, runs[1] ?? 0)] }, 300);
    assert.equal(place(tables, 400).length, 0);
    assert.equal(tables.jobs.get("j1" as never)?.state, "completed");
});

test("a run that no part of the list contains is given up once the list is complete", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 2 })] }] });
    placeConfirmed(tables);
    const first = [...executorOf(tables, "a").runs.values()][0]?.number ?? 0;
    receiveReport(tables, "a", { ended: [done(0, first)], endsTruncated: true });
    receiveReport(tables, "a", {}, 300);
    assert.deepEqual(
        place(tables, 400).map(({ task }) => task.id),
        ["j1.0.0.1"],
    );
});

test("a successor starts no task of an earlier job while an executor lists only some of its ends", () => {
    const tables = takenOver();
    receiveReport(tables, "a", { ended: [done(0, 7)], endsTruncated: true });
    assert.equal(areInheritedRunsKnown(tables, 200), false);
    assert.equal(place(tables, 200).length, 0);
    receiveReport(tables, "a", { ended: [done(1, 8)] }, 300);
    assert.equal(areInheritedRunsKnown(tables, 400), true);
    assert.equal(place(tables, 400).length, 0);
    assert.equal(tables.jobs.get("j1" as never)?.state, "completed");
});

test("the end of the wait for expired leases does not replace reading the ends of an executor that responds", () => {
    const tables = takenOver();
    receiveReport(tables, "a", { ended: [done(0, 7)], endsTruncated: true });
    assert.equal(areInheritedRunsKnown(tables, 20_000), false);
});

test("an executor with unread ends that fell silent holds up a successor until the leases that it was granted expire", () => {
    const tables = takenOver(["a", "b"]);
    receiveReport(tables, "a", { ended: [done(0, 7)], endsTruncated: true });
    receiveReport(tables, "b", {});
    const executor = executorOf(tables, "a");
    executor.clock = { clockMs: 1000, heardAtMs: 0 };
    executor.leaseUntilMs = 15_000;
    loseContact(executor, 11_000);
    assert.equal(areInheritedRunsKnown(tables, 11_100), false, "the lease was extended by this scheduler");
    loseContact(executor, 14_500);
    assert.equal(areInheritedRunsKnown(tables, 14_600), true);
});

// The holder that waited lost its path to the store before the end of the wait. The next one reached the executor, had adopted
// the runs of the first one and extended them.
test("the wait for an unreachable executor ends only with a proof that no successor has adopted its runs", () => {
    const tables = takenOver(["a", "b"], 6000);
    receiveReport(tables, "b", {});
    loseContact(executorOf(tables, "a"), 9900);
    assert.equal(areInheritedRunsKnown(tables, 10_100), false);
    assert.equal(place(tables, 10_100).length, 0);
    recordLeaseHeld(tables, 9999);
    assert.equal(place(tables, 10_200).length, 0, "the wait was not over then");
    recordLeaseHeld(tables, 10_000);
    assert.equal(place(tables, 10_300).length, 2);
});

test("unread ends of an executor that fell silent count as unknown only with a proof that no successor has read them", () => {
    const tables = takenOver(["a", "b"], 12_000);
    receiveReport(tables, "a", { ended: [done(0, 7)], endsTruncated: true });
    receiveReport(tables, "b", {});
    const executor = executorOf(tables, "a");
    executor.clock = { clockMs: 1000, heardAtMs: 0 };
    executor.leaseUntilMs = 13_000;
    loseContact(executor, 14_500);
    assert.equal(place(tables, 14_600).length, 0);
    recordLeaseHeld(tables, 14_600);
    assert.equal(place(tables, 14_600).length, 1);
});

test("a new incarnation of an executor has no unread ends of the one before", () => {
    const tables = takenOver();
    receiveReport(tables, "a", { ended: [done(0, 7)], endsTruncated: true });
    receiveReport(tables, "a", { startedAtMs: 2 }, 300);
    assert.equal(areInheritedRunsKnown(tables, 400), true);
    assert.deepEqual(
        place(tables, 400).map(({ task }) => task.id),
        ["j1.0.0.1"],
    );
});

test("an executor that is gone after its evacuation holds up no job if its runs were read before", () => {
    const tables = takenOver();
    receiveReport(tables, "a", {});
    const executor = executorOf(tables, "a");
    executor.reconciled = false;
    assert.equal(areInheritedRunsKnown(tables, 400), false, "it may have restarted, and answers the next poll");
    loseContact(executor, 400);
    assert.equal(areInheritedRunsKnown(tables, 500), true);
    beginIncarnation(executor, 600, "registry");
    assert.equal(areInheritedRunsKnown(tables, 700), false, "its next incarnation was not read");
});

// The executor must not keep the list from being acknowledged: no end is while a start without a response is unsettled.
test("an unanswered start is stopped although the list of ends is truncated, and its end counts once it is listed", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const run = place(tables)[0];
    assert.ok(run !== undefined);
    run.unansweredAtMs = 50;
    run.phase = "unsettled";
    receiveReport(tables, "a", { endsTruncated: true }, 100);
    const options = { nowMs: 110, resendAfterMs: 400, budget: UNLIMITED_BUDGET };
    assert.deepEqual(planStops(tables, options), [run]);
    run.confirmedAtMs = 120;
    receiveReport(tables, "a", { endsTruncated: true }, 130);
    assert.equal(place(tables, 140).length, 0);
    receiveReport(tables, "a", { ended: [done(0, run.number)] }, 150);
    assert.equal(place(tables, 160).length, 0);
    assert.equal(tables.jobs.get("j1" as never)?.state, "completed");
});
