import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { startExecutorStandIn, type ExecutorStandIn } from "@almondusher/job-platform-stand-in/executor";
import { startStoreStandIn } from "@almondusher/job-platform-stand-in/store";
import { JOB_POOL, jobId } from "@almondusher/system-bench/job-deployment";
import { plainJob, type SoakJob } from "@almondusher/system-bench/soak-job";
import { watchProgress } from "@almondusher/system-bench/watch-progress";

// Covers the time for which an executor must be registered, and the wait that is allowed.
const STALL_MS = 7000;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Watches the jobs, which no dispatcher starts, on one executor with room for four tasks; returns the tasks that stalled. */
const watchWithoutDispatcher = async (
    context: TestContext,
    jobs: readonly SoakJob[],
    calmMs: () => number,
    prepare: (executor: ExecutorStandIn) => void,
): Promise<readonly string[]> => {
    const store = await startStoreStandIn();
    const executor = await startExecutorStandIn({ store, id: "i-0", service: JOB_POOL, runMs: () => 150 });
    context.after(async () => {
        await executor.close();
        await store.close();
    });
    prepare(executor);
    const sent = new Map(jobs.map((job, index) => [jobId(index), job]));
    const watch = watchProgress({
        deployment: { store, executors: [executor], dispatchers: [] },
        submission: { sent, accepted: new Set(sent.keys()) },
        faults: { calmMs },
    });
    await sleep(STALL_MS);
    return watch.stop().map(text => text.split(" ")[0] ?? "");
};

const always = (): number => Number.POSITIVE_INFINITY;

// Guards against a check that finds nothing: a step whose turn has not come and a gang without twice the room do not count.
test("tasks that wait for 3 s with twice the room they need are reported", async context => {
    const step = { count: 1, cpu: 1000, mem_mb: 100, est_duration_ms: 150 };
    const jobs = [
        { spec: "text", steps: [step, { ...step, after: [0] }] },
        { spec: "text", steps: [{ ...step, count: 3, gang: true }] },
        { spec: "text", steps: [{ ...step, count: 2, gang: true }] },
    ];
    assert.deepEqual(await watchWithoutDispatcher(context, jobs, always, () => undefined), [
        `${jobId(0)}.0.0.0`,
        `${jobId(2)}.0.0.0`,
        `${jobId(2)}.0.0.1`,
    ]);
});

test("tasks that wait on a draining executor or during a fault are not reported", async context => {
    const drain = (executor: ExecutorStandIn): void => void executor.drain(2 * STALL_MS, 0);
    assert.deepEqual(await watchWithoutDispatcher(context, [plainJob(1)], always, drain), []);
    assert.deepEqual(
        await watchWithoutDispatcher(
            context,
            [plainJob(1)],
            () => 0,
            () => undefined,
        ),
        [],
    );
});
