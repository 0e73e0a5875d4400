import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { toId } from "@almondusher/fleet/ids";
import type { JobId, QueueName } from "@almondusher/jobs/ids";
import { initialProgress } from "@almondusher/jobs/progress";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { openWaitingTasks } from "@almondusher/scheduler/open-tasks";
import { recordLeaseHeld, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { addRun } from "@almondusher/scheduler/run-table";
import type { UnusableCause } from "@almondusher/scheduler/executor-usability";
import type { WaitingReason } from "@almondusher/scheduler/waiting-reason";
import { createDispatcherMetrics } from "../src/process/dispatcher-metrics.js";
import { createWaitingLog, WAITING_CHECK_INTERVAL_MS, type PoolGate } from "../src/pool/waiting-log.js";
import { emptyTables, executorRecord, POOL, STEP } from "./fixture.js";

type Line = Readonly<Record<string, unknown>>;

/** A waiting log over a pool whose only executor does not respond, with simulated time. */
const watchPool = (jobs: Readonly<Record<string, number>>) => {
    const tables = emptyTables();
    let nowMs = 0;
    const lines: Line[] = [];
    const metrics = createDispatcherMetrics();
    recordLeaseHeld(tables, Infinity);
    applyRegistry(tables, [executorRecord("e1")], nowMs);
    tables.executors.forEach(executor => {
        executor.reconciled = true;
        executor.listedInLease = true;
        executor.reachable = false;
    });
    Object.entries(jobs).forEach(([id, count]) => addJob(tables, id, count));
    const log = createWaitingLog({
        context: { metrics, monotonicMs: () => nowMs, log: (event, fields) => void lines.push({ event, ...fields }) },
        tables,
        surveyOptions: () => ({
            nowMs,
            budget: { isExhausted: () => false, allows: () => true, spend: () => undefined },
            executorsWithTicket: () => undefined,
        }),
    });
    const checkFor = (seconds: number, gate?: PoolGate): void =>
        Array.from({ length: seconds }).forEach(() => {
            log.check(gate, { leaseAgeMs: 6500.4, sinceFencedMs: Infinity });
            nowMs += WAITING_CHECK_INTERVAL_MS;
        });
    return { tables, lines, metrics, checkFor };
};

const addJob = (tables: PoolTables, id: string, count: number): void => {
    const job = {
        id: toId<JobId>(id),
        queue: toId<QueueName>("queue-1"),
        pool: POOL,
        spec: "",
        steps: [{ ...STEP, count }],
        schedule: undefined,
        tenant: undefined,
        terms: undefined,
        acceptedAtMs: 0,
    };
    const admitted = { job, progress: initialProgress, progressVersion: 1, arrivedAtMs: 0, readAtMs: 0 };
    admitJob(tables, { ...admitted, inherited: false }, 0);
    // As each pass does.
    openWaitingTasks(tables);
};

test("a task that waits with room is logged with its reason after 3 s, then at doubled times", () => {
    const { lines, metrics, checkFor } = watchPool({ a: 1 });
    checkFor(14);
    assert.deepEqual(
        lines.map(({ waitedMs }) => waitedMs),
        [3000, 6000, 12_000],
    );
    assert.deepEqual(lines[0], {
        event: "task-waiting",
        job: "a",
        task: "a.0.0.0",
        pool: POOL,
        reason: "no-usable-executor",
        waitedMs: 3000,
        unusable: { unreachable: 1 },
        waitingInPool: 1,
    });
    assert.match(metrics.text(), /almondusher_tasks_waiting_no_usable_executor 11\n/);
});

test("a task whose start is never answered is logged with the run and the executor", () => {
    const { tables, lines, checkFor } = watchPool({ a: 1 });
    const executor = [...tables.executors.values()][0];
    const task = tables.jobs.get(toId<JobId>("a"))?.occurrences.get(0)?.[0]?.tasks[0];
    assert(executor !== undefined && task !== undefined);
    addRun({ task, number: 65_537, executor, phase: "starting", startedAtMs: 0, resumedFrom: "" });
    checkFor(4);
    assert.deepEqual(
        lines.map(({ reason, executor: holder, run, phase, ageMs, reachable }) => [
            reason,
            holder,
            run,
            phase,
            ageMs,
            reachable,
        ]),
        [["run-not-ended", "e1", 65_537, "starting", 3000, false]],
    );
});

test("a pool full of waiting tasks writes a few lines a second, and each waiting step gets one", () => {
    const { lines, checkFor } = watchPool({ large: 500, small: 1 });
    checkFor(4);
    assert.equal(lines.length, 5);
    assert.deepEqual(
        lines.slice(0, 2).map(({ job }) => job),
        ["large", "small"],
    );
    assert.equal(lines[0]?.["waitingInPool"], 501);
    checkFor(1);
    assert.equal(lines.length, 10);
});

test("a task for which there is no room is not logged", () => {
    const { tables, lines, checkFor } = watchPool({ a: 1 });
    tables.executors.forEach(executor => (executor.record = { ...executor.record, draining: true }));
    checkFor(10);
    assert.deepEqual(lines, []);
});

test("a wait that was interrupted is counted from its beginning again", () => {
    const { tables, lines, checkFor } = watchPool({ a: 1 });
    const setRegistered = (registered: boolean): void =>
        tables.executors.forEach(executor => (executor.registered = registered));
    checkFor(3);
    setRegistered(false);
    checkFor(1);
    setRegistered(true);
    checkFor(3);
    assert.deepEqual(lines, []);
    checkFor(1);
    assert.equal(lines.length, 1);
});

test("a scheduler that may not act names the reason for its pool, at doubled times", () => {
    const { lines, metrics, checkFor } = watchPool({ a: 1 });
    checkFor(8, "lease-too-old");
    assert.deepEqual(lines, [
        {
            event: "pool-waiting",
            pool: POOL,
            reason: "lease-too-old",
            waitedMs: 3000,
            leaseAgeMs: 6500,
        },
        {
            event: "pool-waiting",
            pool: POOL,
            reason: "lease-too-old",
            waitedMs: 6000,
            leaseAgeMs: 6500,
        },
    ]);
    assert.match(metrics.text(), /almondusher_pools_waiting_lease_too_old 5\n/);
});

/** Every reason that a line may name; an incomplete list does not compile. */
const reasons: Readonly<Record<WaitingReason["kind"] | UnusableCause | PoolGate, true>> = {
    "run-not-ended": true,
    "gang-member-run-not-ended": true,
    "inherited-runs-unknown": true,
    "progress-not-read": true,
    "job-read-unconfirmed": true,
    "give-up-unconfirmed": true,
    "inherited-start-possible": true,
    "attempts-unknown": true,
    "tenant-cap": true,
    "no-label": true,
    "no-usable-executor": true,
    "no-room": true,
    "no-room-for-gang": true,
    "no-ticket": true,
    "max-per-executor": true,
    "order-budget-exhausted": true,
    "run-numbers-exhausted": true,
    none: true,
    "not-registered": true,
    unreachable: true,
    "not-read": true,
    "not-listed-in-lease": true,
    "incarnation-unconfirmed": true,
    "ends-may-be-discarded": true,
    "token-not-shown": true,
    evacuated: true,
    draining: true,
    "orphaned-runs": true,
    "back-off": true,
    "jobs-not-read": true,
    "executors-not-read": true,
    "lease-too-old": true,
    fenced: true,
};

test("docs/OPERATIONS.md explains every reason that a line may name", () => {
    const page = readFileSync(new URL("../../../docs/OPERATIONS.md", import.meta.url), "utf8");
    assert.deepEqual(
        Object.keys(reasons).filter(reason => !page.includes(`\`${reason}\``)),
        [],
    );
});
