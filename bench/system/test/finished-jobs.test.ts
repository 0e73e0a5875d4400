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

const TIMEOUT_MS = 20_000;
const JOBS = 30;
const TASKS = 2;
// The dispatcher shares the tables of this many groups among its pools.
const TABLE_GROUPS = 40;

const storedJobs = ({ store }: JobDeployment): readonly string[] =>
    Array.from({ length: TABLE_GROUPS }, (unused, group) => store.rows(`jobs-${group}`))
        .flat()
        .map(({ key }) => key);

// A successor read the rows of all jobs ever, which took a VM on a narrow link longer than its pool could wait.
test("the rows of finished jobs are removed, and neither a repeated submission nor a successor runs them again", async context => {
    const deployment = await startJobDeployment({ dispatchers: 2, executors: 2, runMs: () => 50 });
    context.after(deployment.close);
    const [entry] = deployment.dispatchers;
    assert.ok(entry !== undefined);
    const ids = Array.from({ length: JOBS }, (unused, number) => jobId(number + 1));
    const submit = async (id: string): Promise<void> =>
        assert.equal((await sendJobRequest(entry, "POST", id, jobOfTasks(TASKS))).status, 200);
    const assertEachRanOnce = (): void =>
        ids.forEach(id => assert.equal(startedTasks(deployment, id).length, TASKS, `starts of ${id}`));

    await Promise.all(ids.map(submit));
    await Promise.all(ids.map(id => waitForState(entry, id, "completed", TIMEOUT_MS)));
    await waitUntil("the rows to be removed", TIMEOUT_MS, () => storedJobs(deployment).length === 0);

    await Promise.all(ids.map(submit));
    const killed = findScheduler(deployment);
    const remaining = deployment.dispatchers.find(dispatcher => dispatcher !== killed);
    assert.ok(killed !== undefined && remaining !== undefined);
    killed.process.kill("SIGKILL");
    const later = jobId(JOBS + 1);
    await waitUntil(
        "a later job to be accepted",
        TIMEOUT_MS,
        async () => (await sendJobRequest(remaining, "POST", later, jobOfTasks(TASKS))).status === 200,
    );
    await waitForState(remaining, later, "completed", TIMEOUT_MS);
    await Promise.all(ids.map(id => waitForState(remaining, id, "completed", TIMEOUT_MS)));
    assertEachRanOnce();
});
