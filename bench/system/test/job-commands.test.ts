import assert from "node:assert/strict";
import test, { after, before } from "node:test";
import { freePorts } from "@almondusher/system-bench/free-ports";
import { createJobCli, QUEUE_NAME, type JobCli, type JobCliResult } from "@almondusher/system-bench/job-cli";
import { startJobDeployment, waitUntil, type JobDeployment } from "@almondusher/system-bench/job-deployment";

const COMPLETED_TIMEOUT_MS = 15_000;
// Longer than the test, so that only a cancellation can end the job.
const LONG_RUN_MS = 60_000;
const LONG_JOB = "00000000000000aa";
const INVALID_INPUT = 2;
const UNAVAILABLE = 4;

let deployment: JobDeployment;
let cli: JobCli;
/** Address at which nothing listens. */
let unusedAddress = "";

const codeOf = ({ output }: JobCliResult): unknown => (output["error"] as { readonly code?: string } | undefined)?.code;

before(async () => {
    const runMs = (task: string): number => (task.startsWith(LONG_JOB) ? LONG_RUN_MS : 150);
    deployment = await startJobDeployment({ dispatchers: 2, executors: 2, runMs });
    const [port = 0] = await freePorts(1);
    unusedAddress = `127.0.0.1:${port}`;
    // The first address refuses connections, so that every call has to fail over to the next entry.
    cli = createJobCli([unusedAddress, ...deployment.dispatchers.map(({ address }) => address)]);
});

after(async () => {
    await deployment.close();
    cli.remove();
});

const write = (name: string, content: object): string => cli.write(name, JSON.stringify(content));

const oneTask = { spec: "text", steps: [{ count: 1, cpu: 1000, mem_mb: 100, est_duration_ms: 150 }] };

test("a job submitted with failover past an unreachable entry completes, and explain finds its history in the logs", async () => {
    const submitted = await cli.run(["submit", QUEUE_NAME, write("job.json", oneTask)]);
    const job = String(submitted.output["job"]);
    assert.equal(submitted.exitCode, 0);
    await waitUntil("the job to complete", COMPLETED_TIMEOUT_MS, async () => {
        const { output } = await cli.run(["show", QUEUE_NAME, job]);
        return output["state"] === "completed";
    });
    const { output } = await cli.run(["explain", job, ...cli.writeLogs(deployment.dispatchers)]);
    const findings = output["findings"] as readonly string[];
    assert.equal(output["state"], "completed");
    assert.ok(findings.some(line => line.startsWith("accepted by entry-")));
    assert.ok(findings.some(line => line.startsWith("first start ")));
});

test("a cancelled job is shown as cancelled and no longer counts as pending", async () => {
    await cli.run(["submit", QUEUE_NAME, write("long.json", oneTask), "--id", LONG_JOB]);
    const cancelled = await cli.run(["cancel", QUEUE_NAME, LONG_JOB]);
    assert.equal(cancelled.exitCode, 0);
    const { output } = await cli.run(["show", QUEUE_NAME, LONG_JOB]);
    assert.equal(output["state"], "cancelled");
    await waitUntil("the queue to be empty", COMPLETED_TIMEOUT_MS, async () => {
        const listed = (await cli.run(["list"])).output["queues"] as readonly { readonly pending?: number }[];
        return listed[0]?.pending === 0;
    });
});

test("an unknown job, a malformed id, an invalid job and an unknown queue give an error code and exit code 2", async () => {
    const wrong = [
        ["show", QUEUE_NAME, "00000000000000ff"],
        ["show", QUEUE_NAME, "xyz"],
        ["submit", QUEUE_NAME, write("empty.json", {})],
        ["show", "other", LONG_JOB],
    ];
    const results = await Promise.all(wrong.map(args => cli.run(args)));
    assert.deepEqual(results.map(codeOf), ["not-found", "invalid-job", "invalid-job", "not-found"]);
    results.forEach(({ exitCode }) => assert.equal(exitCode, INVALID_INPUT));
});

test("with no reachable entry a submission reports an unknown outcome and a query reports not-accepted", async () => {
    const submitted = await cli.run(["submit", QUEUE_NAME, write("lost.json", oneTask)], [unusedAddress]);
    assert.equal(codeOf(submitted), "unknown-outcome");
    const shown = await cli.run(["show", QUEUE_NAME, LONG_JOB], [unusedAddress]);
    assert.deepEqual([codeOf(shown), shown.exitCode], ["not-accepted", UNAVAILABLE]);
});
