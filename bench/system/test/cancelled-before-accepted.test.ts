import assert from "node:assert/strict";
import test from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
    findScheduler,
    jobId,
    jobOfTasks,
    sendJobRequest,
    startJobDeployment,
    startedTasks,
    waitForState,
    waitUntil,
} from "@almondusher/system-bench/job-deployment";

const START_TIMEOUT_MS = 15_000;
const FREEZE_MS = 4000;
const CLIENT_DEADLINE_MS = 3000;
// Covers the submission by the process that wakes up, and the starts that would follow.
const WATCH_MS = 4000;

// The process that woke up stored the job of the client that had left, and its tasks ran seconds after the cancel was answered.
test("a job whose cancel was answered while its entry stood still never runs", async context => {
    const deployment = await startJobDeployment({ dispatchers: 3, executors: 2, runMs: () => 100 });
    context.after(deployment.close);
    await waitUntil("a scheduler", START_TIMEOUT_MS, () => findScheduler(deployment) !== undefined);
    const scheduler = findScheduler(deployment);
    const [entry, other] = deployment.dispatchers.filter(dispatcher => dispatcher !== scheduler);
    assert.ok(entry !== undefined && other !== undefined);
    const frozenAtMs = performance.now();
    entry.process.kill("SIGSTOP");
    const submission = sendJobRequest(entry, "POST", jobId(1), jobOfTasks(2)).then(
        ({ status }) => status,
        () => undefined,
    );
    await sleep(CLIENT_DEADLINE_MS);
    assert.equal((await sendJobRequest(other, "DELETE", jobId(1))).status, 410);
    await sleep(Math.max(0, frozenAtMs + FREEZE_MS - performance.now()));
    entry.process.kill("SIGCONT");
    assert.equal(await submission, 503, "the job was not accepted and never runs");
    await sleep(WATCH_MS);
    assert.deepEqual(startedTasks(deployment, jobId(1)), []);
    assert.equal((await sendJobRequest(other, "GET", jobId(1))).status, 410);
    assert.equal((await sendJobRequest(entry, "POST", jobId(2), jobOfTasks(2))).status, 200, "another job");
    await waitForState(other, jobId(2), "completed", START_TIMEOUT_MS);
});
