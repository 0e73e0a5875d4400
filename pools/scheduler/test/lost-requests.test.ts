import assert from "node:assert/strict";
import test from "node:test";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import type { PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { acknowledgedEnd, beginIncarnation, confirmStart, endToAcknowledge } from "../src/executor-incarnation.js";
import { recordAnsweredRequest, recordUnansweredRequest } from "../src/lost-requests.js";
import {
    createPool,
    executorOf,
    expireAfterPoll,
    MAX_LEASE_MS,
    place,
    receiveReport,
    record,
    step,
} from "./fixture.js";

/** Time for which a request without a response may be carried out, in milliseconds. */
const LONGEST_DELAY_MS = 15_000;
const LOST_AT_MS = 1000;
const RESTARTED_AT_MS = 1500;
const RESTARTED = record("a", { startedAtMs: 2, clockMs: 0 });
const SLOWEST_CLOCK_RATE = 0.98;

/** An executor that answered a request after the lost one, has restarted under its id and has been read again. */
const restartedExecutor = (lost: Parameters<typeof recordUnansweredRequest>[1], isAnswered = true): PoolTables => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    recordUnansweredRequest(executorOf(tables, "a"), lost);
    if (isAnswered) {
        recordAnsweredRequest(executorOf(tables, "a"), LOST_AT_MS + 1);
    }
    applyRegistry(tables, [RESTARTED], RESTARTED_AT_MS);
    receiveReport(tables, "a", { startedAtMs: 2, clockMs: 100 }, RESTARTED_AT_MS + 100);
    return tables;
};

const startAt = (tables: PoolTables, nowMs: number): Run => {
    const [run] = place(tables, nowMs);
    assert.ok(run !== undefined);
    confirmStart(tables, run, nowMs + 5);
    run.executor.leaseUntilMs = 100;
    run.executor.reachable = false;
    return run;
};

test("an executor gets no starts while an acknowledgement for its former incarnation may discard their ends", () => {
    const tables = restartedExecutor({ acknowledgementSentAtMs: LOST_AT_MS });
    assert.deepEqual(place(tables, LOST_AT_MS + LONGEST_DELAY_MS - 1), []);
    assert.equal(place(tables, LOST_AT_MS + LONGEST_DELAY_MS).length, 1);
});

test("an acknowledgement without a response keeps no starts from the incarnation that it was meant for", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    recordUnansweredRequest(executorOf(tables, "a"), { acknowledgementSentAtMs: LOST_AT_MS });
    assert.equal(place(tables, LOST_AT_MS + 1).length, 1);
});

test("a request that was under way when its executor ended counts as ended with it", () => {
    const tables = restartedExecutor({ acknowledgementSentAtMs: LOST_AT_MS }, false);
    const executor = executorOf(tables, "a");
    // Its time limit ends after the restart was noticed.
    recordUnansweredRequest(executor, { acknowledgementSentAtMs: RESTARTED_AT_MS - 1 });
    recordAnsweredRequest(executor, RESTARTED_AT_MS + 150);
    beginIncarnation(executor, RESTARTED_AT_MS + 160, "report");
    receiveReport(tables, "a", { startedAtMs: 3, clockMs: 10 }, RESTARTED_AT_MS + 170);
    assert.equal(place(tables, RESTARTED_AT_MS + 200).length, 1);
});

test("an answer to a request that was sent before does not make a request a lost one", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()] }] });
    const executor = executorOf(tables, "a");
    recordUnansweredRequest(executor, { acknowledgementSentAtMs: LOST_AT_MS });
    recordAnsweredRequest(executor, LOST_AT_MS - 1);
    beginIncarnation(executor, RESTARTED_AT_MS, "report");
    receiveReport(tables, "a", { startedAtMs: 2, clockMs: 100 }, RESTARTED_AT_MS + 100);
    assert.equal(place(tables, RESTARTED_AT_MS + 200).length, 1);
});

test("a request to the incarnation before the last one counts after a second restart", () => {
    const tables = restartedExecutor({ acknowledgementSentAtMs: LOST_AT_MS });
    beginIncarnation(executorOf(tables, "a"), RESTARTED_AT_MS + 500, "report");
    receiveReport(tables, "a", { startedAtMs: 3, clockMs: 100 }, RESTARTED_AT_MS + 600);
    assert.deepEqual(place(tables, LOST_AT_MS + LONGEST_DELAY_MS - 1), []);
});

test("a run lasts as long as a lease for the former incarnation may extend it", () => {
    const tables = restartedExecutor({ leaseSentAtMs: LOST_AT_MS });
    const run = startAt(tables, RESTARTED_AT_MS + 200);
    const lastsUntilMs = LOST_AT_MS + LONGEST_DELAY_MS + MAX_LEASE_MS / SLOWEST_CLOCK_RATE;
    assert.deepEqual(expireAfterPoll(tables, run.executor, lastsUntilMs), [], "it may be active");
    assert.deepEqual(expireAfterPoll(tables, run.executor, lastsUntilMs + 200), [run]);
});

test("a lease without a response does not make a run of its own incarnation last longer", () => {
    const tables = restartedExecutor({});
    const run = startAt(tables, RESTARTED_AT_MS + 200);
    recordUnansweredRequest(run.executor, { leaseSentAtMs: RESTARTED_AT_MS + 300 });
    assert.deepEqual(expireAfterPoll(tables, run.executor, RESTARTED_AT_MS + 1000), [run]);
});

test("an end is acknowledged until a request with its number is answered", () => {
    const tables = createPool({ executors: [record("a")] });
    const executor = executorOf(tables, "a");
    assert.equal(endToAcknowledge(executor), 0);
    Object.assign(executor, { lastAppliedEnd: 3, lastStoredEnd: 3 });
    assert.equal(endToAcknowledge(executor), 3);
    executor.lastAcknowledgedEnd = 3;
    assert.equal(endToAcknowledge(executor), 0);
    assert.equal(acknowledgedEnd(executor), 3);
});
