import assert from "node:assert/strict";
import test from "node:test";
import { startExecutorStandIn } from "@almondusher/job-platform-stand-in/executor";
import {
    findScheduler,
    hasEnded,
    jobId,
    jobOfTasks,
    JOB_POOL,
    sendJobRequest,
    startJobDeployment,
    startedTasks,
    waitForState,
    waitUntil,
    type JobDeployment,
} from "@almondusher/system-bench/job-deployment";

const START_TIMEOUT_MS = 15_000;
const JOB_TIMEOUT_MS = 8000;
// Covers several polls of the registered executors.
const REGISTRY_POLLS_MS = 1000;

const nested = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);

const entry = (fields: object): string =>
    JSON.stringify({
        service: JOB_POOL,
        address: "127.0.0.1:1",
        zone: "dc-1",
        state: "ready",
        capacity: { cpu: 4000, mem_mb: 8000 },
        labels: ["a", "r1-1"],
        born: 1,
        ...fields,
    });

/** Rows that another writer could leave among those of the executors. */
const ODD_ENTRIES: readonly string[] = [
    entry({ address: "127.0.0.1:99999" }),
    entry({ address: "999.1.1.1:80" }),
    entry({ address: "127.0.0.1:-1" }),
    entry({ labels: "#" }).replace('"#"', nested(10_000)),
    entry({ capacity: "#" }).replace('"#"', nested(10_000)),
    nested(30_000),
    nested(100_000),
    entry({ labels: "#" }).replace('"#"', nested(100_000)),
    entry({ capacity: { cpu: "#", mem_mb: 8000 } }).replace('"#"', "1e400"),
    entry({ born: "#" }).replace('"#"', "123456789012345678901234567890"),
    entry({ born: -1.5 }),
    entry({ service: "" }),
    entry({ state: "resting" }),
    `${entry({}).slice(0, -1)},"address":"127.0.0.1:99999"}`,
    entry({}).slice(0, 40),
    "",
    "\u0000\uFFFD",
    "null",
];

const putOddEntries = ({ store }: JobDeployment): void =>
    ODD_ENTRIES.forEach((text, index) => store.putText("servers", `odd-${index}`, text));

const assertNoneEnded = ({ dispatchers }: JobDeployment): void =>
    assert.deepEqual(
        dispatchers.filter(hasEnded).map(({ vm }) => vm),
        [],
    );

test("odd entries among those of the executors end no process, and the list is followed on", async context => {
    const deployment = await startJobDeployment({ dispatchers: 2, executors: 1, runMs: () => 150 });
    context.after(deployment.close);
    await waitUntil("a scheduler", START_TIMEOUT_MS, () => findScheduler(deployment) !== undefined);
    const [dispatcher] = deployment.dispatchers;
    assert.ok(dispatcher !== undefined);
    await sendJobRequest(dispatcher, "POST", jobId(1), jobOfTasks(8));
    putOddEntries(deployment);
    await waitForState(dispatcher, jobId(1), "completed", JOB_TIMEOUT_MS);
    await new Promise(resolve => setTimeout(resolve, REGISTRY_POLLS_MS));
    const added = await startExecutorStandIn({
        store: deployment.store,
        id: "i-added",
        service: JOB_POOL,
        runMs: () => 150,
    });
    context.after(added.close);
    await sendJobRequest(dispatcher, "POST", jobId(2), jobOfTasks(12));
    await waitForState(dispatcher, jobId(2), "completed", JOB_TIMEOUT_MS);
    assert.ok(added.started.length > 0, "the executor that came after the odd entries got no task");
    const logged = findScheduler(deployment)?.log.filter(({ event }) => event === "executor-unreadable") ?? [];
    assert.equal(new Set(logged.map(({ executor }) => executor)).size, ODD_ENTRIES.length);
    assertNoneEnded(deployment);
});

test("a process that starts with odd entries in the list serves jobs", async context => {
    const deployment = await startJobDeployment({ dispatchers: 1, executors: 1, runMs: () => 150 });
    context.after(deployment.close);
    putOddEntries(deployment);
    const [first] = deployment.dispatchers;
    assert.ok(first !== undefined);
    first.process.kill("SIGKILL");
    await first.ended;
    const second = await deployment.startDispatcher("entry-9");
    await sendJobRequest(second, "POST", jobId(1), jobOfTasks(4));
    await waitForState(second, jobId(1), "completed", START_TIMEOUT_MS);
    assert.equal(startedTasks(deployment, jobId(1)).length, 4);
    assert.ok(!hasEnded(second));
});

test("a job with a huge number of tasks is rejected and ends no process", async context => {
    const deployment = await startJobDeployment({ dispatchers: 1, executors: 1, runMs: () => 150 });
    context.after(deployment.close);
    await waitUntil("a scheduler", START_TIMEOUT_MS, () => findScheduler(deployment) !== undefined);
    const [dispatcher] = deployment.dispatchers;
    assert.ok(dispatcher !== undefined);
    assert.equal((await sendJobRequest(dispatcher, "POST", jobId(1), jobOfTasks(1_000_000_000))).status, 400);
    await sendJobRequest(dispatcher, "POST", jobId(2), jobOfTasks(2));
    await waitForState(dispatcher, jobId(2), "completed", JOB_TIMEOUT_MS);
    assertNoneEnded(deployment);
});

test("an unreadable wave or configuration stops neither the pool nor the operator's table", async context => {
    const deployment = await startJobDeployment({ dispatchers: 1, executors: 1, runMs: () => 150 });
    context.after(deployment.close);
    const [dispatcher] = deployment.dispatchers;
    assert.ok(dispatcher !== undefined);
    deployment.store.putText("op", "wave/1", nested(30_000));
    deployment.store.putText("op", "config", '{"version":1e400}');
    await sendJobRequest(dispatcher, "POST", jobId(1), jobOfTasks(2));
    await waitForState(dispatcher, jobId(1), "completed", START_TIMEOUT_MS);
    assert.ok(dispatcher.log.some(({ event }) => event === "wave-unreadable"));
    assert.ok(dispatcher.log.some(({ event }) => event === "configuration-unreadable"));
    assertNoneEnded(deployment);
});

// More steps than the call stack had room for, in a body below the limit of the configuration.
const CHAIN_LENGTH = 6000;

test("a job whose steps form a long chain does not keep other jobs of its pool from being started", async context => {
    const deployment = await startJobDeployment({ dispatchers: 1, executors: 1, runMs: () => 150 });
    context.after(deployment.close);
    await waitUntil("a scheduler", START_TIMEOUT_MS, () => findScheduler(deployment) !== undefined);
    const [dispatcher] = deployment.dispatchers;
    assert.ok(dispatcher !== undefined);
    const steps = Array.from({ length: CHAIN_LENGTH }, (unused, index) => ({
        count: 1,
        after: index === 0 ? [] : [index - 1],
    }));
    const { status } = await sendJobRequest(dispatcher, "POST", jobId(1), { spec: "chain", steps });
    assert.equal(status, 200);
    await sendJobRequest(dispatcher, "POST", jobId(2), jobOfTasks(2));
    await waitForState(dispatcher, jobId(2), "completed", JOB_TIMEOUT_MS);
    assertNoneEnded(deployment);
});
