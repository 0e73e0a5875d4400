import assert from "node:assert/strict";
import test from "node:test";
import {
    findScheduler,
    jobId,
    jobOfTasks,
    sendJobRequest,
    startJobDeployment,
    startedTasks,
    waitForState,
    waitUntil,
    type JobDeployment,
} from "@almondusher/system-bench/job-deployment";

const START_TIMEOUT_MS = 15_000;
// An end counts as acknowledged in time within the 4 s in which calls to change a job must take effect.
const ACKNOWLEDGEMENT_LIMIT_MS = 4000;
// More than an executor lists in one report.
const TASKS = 700;
const RUN_MS = 3500;
const JOB = { spec: "text", steps: [{ count: TASKS, cpu: 5, mem_mb: 5, est_duration_ms: RUN_MS }] };

const startAllTasks = async (deployment: JobDeployment): Promise<void> => {
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    assert.equal((await sendJobRequest(entry, "POST", jobId(1), JOB)).status, 200);
    await waitUntil("all tasks to start", START_TIMEOUT_MS, () => startedTasks(deployment, jobId(1)).length === TASKS);
};

const KILL_BEFORE_FIRST_END_MS = 200;

const firstStartMs = ({ executors }: JobDeployment): number =>
    Math.min(...executors.flatMap(({ started }) => started).map(({ startedAtMs }) => startedAtMs));

const sleepUntil = (atMs: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, Math.max(0, atMs - performance.now())));

const countRunsDone = ({ executors }: JobDeployment): number =>
    executors.flatMap(({ started }) => started).filter(({ how }) => how === "done").length;

// An executor lists 500 of its run ends at a time. Tasks whose ends come later in the list were taken for tasks without a
// run, and started again by the next holder of the pool's lease.
test("a successor starts no task again whose end the executor has not listed yet", async context => {
    const deployment = await startJobDeployment({ dispatchers: 2, executors: 1, runMs: () => RUN_MS });
    context.after(deployment.close);
    await startAllTasks(deployment);
    const scheduler = findScheduler(deployment);
    const successor = deployment.dispatchers.find(dispatcher => dispatcher !== scheduler);
    assert.ok(scheduler !== undefined && successor !== undefined);
    // Nearly all tasks end between the kill and the takeover, and none of their ends is read before it.
    await sleepUntil(firstStartMs(deployment) + RUN_MS - KILL_BEFORE_FIRST_END_MS);
    scheduler.process.kill("SIGKILL");
    await waitForState(successor, jobId(1), "completed", START_TIMEOUT_MS);
    assert.equal(countRunsDone(deployment), TASKS);
    assert.equal(startedTasks(deployment, jobId(1)).length, TASKS, "tasks were started again after they had ended");
});

// While the store is down no end is acknowledged, so the executor lists the same 500 ends again and again.
test("a scheduler that cannot store run ends starts no task again whose end the executor has not listed yet", async context => {
    const deployment = await startJobDeployment({ dispatchers: 1, executors: 1, runMs: () => RUN_MS });
    context.after(deployment.close);
    await startAllTasks(deployment);
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    deployment.store.setFault({ kind: "busy" });
    await waitUntil("all tasks to end", START_TIMEOUT_MS, () => countRunsDone(deployment) === TASKS);
    // Several reports of the executor.
    await sleepUntil(performance.now() + 1000);
    deployment.store.setFault({ kind: "none" });
    await waitForState(entry, jobId(1), "completed", START_TIMEOUT_MS);
    assert.equal(startedTasks(deployment, jobId(1)).length, TASKS, "tasks were started again after they had ended");
});

// An executor keeps its ends until they are acknowledged, and a successor reads them all again.
test("the ends of a job's last runs are acknowledged as soon as they are stored", async context => {
    const deployment = await startJobDeployment({ dispatchers: 1, executors: 2, runMs: () => 150 });
    context.after(deployment.close);
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    assert.equal((await sendJobRequest(entry, "POST", jobId(1), jobOfTasks(6))).status, 200);
    await waitForState(entry, jobId(1), "completed", START_TIMEOUT_MS);
    await waitUntil("all ends to be acknowledged", ACKNOWLEDGEMENT_LIMIT_MS, () =>
        deployment.executors.every(executor => executor.unacknowledgedEnds() === 0),
    );
});
