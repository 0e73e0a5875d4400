import assert from "node:assert/strict";
import test from "node:test";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import type { Configuration, Queue } from "@almondusher/jobs/configuration";
import type { QueueName } from "@almondusher/jobs/ids";
import type { Progress } from "@almondusher/jobs/progress";
import { toTerms, type AdviceTiming, type QueueTerms } from "@almondusher/jobs/queue-terms";
import { failExhaustedJobs, mergeProgress } from "@almondusher/scheduler/admit-job";
import { createDemandHistory, estimateDemand, recordArrival } from "@almondusher/scheduler/demand";
import { adoptConfiguration, attemptsLeft, termsOf, type AttemptsLeft } from "@almondusher/scheduler/job-terms";
import { completionObjectiveMs, orderSteps } from "@almondusher/scheduler/order-steps";
import { stepsOf, type OpenJob, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { surveyWaiting } from "@almondusher/scheduler/waiting-reason";
import fc from "fast-check";
import { addJob, createPool, place, QUEUE, receiveReport, record, step, UNLIMITED_BUDGET } from "./fixture.js";

const POOL = toId<PoolName>("pool");
const OTHER_POOL = toId<PoolName>("other-pool");

const TERMS: QueueTerms = { priority: 1, maxAttempts: 3, stretch: 4, graceMs: 700, advice: undefined };

const queueOf = (name: QueueName, change: Partial<Queue> = {}): Queue => ({
    name,
    host: "host",
    prefix: `/${name}/`,
    pool: POOL,
    timeoutMs: 3000,
    isPublic: false,
    ...TERMS,
    ...change,
});

const configurationOf = (queues: readonly Queue[]): Configuration => ({
    version: 1,
    queues,
    pools: [{ name: POOL, enforcesCapacity: false, spare: false }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tenants: [],
    skippedTenants: [],
});

const NO_QUEUES = configurationOf([]);

const jobOf = (tables: PoolTables, id: string): OpenJob => {
    const job = [...tables.jobs.values()].find(open => open.id === id);
    assert.ok(job !== undefined);
    return job;
};

/** A pool with one executor and one job of one task, whose queue the configuration does not have. */
const poolWithoutQueue = (terms: QueueTerms | undefined, progress?: Progress): PoolTables => {
    const tables = createPool({ executors: [record("a")] });
    adoptConfiguration(tables, NO_QUEUES);
    addJob(tables, { id: "j1", steps: [step()], ...(terms && { terms }), ...(progress && { progress }) });
    return tables;
};

/** Starts the waiting tasks and reports that they have failed. */
const failAttempt = (tables: PoolTables, number: number): number => {
    const runs = place(tables, number * 100);
    receiveReport(tables, "a", {
        ended: runs.map(({ task, number: run }) => ({ number, task: task.id, run, how: "failed", checkpoint: "" })),
    });
    tables.executors.forEach(executor => (executor.backoffUntilMs = 0));
    return runs.length;
};

const failedOnce = (attempts: number): Progress => ({
    state: "running",
    steps: [
        {
            occurrence: 0,
            step: 0,
            done: [],
            failures: [
                { index: 0, attempts, lastRun: 9, runs: Array.from({ length: attempts }, (unused, i) => 9 - i) },
            ],
            checkpoints: [],
        },
    ],
});

test("a job of a removed queue has the attempts under which it was accepted, not one", () => {
    const tables = poolWithoutQueue(TERMS);
    assert.equal(failAttempt(tables, 1), 1);
    assert.equal(failAttempt(tables, 2), 1);
    assert.equal(jobOf(tables, "j1").state, "running");
    assert.equal(failAttempt(tables, 3), 1);
    assert.equal(jobOf(tables, "j1").state, "failed");
});

test("the terms of the configuration apply while it has the queue, in the pool of the job only", () => {
    const tables = poolWithoutQueue(TERMS);
    const termsNow = (): unknown => termsOf(tables, jobOf(tables, "j1"));
    const changed = queueOf(QUEUE, { maxAttempts: 5 });
    adoptConfiguration(tables, configurationOf([changed]));
    assert.deepEqual(termsNow(), { kind: "known", terms: changed });
    adoptConfiguration(tables, configurationOf([queueOf(QUEUE, { pool: OTHER_POOL, maxAttempts: 1 })]));
    assert.deepEqual(termsNow(), { kind: "known", terms: TERMS });
    adoptConfiguration(tables, configurationOf([queueOf(QUEUE, { host: "other-host", maxAttempts: 2 })]));
    assert.equal(attemptsLeft(tables, place(tables)[0]?.task ?? assert.fail("no start")), "some");
    adoptConfiguration(tables, NO_QUEUES);
    assert.deepEqual(termsNow(), { kind: "known", terms: TERMS });
});

test("a job that an earlier version has stored is not shown as failed by a guess, and fails no more often than allowed", () => {
    const tables = poolWithoutQueue(undefined);
    assert.equal(failAttempt(tables, 1), 1, "the first attempt needs no terms");
    assert.equal(jobOf(tables, "j1").state, "running");
    assert.equal(place(tables, 5000).length, 0, "another attempt might be one too many");
    const [task] = stepsOf(jobOf(tables, "j1"))[0]?.tasks ?? [];
    assert.ok(task !== undefined);
    const options = { nowMs: 5000, budget: UNLIMITED_BUDGET, executorsWithTicket: () => undefined };
    assert.deepEqual(surveyWaiting(tables, options).reasonOf(task), {
        kind: "attempts-unknown",
        member: task.id,
        queue: QUEUE,
    });
    adoptConfiguration(tables, configurationOf([queueOf(QUEUE)]));
    failExhaustedJobs(tables);
    assert.equal(jobOf(tables, "j1").state, "running");
    assert.equal(place(tables, 5000).length, 1);
});

test("a task that has used its attempts while they were unknown does not start again once they are known", () => {
    const tables = poolWithoutQueue(undefined);
    failAttempt(tables, 1);
    adoptConfiguration(tables, configurationOf([queueOf(QUEUE, { maxAttempts: 1 })]));
    failExhaustedJobs(tables);
    assert.equal(jobOf(tables, "j1").state, "failed");
    assert.equal(jobOf(tables, "j1").dirty, true);
    assert.equal(place(tables, 5000).length, 0);
});

test("a gang of unknown terms waits as a whole once a member has failed", () => {
    const tables = createPool({ executors: [record("a")] });
    adoptConfiguration(tables, NO_QUEUES);
    addJob(tables, { id: "j1", steps: [step({ gang: true, count: 2 })] });
    const placed = place(tables);
    assert.equal(placed.length, 2);
    const [failed] = placed;
    assert.ok(failed !== undefined);
    const members = failed.task.step.tasks;
    receiveReport(tables, "a", {
        ended: members.map(({ id, runs }, index) => ({
            number: index + 1,
            task: id,
            run: runs[0]?.number ?? 0,
            how: id === failed.task.id ? "failed" : "broken",
            checkpoint: "",
        })),
    });
    assert.equal(place(tables, 5000).length, 0);
    assert.equal(jobOf(tables, "j1").state, "running");
    const options = { nowMs: 5000, budget: UNLIMITED_BUDGET, executorsWithTicket: () => undefined };
    const survey = surveyWaiting(tables, options);
    assert.deepEqual(
        members.map(survey.reasonOf),
        members.map(() => ({ kind: "attempts-unknown", member: failed.task.id, queue: QUEUE })),
    );
});

test("a long-running task of unknown terms starts again however often it has failed", () => {
    const tables = createPool({ executors: [record("a")] });
    adoptConfiguration(tables, NO_QUEUES);
    addJob(tables, { id: "j1", steps: [step({ longRunning: true })] });
    [1, 2, 3].forEach(number => assert.equal(failAttempt(tables, number), 1));
    assert.equal(jobOf(tables, "j1").state, "running");
});

// Each of two holders had counted one of the failures, and the task was started a third time.
test("a job whose stored failures use up its attempts ends as failed when it is admitted, or when they are merged", () => {
    const terms = { ...TERMS, maxAttempts: 2 };
    const admitted = poolWithoutQueue(terms, failedOnce(2));
    assert.equal(jobOf(admitted, "j1").state, "failed");
    assert.equal(place(admitted).length, 0);
    const merged = poolWithoutQueue(terms);
    failAttempt(merged, 1);
    const job = jobOf(merged, "j1");
    mergeProgress(merged, job, { progress: failedOnce(1), version: 2 });
    assert.equal(job.state, "failed");
    assert.equal(job.dirty, true);
});

test("work of unknown priority comes last, in the order of arrival, and never counts as late", () => {
    const batch = toId<QueueName>("batch");
    const tables = createPool({ executors: [record("a")] });
    adoptConfiguration(tables, configurationOf([queueOf(QUEUE, { priority: 0 }), queueOf(batch, { priority: 9 })]));
    const removed = toId<QueueName>("removed");
    addJob(tables, { id: "unknown-2", steps: [step()], queue: removed, arrivedAtMs: 20 });
    addJob(tables, { id: "unknown-1", steps: [step()], queue: removed, arrivedAtMs: 10 });
    addJob(tables, { id: "batch", steps: [step()], queue: batch });
    addJob(tables, { id: "accepted", steps: [step()], queue: removed, terms: { ...TERMS, priority: 5 } });
    addJob(tables, { id: "urgent", steps: [step()] });
    const ranked = orderSteps(tables, 50_000, () => true);
    assert.deepEqual(
        ranked.map(({ step: { job } }) => job.id as string),
        ["urgent", "accepted", "batch", "unknown-1", "unknown-2"],
    );
    assert.deepEqual(
        ranked.filter(({ isLate }) => !isLate).map(({ step: { job } }) => job.id as string),
        ["unknown-1", "unknown-2"],
    );
    assert.equal(completionObjectiveMs(tables, jobOf(tables, "unknown-1"), 50_000), undefined);
});

test("jobs that were accepted under the same terms share one object, and terms that no job has are dropped", () => {
    const tables = createPool({ executors: [record("a")] });
    const copies = Array.from({ length: 1000 }, (unused, index) => `j${index}`);
    copies.forEach(id => addJob(tables, { id, steps: [step()], terms: { ...TERMS } }));
    assert.equal(new Set([...tables.jobs.values()].map(({ job }) => job.terms)).size, 1);
    Array.from({ length: 1000 }, (unused, index) => index).forEach(priority => {
        addJob(tables, { id: `other-${priority}`, steps: [step()], terms: { ...TERMS, priority } });
        tables.jobs.delete(jobOf(tables, `other-${priority}`).id);
    });
    assert.ok(tables.acceptedTerms.size <= 256, `${tables.acceptedTerms.size} kept`);
    assert.ok([...tables.acceptedTerms.values()].includes(jobOf(tables, "j0").job.terms ?? assert.fail()));
});

const NAMES = ["q1", "q2", "q3"].map(name => toId<QueueName>(name));

const drawnQueue = (name: QueueName): fc.Arbitrary<Queue> =>
    fc
        .record({
            pool: fc.constantFrom(POOL, POOL, OTHER_POOL),
            priority: fc.nat(2),
            maxAttempts: fc.integer({ min: 1, max: 3 }),
            stretch: fc.constantFrom(1, 2),
            graceMs: fc.constantFrom(0, 500, 5000),
            advice: fc.constantFrom(undefined, { decideMs: 20, perExecutorMs: 1, validMs: 3000 }),
        })
        .map(change => queueOf(name, change));

const drawnConfiguration: fc.Arbitrary<Configuration> = fc
    .tuple(...NAMES.map(name => fc.option(drawnQueue(name), { nil: undefined })))
    .map(queues => configurationOf(queues.filter(queue => queue !== undefined)));

const drawnJob = fc.record({
    queue: fc.constantFrom(...NAMES),
    arrivedAtMs: fc.nat(5000),
    failures: fc.nat(3),
    longRunning: fc.boolean(),
    /** The configuration in whose time the job was accepted, and whether a version stored it that knew no terms. */
    acceptedAt: fc.nat(4),
    hasTerms: fc.boolean(),
});

interface Answers {
    readonly order: readonly (readonly [string, boolean, number, number])[];
    readonly advised: readonly (AdviceTiming | "unknown" | undefined)[];
    readonly attempts: readonly (readonly [string, AttemptsLeft, string])[];
    readonly wantedVms: number | undefined;
}

/** Everything that a scheduler derives from the terms of its jobs. */
const answersOf = (tables: PoolTables, nowMs: number): Answers => {
    const history = createDemandHistory();
    const jobs = [...tables.jobs.values()].sort((left, right) => (left.id < right.id ? -1 : 1));
    jobs.forEach(job => recordArrival(tables, history, job, nowMs));
    return {
        order: orderSteps(tables, nowMs, () => true).map(({ step: { id }, isLate, priority, latestStartMs }) => [
            id,
            isLate,
            priority,
            latestStartMs,
        ]),
        advised: jobs.map(job => {
            const terms = termsOf(tables, job);
            return terms.kind === "known" ? terms.terms.advice : "unknown";
        }),
        attempts: jobs.flatMap(job =>
            stepsOf(job).flatMap(({ tasks }) =>
                tasks.map(task => [task.id, attemptsLeft(tables, task), job.state] as const),
            ),
        ),
        wantedVms: estimateDemand(tables, history, nowMs)?.wantedVms,
    };
};

test("a scheduler that has just started derives the same from the store as one that has seen all configurations", () => {
    const property = fc.property(
        fc.array(drawnConfiguration, { minLength: 1, maxLength: 5 }),
        fc.array(drawnJob, { maxLength: 8 }),
        (configurations, drawn) => {
            const current = configurations.at(-1) ?? NO_QUEUES;
            const fixtures = drawn.map(({ queue, arrivedAtMs, failures, longRunning, acceptedAt, hasTerms }, index) => {
                const accepted = configurations[acceptedAt % configurations.length]?.queues.find(
                    ({ name }) => name === queue,
                );
                return {
                    id: `j${index}`,
                    queue,
                    arrivedAtMs,
                    steps: [step({ longRunning })],
                    ...(failures > 0 && { progress: failedOnce(failures) }),
                    ...(hasTerms && accepted !== undefined && { terms: toTerms(accepted) }),
                };
            });
            const old = createPool({ executors: [record("a")] });
            const fresh = createPool({ executors: [record("a")] });
            adoptConfiguration(old, configurations[0] ?? NO_QUEUES);
            // A job whose attempts were used up under an earlier configuration is final, and stored so.
            fixtures.filter(({ progress }) => progress === undefined).forEach(job => addJob(old, job));
            configurations.forEach(configuration => adoptConfiguration(old, configuration));
            fixtures.filter(({ progress }) => progress !== undefined).forEach(job => addJob(old, job));
            failExhaustedJobs(old);
            adoptConfiguration(fresh, current);
            fixtures.forEach(job => addJob(fresh, job));
            assert.deepEqual(answersOf(old, 6000), answersOf(fresh, 6000));
        },
    );
    fc.assert(property, { seed: 20_261_207, numRuns: 500 });
});
