import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { after, before } from "node:test";
import { programPath } from "@almondusher/system-bench/deployment";
import { freePorts } from "@almondusher/system-bench/free-ports";
import {
    JOB_HOST,
    JOB_PREFIX,
    startJobDeployment,
    waitUntil,
    type JobDeployment,
} from "@almondusher/system-bench/job-deployment";

const COMPLETED_MS = 15_000;
// Longer than the test, so that a cancellation is what ends the job.
const LONG_RUN_MS = 60_000;
const LONG_JOB = "00000000000000aa";
const INVALID_INPUT = 2;
const UNAVAILABLE = 4;

interface CliResult {
    readonly exitCode: number;
    readonly output: Readonly<Record<string, unknown>>;
}

let deployment: JobDeployment;
let directory = "";
let unusedPort = 0;

const runJobCli = (args: readonly string[], environment: NodeJS.ProcessEnv = {}): Promise<CliResult> =>
    new Promise(resolve => {
        const all = [programPath("cli", "almondusher.js"), "job", ...args, "--json"];
        const env = { ...process.env, ALMONDUSHER_JOB_SETTINGS: join(directory, "jobs.json"), ...environment };
        const child = execFile(process.execPath, all, { env }, (unusedError, stdout) =>
            resolve({ exitCode: child.exitCode ?? 0, output: JSON.parse(stdout) as CliResult["output"] }),
        );
    });

const write = (name: string, content: object): string => {
    const file = join(directory, name);
    writeFileSync(file, JSON.stringify(content));
    return file;
};

const codeOf = ({ output }: CliResult): unknown => (output["error"] as { readonly code?: string } | undefined)?.code;

before(async () => {
    directory = mkdtempSync(join(tmpdir(), "almondusher-job-commands-"));
    const runMs = (task: string): number => (task.startsWith(LONG_JOB) ? LONG_RUN_MS : 150);
    deployment = await startJobDeployment({ dispatchers: 2, executors: 2, runMs });
    [unusedPort = 0] = await freePorts(1);
    const queues = [{ name: "main", host: JOB_HOST, prefix: JOB_PREFIX }];
    const addresses = deployment.dispatchers.map(({ address }) => `http://${address}`);
    // The first entry is down, so that each call has to go on to the next one.
    write("jobs.json", { entries: [`http://127.0.0.1:${unusedPort}`, ...addresses], queues });
    write("down.json", { entries: [`http://127.0.0.1:${unusedPort}`], queues });
});

after(async () => {
    await deployment.close();
    rmSync(directory, { recursive: true, force: true });
});

const oneTask = { spec: "text", steps: [{ count: 1, cpu: 1000, mem_mb: 100, est_duration_ms: 150 }] };

test("a job that is submitted past an entry that is down completes, and its logs explain it", async () => {
    const submitted = await runJobCli(["submit", "main", write("job.json", oneTask)]);
    const job = String(submitted.output["job"]);
    assert.equal(submitted.exitCode, 0);
    await waitUntil("the job to complete", COMPLETED_MS, async () => {
        const { output } = await runJobCli(["show", "main", job]);
        return output["state"] === "completed";
    });
    const logs = deployment.dispatchers.map(({ vm, log }) => {
        const file = join(directory, `${vm}.log`);
        writeFileSync(file, log.map(line => JSON.stringify(line)).join("\n"));
        return file;
    });
    const { output } = await runJobCli(["explain", job, ...logs]);
    const findings = output["findings"] as readonly string[];
    assert.equal(output["state"], "completed");
    assert.ok(findings.some(line => line.startsWith("accepted by entry-")));
    assert.ok(findings.some(line => line.startsWith("first start ")));
});

test("a cancelled job is shown as cancelled, and a queue shows its pending jobs", async () => {
    await runJobCli(["submit", "main", write("long.json", oneTask), "--id", LONG_JOB]);
    const cancelled = await runJobCli(["cancel", "main", LONG_JOB]);
    assert.equal(cancelled.exitCode, 0);
    const { output } = await runJobCli(["show", "main", LONG_JOB]);
    assert.equal(output["state"], "cancelled");
    await waitUntil("the queue to be empty", COMPLETED_MS, async () => {
        const listed = (await runJobCli(["list"])).output["queues"] as readonly { readonly pending?: number }[];
        return listed[0]?.pending === 0;
    });
});

test("an unknown job, a malformed id, an unreadable job and an unknown queue end with a code and exit code 2", async () => {
    const wrong = [
        ["show", "main", "00000000000000ff"],
        ["show", "main", "xyz"],
        ["submit", "main", write("empty.json", {})],
        ["show", "other", LONG_JOB],
    ];
    const results = await Promise.all(wrong.map(args => runJobCli(args)));
    assert.deepEqual(results.map(codeOf), ["not-found", "invalid-job", "invalid-job", "not-found"]);
    results.forEach(({ exitCode }) => assert.equal(exitCode, INVALID_INPUT));
});

test("a submission without any entry names an outcome that is unknown, and a question one that changed nothing", async () => {
    const environment = { ALMONDUSHER_JOB_SETTINGS: join(directory, "down.json") };
    const submitted = await runJobCli(["submit", "main", write("lost.json", oneTask)], environment);
    assert.equal(codeOf(submitted), "unknown-outcome");
    const shown = await runJobCli(["show", "main", LONG_JOB], environment);
    assert.deepEqual([codeOf(shown), shown.exitCode], ["not-accepted", UNAVAILABLE]);
});
