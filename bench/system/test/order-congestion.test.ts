import assert from "node:assert/strict";
import { monitorEventLoopDelay } from "node:perf_hooks";
import test from "node:test";
import { createNarrowPath } from "@almondusher/job-platform-stand-in/narrow-path";
import {
    findScheduler,
    sendJobRequest,
    startJobDeployment,
    startedTasks,
    waitForState,
    waitUntil,
} from "@almondusher/system-bench/job-deployment";

const JOB = "1".padStart(16, "0");
const TASKS = 600;
const RUN_MS = 300;
const EXECUTORS = 40;
const REQUESTS_PER_SECOND = 250;
// The start of a task, the report of its end and the acknowledgement of the end.
const REQUESTS_PER_TASK = 3;
const NEEDED_MS = (TASKS * REQUESTS_PER_TASK * 1000) / REQUESTS_PER_SECOND;
const START_TIMEOUT_MS = 15_000;

test("a burst of tasks beyond the capacity of the path to the executors is started without timeouts and completed", async context => {
    const path = createNarrowPath(REQUESTS_PER_SECOND);
    let carried = 0;
    const deployment = await startJobDeployment({
        dispatchers: 1,
        executors: EXECUTORS,
        runMs: () => RUN_MS,
        path: {
            carry: () => {
                carried++;
                return path.carry();
            },
        },
    });
    context.after(deployment.close);
    await waitUntil("a holder of the pool's lease", START_TIMEOUT_MS, () => findScheduler(deployment) !== undefined);
    const [dispatcher] = deployment.dispatchers;
    assert.ok(dispatcher !== undefined);
    const body = {
        spec: "text",
        steps: [{ count: TASKS, cpu: 250, mem_mb: 100, est_duration_ms: RUN_MS }],
    };
    const executorDelays = monitorEventLoopDelay();
    executorDelays.enable();
    const carriedBefore = carried;
    const startedAtMs = performance.now();
    assert.equal((await sendJobRequest(dispatcher, "POST", JOB, body)).status, 200);
    await waitForState(dispatcher, JOB, "completed", 4 * NEEDED_MS);
    const tookMs = performance.now() - startedAtMs;
    executorDelays.disable();
    const delayMs = (percentile: number): number => Math.round(executorDelays.percentile(percentile) / 1e6);
    const count = (event: string): number => dispatcher.log.filter(line => line.event === event).length;
    context.diagnostic(
        `${Math.round(tookMs)} ms, ${startedTasks(deployment, JOB).length} starts, ` +
            `${count("start-not-accepted")} not accepted, ${count("run-stopping")} stops, ` +
            `${count("process-late")} seconds in which the dispatcher was late, ` +
            `${carried - carriedBefore} requests on the path, executors late by ${delayMs(99)} ms (p99), ${delayMs(100)} ms (max)`,
    );
    assert.ok(count("start-not-accepted") <= TASKS / 20, `${count("start-not-accepted")} starts were not accepted`);
    assert.ok(tookMs <= 1.5 * NEEDED_MS, `${Math.round(tookMs)} ms for ${TASKS} tasks`);
});
