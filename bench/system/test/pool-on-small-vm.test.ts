import assert from "node:assert/strict";
import test from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { startTcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import {
    findScheduler,
    jobId,
    sendJobRequest,
    startJobDeployment,
    waitUntil,
    type DispatcherCapacity,
} from "@almondusher/system-bench/job-deployment";

const SMALL: DispatcherCapacity = { processorShare: 0.3, linkMbps: 2 };
const BYTES_PER_SECOND = (SMALL.linkMbps * 1_000_000) / 8;
const JOBS = 1000;
const TASKS_PER_JOB = 1;
const SPEC_BYTES = 4000;
const SUBMITTED_AT_ONCE = 50;
const EXECUTORS = 10;
// Longer than the test.
const BLOCKED_RUN_MS = 120_000;
const SHORT_RUN_MS = 100;
const START_TIMEOUT_MS = 20_000;
const POWER_OFF_MS = 3000;
const EXPECTED_STARTS = 200;
// Work that is accepted by the end of the traffic may have nothing running until 14 s after it, but not for 3 s by then.
const MAX_TIME_TO_STARTS_MS = 11_000;

// The small VM took the pool, read its jobs for 9 s and kept it for 18.8 s, while nothing or little was started.
test("a pool that a small VM cannot read in time is not kept from a large VM that is back", async context => {
    let runMs = BLOCKED_RUN_MS;
    const deployment = await startJobDeployment({ dispatchers: 0, executors: EXECUTORS, runMs: () => runMs });
    context.after(deployment.close);
    const relay = await startTcpRelay({ target: deployment.store.address, bytesPerSecond: BYTES_PER_SECOND });
    context.after(relay.close);
    const startCount = (): number => deployment.executors.reduce((sum, { started }) => sum + started.length, 0);
    const large = await deployment.startDispatcher("large-0");
    const small = await deployment.startDispatcher("small-0", relay.address, SMALL);
    await waitUntil("the large VM to hold the pool", START_TIMEOUT_MS, () => findScheduler(deployment) === large);

    const job = {
        spec: "x".repeat(SPEC_BYTES),
        steps: [{ count: TASKS_PER_JOB, cpu: 1000, mem_mb: 100, est_duration_ms: 150 }],
    };
    const numbers = Array.from({ length: JOBS }, (unused, index) => index + 1);
    while (numbers.length > 0) {
        const responses = await Promise.all(
            numbers.splice(0, SUBMITTED_AT_ONCE).map(number => sendJobRequest(large, "POST", jobId(number), job)),
        );
        assert.deepEqual(
            responses.map(({ status }) => status),
            responses.map(() => 200),
        );
    }

    large.process.kill("SIGKILL");
    runMs = SHORT_RUN_MS;
    deployment.executors.forEach(executor => executor.restart());
    await waitUntil("the small VM to hold the pool", START_TIMEOUT_MS, () => findScheduler(deployment) === small);
    await sleep(POWER_OFF_MS);
    const before = startCount();
    const back = await deployment.startDispatcher("large-1");
    const backAtMs = performance.now();
    await waitUntil(`${EXPECTED_STARTS} starts`, 4 * START_TIMEOUT_MS, () => startCount() - before >= EXPECTED_STARTS);
    const tookMs = Math.round(performance.now() - backAtMs);
    context.diagnostic(`${EXPECTED_STARTS} starts ${tookMs} ms after the return of a large VM, ${before} before it`);
    assert.equal(findScheduler(deployment), back);
    assert.ok(tookMs <= MAX_TIME_TO_STARTS_MS, `${EXPECTED_STARTS} starts only after ${tookMs} ms`);
});
