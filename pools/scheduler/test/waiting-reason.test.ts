import assert from "node:assert/strict";
import test from "node:test";
import { toId } from "@almondusher/fleet/ids";
import type { ExecutorId, JobId } from "@almondusher/jobs/ids";
import type { Step } from "@almondusher/jobs/job";
import { beginIncarnation } from "../src/executor-incarnation.js";
import type { UnusableCause } from "../src/executor-usability.js";
import type { Executor, PoolTables, Task } from "../src/pool-tables.js";
import { recordAnsweredRequest, recordUnansweredRequest } from "../src/lost-requests.js";
import { giveUpRun } from "../src/run-table.js";
import { isHeldUp, surveyWaiting, type SurveyOptions, type WaitingReason } from "../src/waiting-reason.js";
import {
    UNLIMITED_BUDGET,
    createPool,
    executorOf,
    limitedBudget,
    place,
    record,
    step,
    type JobFixture,
    type PoolFixture,
} from "./fixture.js";

const NOW_MS = 10_000;

/** Tables of a pool with two executors and one job. */
const poolWith = (steps: readonly Step[], job: Partial<JobFixture> = {}, pool: Partial<PoolFixture> = {}): PoolTables =>
    createPool({ executors: [record("e1"), record("e2")], jobs: [{ id: "job", steps, ...job }], ...pool });

const taskOf = (tables: PoolTables, index = 0, ofStep = 0): Task => {
    const task = tables.jobs.get(toId<JobId>("job"))?.occurrences.get(0)?.[ofStep]?.tasks[index];
    assert(task !== undefined);
    return task;
};

const reasonOf = (tables: PoolTables, task: Task, options: Partial<SurveyOptions> = {}): WaitingReason =>
    surveyWaiting(tables, {
        nowMs: NOW_MS,
        budget: UNLIMITED_BUDGET,
        executorsWithTicket: () => undefined,
        ...options,
    }).reasonOf(task);

const ONE_FOR_EACH_EXECUTOR = step({ demand: { cpu: 3000, memoryMb: 3000, gpu: 0 } });

test("a task whose stop is never accepted names the run and the executor that hold it up", () => {
    const tables = poolWith([step()]);
    const [run] = place(tables, 4000);
    assert(run !== undefined);
    run.phase = "stopping";
    run.executor.reachable = false;
    assert(isHeldUp(taskOf(tables)));
    assert.deepEqual(reasonOf(tables, taskOf(tables)), {
        kind: "run-not-ended",
        member: "job.0.0.0",
        executor: run.executor.id,
        run: run.number,
        phase: "stopping",
        ageMs: 6000,
        reachable: false,
    });
});

test("a task is not held up while a run of it is at work, and is once its executor does not respond", () => {
    const tables = poolWith([step()]);
    const [run] = place(tables);
    assert(run !== undefined);
    assert(isHeldUp(taskOf(tables)), "the start was not answered yet");
    run.phase = "running";
    assert(!isHeldUp(taskOf(tables)));
    run.executor.reachable = false;
    assert(isHeldUp(taskOf(tables)));
});

test("a gang that waits for the last run of one member names that member", () => {
    const tables = poolWith([step({ gang: true, count: 3 })]);
    const runs = place(tables);
    const last = runs[2];
    assert(last !== undefined);
    runs.slice(0, 2).forEach(run => giveUpRun(run, "not-listed", 0));
    const reason = reasonOf(tables, taskOf(tables, 0));
    assert.equal(reason.kind, "gang-member-run-not-ended");
    assert.deepEqual(reason.kind === "gang-member-run-not-ended" && [reason.member, reason.run, reason.executor], [
        last.task.id,
        last.number,
        last.executor.id,
    ]);
    assert.equal(reasonOf(tables, last.task).kind, "run-not-ended");
});

test("an inherited job that one silent executor holds up names it and the time that is left", () => {
    const tables = poolWith([step()], { inherited: true });
    tables.inheritedWaitUntilMs = NOW_MS + 700;
    const silent = executorOf(tables, "e2");
    silent.reconciled = false;
    silent.reachable = false;
    assert.deepEqual(reasonOf(tables, taskOf(tables)), {
        kind: "inherited-runs-unknown",
        executor: "e2",
        reachable: false,
        hasUnreadEnds: false,
        executors: 1,
        remainingMs: 700,
    });
});

test("an inherited job that waits for unread ends names the executor whose wait does not end by time", () => {
    const tables = poolWith([step()], { inherited: true });
    tables.inheritedWaitUntilMs = NOW_MS + 700;
    ["e1", "e2"].forEach(id => (executorOf(tables, id).reconciled = false));
    executorOf(tables, "e2").hasUnreadEnds = true;
    const reason = reasonOf(tables, taskOf(tables));
    assert.deepEqual(
        reason.kind === "inherited-runs-unknown" && [reason.executor, reason.hasUnreadEnds, reason.executors],
        ["e2", true, 2],
    );
});

test("an inherited job whose progress could not be read again is told from one that waits for an executor", () => {
    const tables = poolWith([step()], { inherited: true });
    tables.isProgressCurrent = false;
    assert.deepEqual(reasonOf(tables, taskOf(tables)), { kind: "progress-not-read" });
});

test("a job that was read after the last confirmed renewal of the lease tells both ages", () => {
    const tables = poolWith([step()], { readAtMs: 8000 }, { leaseHeldAtMs: 7000 });
    assert.deepEqual(reasonOf(tables, taskOf(tables)), {
        kind: "job-read-unconfirmed",
        readBeforeMs: 2000,
        confirmedBeforeMs: 3000,
    });
});

test("a task whose run was given up after the last confirmed renewal of the lease tells both ages", () => {
    const tables = poolWith([step()], {}, { leaseHeldAtMs: 7000 });
    const [run] = place(tables, 7000);
    assert(run !== undefined);
    giveUpRun(run, "not-listed", 9000);
    assert.deepEqual(reasonOf(tables, taskOf(tables)), {
        kind: "give-up-unconfirmed",
        member: "job.0.0.0",
        givenUpBeforeMs: 1000,
        confirmedBeforeMs: 3000,
    });
});

test("a gang names the member whose run was given up after the last confirmed renewal", () => {
    const tables = poolWith([step({ gang: true, count: 2 })], {}, { leaseHeldAtMs: 7000 });
    place(tables, 7000).forEach((run, index) => giveUpRun(run, "not-listed", index === 0 ? 6000 : 9000));
    const reason = reasonOf(tables, taskOf(tables));
    assert.equal(reason.kind === "give-up-unconfirmed" && reason.member, "job.0.0.1");
});

test("a label that no executor of the pool has is told from a lack of room", () => {
    const tables = poolWith([step({ requiredLabel: "missing" })]);
    assert.deepEqual(reasonOf(tables, taskOf(tables)), { kind: "no-label", label: "missing" });
});

const unusableBy: Readonly<Record<UnusableCause, (executor: Executor, tables: PoolTables) => void>> = {
    "not-registered": executor => (executor.registered = false),
    unreachable: executor => (executor.reachable = false),
    "not-read": executor => (executor.reconciled = false),
    "not-listed-in-lease": executor => (executor.listedInLease = false),
    "incarnation-unconfirmed": (executor, tables) => {
        tables.leaseHeldAtMs = NOW_MS - 100;
        beginIncarnation(executor, NOW_MS - 50, "registry");
        executor.reconciled = true;
    },
    "ends-may-be-discarded": executor => {
        recordUnansweredRequest(executor, { acknowledgementSentAtMs: NOW_MS - 14_900 });
        recordAnsweredRequest(executor, NOW_MS - 14_000);
        beginIncarnation(executor, NOW_MS - 50, "registry");
        executor.reconciled = true;
    },
    "token-not-shown": (executor, tables) => {
        tables.leaseHeldAtMs = NOW_MS - 1000;
        executor.answeredRequestAtMs = NOW_MS - 2500;
    },
    evacuated: executor => (executor.evacuation = { id: "evacuation", byMs: NOW_MS }),
    draining: executor => (executor.record = { ...executor.record, draining: true }),
    "orphaned-runs": executor =>
        (executor.orphanedRuns = [{ task: toId("other.0.0.0"), number: 1, stopSentAtMs: undefined, stopsSent: 0 }]),
    "back-off": executor => (executor.backoffUntilMs = NOW_MS + 1),
};

Object.entries(unusableBy).forEach(([cause, makeUnusable]) => {
    void test(`a pool whose executors all get no starts counts them by cause: ${cause}`, () => {
        const tables = poolWith([step()]);
        tables.executors.forEach(executor => makeUnusable(executor, tables));
        assert.deepEqual(reasonOf(tables, taskOf(tables)), { kind: "no-usable-executor", unusable: { [cause]: 2 } });
        assert.deepEqual(place(tables, NOW_MS), []);
    });
});

// Each renewal of the lease leaves such executors out, which hid that a pool had given most of its room away.
test("executors without runs on evacuated VMs count as evacuated, not as missing in the lease", () => {
    const tables = poolWith([step()]);
    tables.executors.forEach(executor => {
        executor.evacuation = { id: "evacuation", byMs: 0 };
        executor.listedInLease = false;
    });
    assert.deepEqual(reasonOf(tables, taskOf(tables)), { kind: "no-usable-executor", unusable: { evacuated: 2 } });
});

test("a task with room only on an executor that is kept out of use tells the cause", () => {
    const tables = poolWith([{ ...ONE_FOR_EACH_EXECUTOR, count: 2 }]);
    const kept = executorOf(tables, "e2");
    kept.evacuation = { id: "evacuation", byMs: 0 };
    place(tables);
    assert.deepEqual(reasonOf(tables, taskOf(tables, 1)), {
        kind: "no-room",
        usable: 1,
        unusable: { evacuated: 1 },
    });
});

test("a step without a ticket is told from one without room", () => {
    const tables = poolWith([step()]);
    const noTicket: ReadonlySet<ExecutorId> = new Set();
    assert.deepEqual(reasonOf(tables, taskOf(tables), { executorsWithTicket: () => noTicket }), {
        kind: "no-ticket",
        usable: 2,
        unusable: {},
    });
});

test("a step that has its maximum on each executor is told from one without room", () => {
    const tables = poolWith([step({ count: 3, maxPerExecutor: 1 })]);
    assert.equal(place(tables).length, 2);
    assert.equal(reasonOf(tables, taskOf(tables, 2)).kind, "max-per-executor");
});

test("a gang whose members fit one by one but not together is told from a lack of room for a task", () => {
    const tables = poolWith([{ ...ONE_FOR_EACH_EXECUTOR, gang: true, count: 3 }]);
    assert.deepEqual(reasonOf(tables, taskOf(tables)), { kind: "no-room-for-gang", members: 3, unusable: {} });
});

test("a task beyond the budget of outstanding orders tells so", () => {
    const tables = poolWith([step()]);
    const reason = reasonOf(tables, taskOf(tables), { budget: limitedBudget(0) });
    assert.deepEqual(reason, { kind: "order-budget-exhausted" });
});

test("a task whose only executor with room has left its orders unanswered waits for the budget", () => {
    const tables = poolWith([ONE_FOR_EACH_EXECUTOR]);
    const budget = { ...UNLIMITED_BUDGET, allows: () => false };
    assert.deepEqual(reasonOf(tables, taskOf(tables), { budget }), { kind: "order-budget-exhausted" });
});

test("a pool that has given all reserved run numbers tells so", () => {
    const tables = poolWith([step()]);
    tables.runNumbers.last = tables.runNumbers.reservedUpTo;
    assert.deepEqual(reasonOf(tables, taskOf(tables)), {
        kind: "run-numbers-exhausted",
        reservedUpTo: tables.runNumbers.reservedUpTo,
    });
});

test("a task that nothing holds up is placed by the next pass", () => {
    const tables = poolWith([step()]);
    assert.deepEqual(reasonOf(tables, taskOf(tables)), { kind: "none" });
    assert.equal(place(tables).length, 1);
});

test("room on executors that get no starts counts as room, and that on draining or vanished ones does not", () => {
    const tables = poolWith([step()]);
    const hasRoom = (): boolean =>
        surveyWaiting(tables, {
            nowMs: NOW_MS,
            budget: UNLIMITED_BUDGET,
            executorsWithTicket: () => undefined,
        }).hasRoom(taskOf(tables).step);
    tables.executors.forEach(executor => (executor.reachable = false));
    assert(hasRoom());
    executorOf(tables, "e1").registered = false;
    assert(hasRoom());
    executorOf(tables, "e2").record = { ...executorOf(tables, "e2").record, draining: true };
    assert(!hasRoom());
});

const EXECUTORS = 500;
const TASKS = 5000;
// Processor time of the whole process. A check must not delay the next tick of the scheduler.
const MAX_SURVEY_MS = 100;

const surveyStates: Readonly<Record<string, (tables: PoolTables) => Partial<SurveyOptions>>> = {
    "no executor responds": tables => {
        tables.executors.forEach(executor => (executor.reachable = false));
        return {};
    },
    "no task may start for lack of orders": () => ({ budget: limitedBudget(0) }),
};

Object.entries(surveyStates).forEach(([state, prepare]) => {
    void test(`a survey of ${TASKS} tasks on ${EXECUTORS} executors takes less than ${MAX_SURVEY_MS} ms of processor time: ${state}`, context => {
        const tables = createPool({
            executors: Array.from({ length: EXECUTORS }, (unused, index) => record(`e${index}`)),
            jobs: Array.from({ length: TASKS / 10 }, (unused, index) => ({
                id: `j${index}`,
                steps: [step({ count: 10 })],
            })),
        });
        const options = { nowMs: NOW_MS, budget: UNLIMITED_BUDGET, executorsWithTicket: () => undefined };
        const changed = { ...options, ...prepare(tables) };
        const measure = (): number => {
            const before = process.cpuUsage();
            const survey = surveyWaiting(tables, changed);
            tables.jobs.forEach(({ occurrences }) =>
                occurrences.get(0)?.forEach(open => {
                    survey.hasRoom(open);
                    open.tasks.filter(isHeldUp).forEach(survey.reasonOf);
                }),
            );
            const { user, system } = process.cpuUsage(before);
            return (user + system) / 1000;
        };
        const startedAtMs = performance.now();
        const bestMs = Math.min(...Array.from({ length: 5 }, measure));
        const elapsedMs = performance.now() - startedAtMs;
        context.diagnostic(`${bestMs.toFixed(1)} ms, ${elapsedMs.toFixed(1)} ms elapsed in 5 surveys`);
        assert(bestMs < MAX_SURVEY_MS, `${bestMs} ms`);
    });
});
