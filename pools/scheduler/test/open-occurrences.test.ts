import assert from "node:assert/strict";
import test from "node:test";
import type { TaskId } from "@almondusher/jobs/ids";
import { decodeProgress, encodeProgress } from "@almondusher/jobs/stored-rows";
import { MAX_TASKS, type Schedule } from "@almondusher/jobs/job";
import { MAX_WAITING_SCHEDULED_TASKS, openDueOccurrencesOfPool } from "@almondusher/scheduler/open-occurrences";
import { progressOf } from "@almondusher/scheduler/job-progress";
import { isWaiting, stepsOf, type OpenJob, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { createPool, executorOf, place, receiveReport, record, step } from "./fixture.js";

const DUE_AT_MS = 1000;
const RUN = 65_537;

/** Tables of a new holder of the lease for which the only occurrence of a job is not due yet. */
const beforeDueTime = (): { readonly tables: PoolTables; readonly job: OpenJob } => {
    const schedule = { occurrences: 1, firstRunMs: DUE_AT_MS, intervalMs: 1000 };
    const tables = createPool({
        executors: [record("a"), record("b")],
        jobs: [{ id: "j1", steps: [step()], inherited: true, schedule }],
    });
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined && job.occurrences.size === 0);
    return { tables, job };
};

const activeRun = (task: string) =>
    ({ task: task as TaskId, run: RUN, checkpoint: "", percent: 10, recentLoad: undefined }) as const;

// The run was stopped as unknown, and its task started elsewhere at the due time, also if the stop had not arrived.
test("a run that a holder with a faster clock started is adopted although its occurrence is not due here", () => {
    const { tables } = beforeDueTime();
    receiveReport(tables, "a", { active: [activeRun("j1.0.0.0")] });
    assert.deepEqual(executorOf(tables, "a").orphanedRuns, []);
    assert.deepEqual(
        [...executorOf(tables, "a").runs.values()].map(({ number }) => number),
        [RUN],
    );
    executorOf(tables, "a").reachable = false;
    openDueOccurrencesOfPool(tables, DUE_AT_MS);
    assert.equal(place(tables, 200).length, 0, "the task would run twice");
});

// The end was acknowledged without being counted, so that the task ran again.
test("an end as done counts although the occurrence of its task is not due here", () => {
    const { tables, job } = beforeDueTime();
    receiveReport(tables, "a", {
        ended: [{ number: 1, task: "j1.0.0.0" as TaskId, run: RUN, how: "done", checkpoint: "" }],
    });
    openDueOccurrencesOfPool(tables, DUE_AT_MS);
    assert.equal(place(tables, 200).length, 0);
    assert.equal(job.state, "completed");
});

test("a run of an occurrence that the job does not have is stopped", () => {
    const { tables, job } = beforeDueTime();
    receiveReport(tables, "a", { active: [activeRun("j1.1.0.0"), activeRun("j1.x.0.0")] });
    assert.equal(executorOf(tables, "a").orphanedRuns.length, 2);
    assert.equal(job.occurrences.size, 0);
});

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const YEAR_MS = 365 * 24 * HOUR_MS;
const JOBS = 24;

/** A schedule that counts how often it is evaluated. */
const countReads = (schedule: Schedule): { readonly schedule: Schedule; readonly reads: () => number } => {
    let reads = 0;
    const counting: Schedule = {
        occurrences: schedule.occurrences,
        intervalMs: schedule.intervalMs,
        get firstRunMs() {
            reads++;
            return schedule.firstRunMs;
        },
    };
    return { schedule: counting, reads: () => reads };
};

const waitingTasks = ({ jobs }: PoolTables): number =>
    [...jobs.values()].flatMap(stepsOf).reduce((sum, { tasks }) => sum + tasks.filter(isWaiting).length, 0);

/** Reports the ends of all runs of an executor as done. */
const endAllRuns = (tables: PoolTables, id: string, firstEnd: number): number => {
    const runs = [...executorOf(tables, id).runs.values()];
    const ended = runs.map(({ task, number }, index) => ({
        number: firstEnd + index,
        task: task.id,
        run: number,
        how: "done" as const,
        checkpoint: "",
    }));
    receiveReport(tables, id, { ended });
    return firstEnd + runs.length;
};

// The jobs of review/7: a pass that walked each occurrence of 24 such jobs took all the time of every scheduler.
test("the work of a pass does not grow with the occurrences that a job may have one day", () => {
    const counted = Array.from({ length: JOBS }, () =>
        countReads({ occurrences: MAX_TASKS, firstRunMs: HOUR_MS, intervalMs: MINUTE_MS }),
    );
    const tables = createPool({
        executors: [record("a")],
        jobs: counted.map(({ schedule }, index) => ({ id: `j${index}`, steps: [step()], schedule })),
    });
    const passes = 10;
    for (let pass = 0; pass < passes; pass++) {
        openDueOccurrencesOfPool(tables, 0);
    }
    const reads = counted.reduce((sum, schedule) => sum + schedule.reads(), 0);
    assert.ok(reads <= 10 * JOBS * passes, `${reads} evaluations of schedules in ${passes} passes`);
});

// After a year without a store, or with a first occurrence in the past.
test("occurrences that are all due are opened up to a number of waiting tasks, some of each job", () => {
    const schedule = { occurrences: MAX_TASKS, firstRunMs: 0, intervalMs: MINUTE_MS };
    const tables = createPool({
        executors: [record("a")],
        jobs: Array.from({ length: JOBS }, (unused, index) => ({ id: `j${index}`, steps: [step()], schedule })),
    });
    openDueOccurrencesOfPool(tables, YEAR_MS);
    assert.ok(waitingTasks(tables) <= MAX_WAITING_SCHEDULED_TASKS + JOBS);
    assert.ok(waitingTasks(tables) > MAX_WAITING_SCHEDULED_TASKS / 2);
    const open = [...tables.jobs.values()].map(({ occurrences }) => occurrences.size);
    assert.ok(Math.min(...open) > 0 && Math.max(...open) - Math.min(...open) <= 1, open.join());
    const before = waitingTasks(tables);
    openDueOccurrencesOfPool(tables, YEAR_MS);
    assert.equal(waitingTasks(tables), before, "a further pass opens more though nothing has started");
});

test("each task of occurrences that were all due runs once, and completed occurrences are kept as ranges", () => {
    const occurrences = 300;
    const schedule = { occurrences, firstRunMs: 0, intervalMs: 0 };
    const tables = createPool({
        executors: [record("a", { capacity: { cpu: 16_000, memoryMb: 16_000, gpu: 0 } })],
        jobs: [{ id: "j1", steps: [step(), step({ after: [0] })], schedule }],
    });
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    const started: string[] = [];
    let nextEnd = 1;
    while (job.state !== "completed" && started.length <= 2 * occurrences) {
        openDueOccurrencesOfPool(tables, 1);
        const placed = place(tables, 200);
        assert.ok(placed.length > 0, "nothing starts");
        started.push(...placed.map(({ task }) => task.id));
        nextEnd = endAllRuns(tables, "a", nextEnd);
    }
    assert.equal(job.state, "completed");
    assert.equal(started.length, 2 * occurrences);
    assert.equal(new Set(started).size, 2 * occurrences);
    assert.deepEqual(job.completedOccurrences, [[0, occurrences - 1]]);
    assert.equal(job.occurrences.size, 0);
});

/** A job of three occurrences that are due, of which the second one has ended, and its tables. */
const withCompletedOccurrence = (): { readonly tables: PoolTables; readonly job: OpenJob } => {
    const schedule = { occurrences: 3, firstRunMs: 0, intervalMs: 0 };
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()], schedule }] });
    const job = tables.jobs.get("j1" as never);
    assert.ok(job !== undefined);
    openDueOccurrencesOfPool(tables, 1);
    const end = { number: 1, task: "j1.1.0.0" as TaskId, run: RUN, how: "done", checkpoint: "" } as const;
    receiveReport(tables, "a", { ended: [end] });
    return { tables, job };
};

test("a completed occurrence is not opened again by a pass, by a report or after a takeover", () => {
    const { tables, job } = withCompletedOccurrence();
    openDueOccurrencesOfPool(tables, 1);
    receiveReport(tables, "a", { active: [activeRun("j1.1.0.0")] });
    assert.equal(executorOf(tables, "a").orphanedRuns.length, 1, "the run is not stopped");
    assert.deepEqual([...job.occurrences.keys()], [0, 2]);
    const progress = decodeProgress(encodeProgress(progressOf(job)));
    const successor = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step()], schedule: job.job.schedule as Schedule, progress }],
    });
    openDueOccurrencesOfPool(successor, 1);
    assert.deepEqual([...(successor.jobs.get("j1" as never)?.occurrences.keys() ?? [])], [0, 2]);
});

test("a completed occurrence of which an earlier version has stored the tasks is closed when it is read", () => {
    const progress = {
        state: "running" as const,
        steps: [{ occurrence: 0, step: 0, done: [0], failures: [], checkpoints: [] }],
    };
    const schedule = { occurrences: 2, firstRunMs: 0, intervalMs: 0 };
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step()], schedule, progress }] });
    const job = tables.jobs.get("j1" as never);
    assert.deepEqual(job?.completedOccurrences, [[0, 0]]);
    assert.deepEqual([...(job?.occurrences.keys() ?? [])], [1]);
});
