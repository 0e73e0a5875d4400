import assert from "node:assert/strict";
import test from "node:test";
import type { TaskId } from "@almondusher/jobs/ids";
import { MAX_TASKS } from "@almondusher/jobs/job";
import { decodeProgress, encodeProgress } from "@almondusher/jobs/stored-rows";
import { progressOf } from "@almondusher/scheduler/job-progress";
import { FIRST_OPEN_TASKS, MAX_WAITING_TASKS, openWaitingTasks } from "@almondusher/scheduler/open-tasks";
import { isWaiting, stepsOf, type OpenJob, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { createPool, executorOf, place, receiveReport, record, step } from "./fixture.js";

const LARGE_EXECUTOR = record("a", { capacity: { cpu: 300_000, memoryMb: 300_000, gpu: 0 } });
const RUN = 65_537;

const jobOf = ({ jobs }: PoolTables, id = "j1"): OpenJob => {
    const job = jobs.get(id as never);
    assert.ok(job !== undefined);
    return job;
};

const openTasksOf = ({ jobs }: PoolTables): number =>
    [...jobs.values()].flatMap(stepsOf).reduce((sum, { tasks }) => sum + tasks.length, 0);

const endOf = (number: number, task: string, how: "done" | "failed" = "done") =>
    ({ number, task: task as TaskId, run: RUN, how, checkpoint: "" }) as const;

// The jobs of review/8, each task of which was an object: three of them ended each process that scheduled them.
test("the open tasks of a pool follow what may start, not what its jobs have", () => {
    const counts = [
        { jobs: 3, count: MAX_TASKS },
        { jobs: 60, count: 5000 },
        { jobs: 750, count: 400 },
    ];
    counts.forEach(({ jobs, count }) => {
        const tables = createPool({
            executors: [record("a")],
            jobs: Array.from({ length: jobs }, (unused, index) => ({
                id: `j${index}`,
                steps: [step({ count }), step({ count, after: [0] })],
            })),
        });
        openWaitingTasks(tables);
        const open = openTasksOf(tables);
        assert.ok(open <= MAX_WAITING_TASKS + 2 * jobs * FIRST_OPEN_TASKS, `${open} open tasks`);
        assert.ok(open > MAX_WAITING_TASKS / 2, `${open} open tasks`);
    });
});

test("a job accepted after large ones starts its tasks in the next pass", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [
            ...Array.from({ length: 3 }, (unused, index) => ({
                id: `large${index}`,
                steps: [step({ count: MAX_TASKS, demand: { cpu: 8000, memoryMb: 100, gpu: 0 } })],
            })),
            { id: "small", steps: [step({ count: 2 })] },
        ],
    });
    openWaitingTasks(tables);
    assert.deepEqual(
        place(tables).map(({ task }) => task.id),
        ["small.0.0.0", "small.0.0.1"],
    );
});

test("each task of a large step runs once, in the order of its index, and only its window is open", () => {
    const count = 1000;
    const tables = createPool({ executors: [LARGE_EXECUTOR], jobs: [{ id: "j1", steps: [step({ count })] }] });
    const job = jobOf(tables);
    const started: string[] = [];
    let ends = 0;
    while (job.state !== "completed" && started.length <= count) {
        openWaitingTasks(tables);
        const runs = place(tables, 200);
        assert.ok(runs.length > 0, "nothing starts");
        started.push(...runs.map(({ task }) => task.id));
        const ended = runs.map(({ task, number }) => ({ ...endOf(++ends, task.id), run: number }));
        receiveReport(tables, "a", { ended });
        assert.deepEqual(stepsOf(job)[0]?.doneTasks, [[0, started.length - 1]]);
    }
    assert.equal(job.state, "completed");
    assert.deepEqual(
        started,
        Array.from({ length: count }, (unused, index) => `j1.0.0.${index}`),
    );
});

test("the progress of a large step is the same after a takeover, and no task that is done starts again", () => {
    const count = 200;
    const jobs = [{ id: "j1", steps: [step({ count }), step({ after: [0] })] }];
    const tables = createPool({ executors: [LARGE_EXECUTOR], jobs });
    const done = [0, 1, 7, 150, 199];
    receiveReport(tables, "a", {
        ended: [
            ...done.map((index, position) => endOf(position + 1, `j1.0.0.${index}`)),
            endOf(done.length + 1, "j1.0.0.180", "failed"),
        ],
    });
    const progress = decodeProgress(encodeProgress(progressOf(jobOf(tables))));
    assert.deepEqual(progress.steps[0]?.done, done);
    assert.deepEqual(
        progress.steps[0]?.failures.map(({ index }) => index),
        [180],
    );
    const successor = createPool({ executors: [LARGE_EXECUTOR], jobs: jobs.map(job => ({ ...job, progress })) });
    assert.deepEqual(progressOf(jobOf(successor)), progressOf(jobOf(tables)));
    assert.equal(stepsOf(jobOf(successor))[0]?.remaining, count - done.length);
    openWaitingTasks(successor);
    const indexes = place(successor, 200).map(({ task }) => task.index);
    assert.equal(indexes.length, count - done.length);
    assert.deepEqual(
        indexes.filter(index => done.includes(index)),
        [],
    );
});

// Another writer may have stored the row.
test("a task that the stored progress lists twice as done counts once", () => {
    [3, 100].forEach(count => {
        const progress = {
            state: "running" as const,
            steps: [{ occurrence: 0, step: 0, done: [1, 1, count - 1, count - 1], failures: [], checkpoints: [] }],
        };
        const tables = createPool({
            executors: [record("a")],
            jobs: [{ id: "j1", steps: [step({ count })], progress }],
        });
        assert.equal(stepsOf(jobOf(tables))[0]?.remaining, count - 2);
    });
});

test("a run or an end of a task that is not open yet opens it, and one of a task that is done is stopped", () => {
    const tables = createPool({ executors: [LARGE_EXECUTOR], jobs: [{ id: "j1", steps: [step({ count: 100 })] }] });
    const active = (task: string) => ({
        task: task as TaskId,
        run: RUN,
        checkpoint: "",
        percent: 10,
        recentLoad: undefined,
    });
    receiveReport(tables, "a", { ended: [endOf(1, "j1.0.0.90")] });
    receiveReport(tables, "a", {
        active: [active("j1.0.0.80"), active("j1.0.0.90"), active("j1.0.0.100"), active("j1.0.0.x")],
    });
    assert.deepEqual(
        [...executorOf(tables, "a").runs.values()].map(({ task }) => task.index),
        [80],
    );
    assert.equal(executorOf(tables, "a").orphanedRuns.length, 3);
    // An executor gets no starts while it has an orphaned run.
    receiveReport(tables, "a", { active: [active("j1.0.0.80")] });
    openWaitingTasks(tables);
    const indexes = place(tables, 200).map(({ task }) => task.index);
    assert.equal(indexes.length, 98);
    assert.ok(!indexes.includes(80) && !indexes.includes(90));
});

test("a large gang and a large step of long-running tasks are opened as a whole", () => {
    const count = 200;
    const tables = createPool({
        executors: [LARGE_EXECUTOR],
        jobs: [
            { id: "gang", steps: [step({ count, gang: true })] },
            { id: "service", steps: [step({ count, longRunning: true })] },
        ],
    });
    assert.equal(stepsOf(jobOf(tables, "gang"))[0]?.tasks.filter(isWaiting).length, count);
    assert.equal(stepsOf(jobOf(tables, "service"))[0]?.tasks.length, count);
});
