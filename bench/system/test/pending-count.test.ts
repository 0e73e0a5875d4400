import assert from "node:assert/strict";
import test from "node:test";
import {
    findScheduler,
    jobId,
    jobOfTasks,
    sendJobRequest,
    startJobDeployment,
    waitUntil,
} from "@almondusher/system-bench/job-deployment";

const START_TIMEOUT_MS = 15_000;
// Longer than the longest wait of a request for changes, so that each one that is answered was sent before.
const LONGEST_POLL_MS = 2500;
// Clients may get a count of up to this age.
const MAX_COUNT_AGE_MS = 2000;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

test("a scheduler that renews its lease but reads no new jobs does not hide the pending ones", async context => {
    const deployment = await startJobDeployment({ dispatchers: 2, executors: 1, runMs: () => 60_000 });
    context.after(deployment.close);
    await waitUntil("a scheduler", START_TIMEOUT_MS, () => findScheduler(deployment) !== undefined);
    const pendingAtAll = async (): Promise<readonly (number | undefined)[]> =>
        (await Promise.all(deployment.dispatchers.map(dispatcher => sendJobRequest(dispatcher, "GET", "")))).map(
            ({ body }) => body.pending,
        );
    assert.deepEqual(await pendingAtAll(), [0, 0]);
    deployment.store.setFault({ kind: "silent-long-polls" });
    await sleep(LONGEST_POLL_MS);
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    const answers = await Promise.all(
        Array.from({ length: 10 }, (unused, index) => sendJobRequest(entry, "POST", jobId(index), jobOfTasks(1))),
    );
    assert.deepEqual([...new Set(answers.map(({ status }) => status))], [200]);
    await sleep(MAX_COUNT_AGE_MS);
    assert.deepEqual(await pendingAtAll(), [10, 10]);
});
