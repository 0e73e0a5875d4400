import assert from "node:assert/strict";
import { test } from "node:test";
import { hasCode } from "@almondusher/fleet/fleet-error";
import { toId } from "@almondusher/fleet/ids";
import type { JobId, QueueName } from "@almondusher/jobs/ids";
import { countTasks, MAX_TASKS, type Job } from "@almondusher/jobs/job";
import type { Progress } from "@almondusher/jobs/progress";
import { decodeJob, decodeProgress, encodeJob, encodeProgress } from "@almondusher/jobs/stored-rows";
import { decodeSubmission } from "@almondusher/platform-adapter/decode-submission";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { progressOf } from "@almondusher/scheduler/job-progress";
import { closeCompletedOccurrences, openDueOccurrences } from "@almondusher/scheduler/open-occurrences";
import { markTasksDone, openTask } from "@almondusher/scheduler/open-tasks";
import { stepsOf, type OpenJob, type Task } from "@almondusher/scheduler/pool-tables";
import fc from "fast-check";
import { encodeWrite } from "../src/jobs/progress-batches.js";
import { emptyTables, openAllTasks, POOL } from "./fixture.js";

// The size of a row that the platform's store takes.
const MAX_ROW_BYTES = 65_536;

const ID = toId<JobId>("0123456789abcdef");
const QUEUE = toId<QueueName>("queue-1");

/** A submitted job whose tasks are divided among steps and occurrences. */
interface Size {
    readonly tasks: number;
    readonly steps: number;
    readonly occurrences: number;
}

const submissionText = ({ tasks, steps, occurrences }: Size): string => {
    const perStep = Math.max(1, Math.floor(tasks / steps / occurrences));
    return JSON.stringify({
        spec: "a text",
        steps: Array.from({ length: steps }, () => ({ count: perStep, cpu: 1000, checkpointing: true })),
        first_run_ms: 1,
        interval_ms: 1,
        repeat_count: occurrences,
    });
};

const toJob = (size: Size): Job => ({
    id: ID,
    queue: QUEUE,
    pool: POOL,
    ...decodeSubmission(submissionText(size)),
    tenant: undefined,
    terms: undefined,
    acceptedAtMs: 0,
});

const admit = (job: Job, progress: Progress): OpenJob => {
    const tables = emptyTables();
    admitJob(
        tables,
        { job, progress, progressVersion: 1, arrivedAtMs: 0, readAtMs: 0, inherited: true },
        Number.MAX_SAFE_INTEGER,
    );
    const open = tables.jobs.get(ID);
    assert.ok(open !== undefined);
    openDueOccurrences(open, Number.MAX_SAFE_INTEGER, Infinity);
    return open;
};

const countRemaining = (open: OpenJob): number => stepsOf(open).reduce((sum, { remaining }) => sum + remaining, 0);

/** Marks a share of the tasks of each step as done, drawn at random. */
const markShareDone = (open: OpenJob, share: number, random: () => number): void =>
    stepsOf(open).forEach(step =>
        markTasksDone(
            step,
            Array.from({ length: step.step.count }, (unused, index) => index).filter(() => random() < share),
        ),
    );

/** Up to so many tasks that are not done. */
const takeNotDone = (open: OpenJob, count: number): readonly Task[] => {
    const tasks: Task[] = [];
    stepsOf(open).forEach(step => {
        for (let index = 0; index < step.step.count && tasks.length < count; index++) {
            const task = openTask(step, index);
            tasks.push(...(task === undefined || task.done ? [] : [task]));
        }
    });
    return tasks;
};

/** Numbers from 0 to 1 that depend on the seed alone. */
const createRandom = (seed: number): (() => number) => {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
};

const size: fc.Arbitrary<Size> = fc.record({
    tasks: fc.integer({ min: 1, max: MAX_TASKS }),
    steps: fc.integer({ min: 1, max: 150 }),
    occurrences: fc.oneof(fc.constant(1), fc.integer({ min: 1, max: 600 }), fc.integer({ min: 1, max: MAX_TASKS })),
});

const reloadAndCompare = (job: Job, open: OpenJob): void => {
    closeCompletedOccurrences(open, [...open.occurrences.keys()]);
    const { value } = encodeWrite(open, { withCheckpoints: true });
    const bytes = Buffer.byteLength(value);
    assert.ok(bytes <= MAX_ROW_BYTES, `a row of ${bytes} bytes`);
    const reloaded = admit(decodeJob(encodeJob(job)), decodeProgress(value));
    assert.equal(countRemaining(reloaded), countRemaining(open));
    assert.deepEqual(progressOf(reloaded), progressOf(open));
};

test("the progress of a job of any accepted size fits its row and is unchanged after a reload", () => {
    fc.assert(
        fc.property(
            size.filter(({ steps, occurrences }) => steps * occurrences <= MAX_TASKS),
            fc.double({ min: 0, max: 1, noNaN: true }),
            fc.nat(),
            (jobSize, share, seed) => {
                const job = toJob(jobSize);
                assert.ok(countTasks(job.steps, job.schedule) <= MAX_TASKS);
                const open = admit(job, { state: "running", steps: [] });
                const random = createRandom(seed);
                markShareDone(open, share, random);
                const notDone = takeNotDone(open, 1000);
                notDone.forEach(task => {
                    task.failures = 1;
                    task.failedRuns.add(2 ** 40 + Math.floor(random() * 65_536));
                });
                notDone.slice(0, 100).forEach(task => (task.checkpoint = `${random()}`));
                // Otherwise, the reloaded job is completed and has no steps to compare.
                if (notDone.length > 0) {
                    reloadAndCompare(job, open);
                }
            },
        ),
        { seed: 20_261_206, numRuns: 30 },
    );
});

test("the progress of a job of the most tasks fits its row at the least favourable share of done tasks", () => {
    [
        { tasks: MAX_TASKS, steps: 1, occurrences: 1 },
        { tasks: MAX_TASKS, steps: 1, occurrences: MAX_TASKS },
        { tasks: MAX_TASKS, steps: 100, occurrences: 1000 },
        { tasks: MAX_TASKS, steps: 2, occurrences: 50_000 },
    ].forEach(jobSize => {
        const job = toJob(jobSize);
        const open = admit(job, { state: "running", steps: [] });
        const random = createRandom(7);
        markShareDone(open, 0.5, random);
        reloadAndCompare(job, open);
    });
});

test("a job in a final state is stored without its tasks", () => {
    const open = admit(toJob({ tasks: 10, steps: 1, occurrences: 1 }), { state: "running", steps: [] });
    openAllTasks(open).forEach(task => (task.done = true));
    open.state = "completed";
    assert.equal(encodeWrite(open, { withCheckpoints: true }).value, encodeProgress({ state: "completed", steps: [] }));
});

test("a schedule whose interval is negative is rejected", () => {
    const submission = { spec: "", steps: [{ count: 1 }], first_run_ms: 1, interval_ms: -1, repeat_count: 2 };
    assert.throws(
        () => decodeSubmission(JSON.stringify(submission)),
        (error: unknown) => hasCode(error, "bad-message"),
    );
});
