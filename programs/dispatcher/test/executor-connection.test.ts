import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { reply, type JsonReply } from "@almondusher/job-platform-stand-in/json-server";
import { expireRuns } from "@almondusher/scheduler/apply-report";
import type { Executor } from "@almondusher/scheduler/pool-tables";
import { addTaskRun, connect, ID, JOB, STARTED_AT_MS, waitUntil } from "./connected-executor.js";
import { RUN_LEASE_MS } from "./fixture.js";

// Older than the age at which half of a lease may be missing.
const OLD_READING_MS = 300_000;

/** Time for which an order without a response may be delayed, in milliseconds. */
const LONGEST_DELAY_MS = 15_000;

const emptyReport = (clockMs: number): JsonReply =>
    reply(200, { clock_ms: clockMs, born: STARTED_AT_MS, active: [], ended: [] });

const setOldReading = (executor: Executor): void => {
    executor.clock = { clockMs: 0, heardAtMs: performance.now() - OLD_READING_MS };
};

test("an executor that rejects a start because the known reading of its clock is old gets the next one at once", async context => {
    const { tables, executor, connection } = await connect(context, ({ path, body }) => {
        if (path === "/-/hold") {
            return emptyReport(OLD_READING_MS);
        }
        const { until_ms: untilMs } = body as { readonly until_ms: number };
        return untilMs > OLD_READING_MS
            ? reply(200, { clock_ms: OLD_READING_MS })
            : reply(409, { clock_ms: OLD_READING_MS, reason: "late" });
    });
    setOldReading(executor);
    const first = addTaskRun(tables, executor, 1);
    await connection.start(first, undefined);
    assert.equal(executor.runs.size, 0);
    assert.ok(executor.backoffUntilMs <= performance.now(), "the executor is not at fault");
    const second = addTaskRun(tables, executor, 2);
    await connection.start(second, undefined);
    assert.equal(second.phase, "running");
});

test("an executor that rejects a start as late despite a recent reading of its clock gets no starts for a while", async context => {
    const { tables, executor, connection } = await connect(context, ({ path }) =>
        path === "/-/run-start" ? reply(409, { clock_ms: 10, reason: "late" }) : emptyReport(10),
    );
    executor.clock = { clockMs: 10, heardAtMs: performance.now() };
    await connection.start(addTaskRun(tables, executor, 1), undefined);
    assert.ok(executor.backoffUntilMs > performance.now());
});

test("an idle executor is asked for its clock before the known reading is so old that leases become short", async context => {
    const { executor, connection, requests } = await connect(context, () => emptyReport(OLD_READING_MS));
    executor.clock = { clockMs: 0, heardAtMs: performance.now() };
    connection.pollNow();
    await sleep(50);
    assert.equal(requests.length, 0, "the reading is recent");
    setOldReading(executor);
    connection.pollNow();
    await waitUntil(() => executor.clock?.clockMs === OLD_READING_MS);
    assert.deepEqual(
        requests.map(({ path }) => path),
        ["/-/hold"],
    );
});

// Any error in the sending code, here one for an address to which no connection can be opened.
test("a start that fails in this process does not leave its run starting for good", async context => {
    const { tables, executor, connection } = await connect(context, () => reply(200, { clock_ms: 10 }));
    executor.clock = { clockMs: 10, heardAtMs: performance.now() };
    executor.record = { ...executor.record, address: "256.0.0.1:1" };
    const run = addTaskRun(tables, executor, 1);
    await connection.start(run, undefined);
    assert.equal(run.phase, "unsettled", "the start may have been sent");
    assert.ok(executor.backoffUntilMs > performance.now());
    await waitUntil(() => !executor.reachable);
});

test("a speed limit whose order fails in this process is set again", async context => {
    const { tables, executor, connection } = await connect(context, () => reply(200, { clock_ms: 10 }));
    const run = addTaskRun(tables, executor, 1);
    executor.record = { ...executor.record, address: "256.0.0.1:1" };
    await connection.setPace(run, 50);
    assert.equal(run.speedLimitPercent, 100);
});

test("a run whose executor rejects every poll is given up once its lease has expired", async context => {
    let isPollRejected = false;
    const { tables, executor, connection, requests } = await connect(context, ({ path }) =>
        path === "/-/hold" && isPollRejected ? reply(503) : emptyReport(10),
    );
    executor.clock = { clockMs: 10, heardAtMs: performance.now() };
    const run = addTaskRun(tables, executor, 1);
    await connection.start(run, undefined);
    isPollRejected = true;
    assert.equal(run.phase, "running");
    await waitUntil(() => !executor.reachable);
    const { leaseUntilMs } = executor;
    const polls = requests.length;
    await waitUntil(() => requests.length > polls + 1);
    assert.equal(executor.leaseUntilMs, leaseUntilMs, "the lease of a rejected poll counts as extended");
    // Longer ago than the longest lease.
    executor.clock = { clockMs: 10, heardAtMs: performance.now() - 2 * tables.maxLeaseMs };
    expireRuns(tables, executor, performance.now());
    assert.equal(executor.runs.size, 0);
});

// A gang would be placed on the same executor again as soon as its other members have been stopped.
test("an executor that rejects each start gets them at growing intervals, until it accepts one", async context => {
    let isHealthy = false;
    const { tables, executor, connection } = await connect(context, ({ path }) =>
        path === "/-/run-start" && !isHealthy ? reply(503) : emptyReport(10),
    );
    const start = async (number: number): Promise<number> => {
        executor.clock = { clockMs: 10, heardAtMs: performance.now() };
        executor.backoffUntilMs = 0;
        await connection.start(addTaskRun(tables, executor, number), undefined);
        return executor.backoffUntilMs - performance.now();
    };
    const [first, second, third] = [await start(1), await start(2), await start(3)];
    assert.ok(first > 0 && second > first * 1.5 && third > second * 1.5, `${first}, ${second}, ${third} ms`);
    isHealthy = true;
    assert.ok((await start(4)) <= 0);
    isHealthy = false;
    assert.ok((await start(5)) < second);
});

test("starts that an executor rejects together count once", async context => {
    const { tables, executor, connection } = await connect(context, ({ path }) =>
        path === "/-/run-start" ? reply(503) : emptyReport(10),
    );
    executor.clock = { clockMs: 10, heardAtMs: performance.now() };
    const startedAtMs = performance.now();
    await Promise.all([1, 2, 3, 4].map(number => connection.start(addTaskRun(tables, executor, number), undefined)));
    const onceMs = executor.backoffUntilMs - startedAtMs;
    executor.backoffUntilMs = 0;
    await connection.start(addTaskRun(tables, executor, 5), undefined);
    assert.ok(executor.backoffUntilMs - performance.now() > onceMs * 1.5, "the next one doubles the backoff");
    assert.ok(onceMs < 1400, `${onceMs} ms after starts that were sent together`);
});

test("a task whose start got no response waits no longer than the start is valid and may be delayed, although each stop is rejected", async context => {
    const startedAtMs = performance.now();
    // Ahead of the reading that the scheduler has, so that the start is valid for one second on it.
    const clockMs = (): number => RUN_LEASE_MS - 1000 + Math.round(performance.now() - startedAtMs);
    const { tables, executor, connection } = await connect(context, async ({ path }) => {
        switch (path) {
            case "/-/run-start":
                return { kind: "no-reply" };
            case "/-/run-stop":
                return reply(503);
            default:
                await sleep(20);
                return emptyReport(clockMs());
        }
    });
    executor.clock = { clockMs: 0, heardAtMs: performance.now() };
    // The time for which the start may be delayed ends with its lease.
    const run = addTaskRun(tables, executor, 1, startedAtMs + 1000 - LONGEST_DELAY_MS);
    await connection.start(run, undefined);
    assert.equal(run.phase, "unsettled");
    await connection.stop(run);
    await sleep(startedAtMs + 800 - performance.now());
    assert.equal(executor.runs.size, 1, "the start may still take effect");
    await waitUntil(() => executor.runs.size === 0);
    assert.ok(
        performance.now() - startedAtMs < 2000,
        "the task waits for more than a poll after the start has expired",
    );
});

// The next holder does not wait for what this one would do on an executor that the lease row marks as not read.
test("no report of a marked executor is applied, and no lease extended there, before the mark is removed", async context => {
    const end = [1, `${JOB}.0.0.0`, 7, "done", ""];
    const { executor, connection, requests, ...connected } = await connect(context, () =>
        reply(200, { clock_ms: 10, born: STARTED_AT_MS, active: [[`${JOB}.0.0.1`, 8, "", 5]], ended: [end] }),
    );
    Object.assign(executor, { reconciled: false, reachable: false, isMarkedUnread: true });
    connection.pollNow();
    await waitUntil(() => requests.length > 1);
    assert.equal(executor.reconciled, false);
    assert.equal(executor.lastAppliedEnd, 0);
    assert.equal(executor.runs.size + executor.orphanedRuns.length, 0);
    assert.equal(executor.reachable, true, "the next renewal removes the mark");
    const bodies = requests.map(({ body }) => body as { readonly until_ms?: number; readonly last_seen: number });
    assert.ok(bodies.every(({ until_ms: untilMs, last_seen: lastSeen }) => untilMs === undefined && lastSeen === 0));
    executor.isMarkedUnread = false;
    connection.pollNow();
    await waitUntil(() => executor.reconciled);
    assert.equal(executor.lastAppliedEnd, 1);
    assert.ok(executor.wasRead);
    assert.ok(connected.tables.executors.has(ID));
});

test("a start on a marked executor is not sent", async context => {
    const { tables, executor, connection, requests } = await connect(context, () => reply(200, { clock_ms: 10 }));
    executor.clock = { clockMs: 10, heardAtMs: performance.now() };
    executor.isMarkedUnread = true;
    await connection.start(addTaskRun(tables, executor, 1), undefined);
    assert.equal(executor.runs.size, 0);
    assert.deepEqual(requests, []);
});

test("the removal of the mark of an executor that answers is requested", async context => {
    const connected = await connect(context, () => emptyReport(10));
    Object.assign(connected.executor, { reconciled: false, reachable: false, isMarkedUnread: true });
    connected.connection.pollNow();
    await waitUntil(() => connected.removalsRequested > 0);
});

// The first order on a connection waits until the executor has identified itself.
test("a start is not sent if the lease of the pool has run out while its connection was opened", async context => {
    const connected = await connect(context, ({ path }) => {
        if (path === "/-/hold") {
            connected.mayExtendLeases = false;
        }
        return emptyReport(10);
    });
    const { tables, executor, connection, requests } = connected;
    executor.clock = { clockMs: 10, heardAtMs: performance.now() };
    const run = addTaskRun(tables, executor, 1);
    await connection.start(run, undefined);
    assert.equal(requests.filter(({ path }) => path === "/-/run-start").length, 0);
    assert.equal(executor.runs.size, 0);
});
