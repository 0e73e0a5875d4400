import assert from "node:assert/strict";
import test from "node:test";
import {
    jobId,
    jobOfTasks,
    sendJobRequest,
    startJobDeployment,
    startedTasks,
    waitForState,
    waitUntil,
    type JobDeployment,
} from "@almondusher/system-bench/job-deployment";

const JOB_TIMEOUT_MS = 15_000;
// Work that can start must not be without a run for longer.
const START_LIMIT_MS = 3000;
// Covers several polls of the registered executors.
const REGISTRY_POLLS_MS = 1000;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const runJob = async ({ dispatchers: [entry] }: JobDeployment, job: string): Promise<void> => {
    assert.ok(entry !== undefined);
    assert.equal((await sendJobRequest(entry, "POST", job, jobOfTasks(4))).status, 200);
    await waitForState(entry, job, "completed", JOB_TIMEOUT_MS);
};

const assertStartsInTime = async (deployment: JobDeployment, job: string): Promise<void> => {
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    assert.equal((await sendJobRequest(entry, "POST", job, jobOfTasks(4))).status, 200);
    await waitUntil(
        "the tasks to start on the restarted executors",
        START_LIMIT_MS,
        () => startedTasks(deployment, job).length === 4,
    );
    await waitForState(entry, job, "completed", JOB_TIMEOUT_MS);
};

// The scheduler asks an idle executor once a minute. An executor that restarts gets no work before it has been asked, so
// the wait must end when the registry shows the restart.
test("idle executors that restart under their ids get work again at once", async context => {
    const deployment = await startJobDeployment({ dispatchers: 2, executors: 2, runMs: () => 150 });
    context.after(deployment.close);
    await runJob(deployment, jobId(1));
    deployment.executors.forEach(executor => executor.restart());
    await sleep(REGISTRY_POLLS_MS);
    await assertStartsInTime(deployment, jobId(2));
});

// Tasks fail on the executor until it restarts: the pause that follows their failures belongs to the process that ended.
test("an executor on which tasks failed in a row gets work at once after it has restarted", async context => {
    const deployment = await startJobDeployment({ dispatchers: 1, executors: 1, runMs: () => 150 });
    context.after(deployment.close);
    const [entry] = deployment.dispatchers;
    const [executor] = deployment.executors;
    assert.ok(entry !== undefined && executor !== undefined);
    executor.setFault({ kind: "fails" });
    await sendJobRequest(entry, "POST", jobId(1), jobOfTasks(4));
    await waitForState(entry, jobId(1), "failed", JOB_TIMEOUT_MS);
    executor.setFault({ kind: "none" });
    executor.restart();
    await sleep(REGISTRY_POLLS_MS);
    await assertStartsInTime(deployment, jobId(2));
});
