// Guards against processes that end, hang or outgrow their VM by clients that the system doesn't control. Crowds and
// bounds stay as they were fixed on the code that failed.
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import test, { type TestContext } from "node:test";
import { callEntry } from "../src/call-entry.js";
import { startFailureFleet } from "../src/failure-fleet.js";
import { JOB_HOST, JOB_PREFIX, jobId, sendJobRequest, startJobDeployment } from "../src/job-deployment.js";
import type { ProcessLimits } from "../src/limited-command.js";

/** A program's process under test and the way to call it. */
interface Target {
    readonly pid: number;
    readonly address: string;
    readonly host: string;
    readonly path: string;
    readonly isAlive: () => boolean;
    /** Sends one ordinary request; resolves with its status. */
    readonly call: () => Promise<number>;
}

interface Program {
    readonly name: string;
    /** Options of its tests. */
    readonly options: { readonly todo?: string };
    readonly start: (context: TestContext) => Promise<Target>;
}

const LIMITS: ProcessLimits = { descriptors: 1024, heapMb: 64 };
// The VM on which the limits above stand for a heap that leaves room for what is not on it.
const MAX_RESIDENT_MB = 224;
const MAX_DESCRIPTORS = 900;
// Only bounds the test: a process that does not answer by then hangs.
const ANSWER_TIMEOUT_MS = 30_000;
const BYTES_PER_MB = 1024 ** 2;

const DISPATCHER = fileURLToPath(new URL("../../../programs/dispatcher/dist/main.js", import.meta.url));
const CROWD = fileURLToPath(new URL("client-crowd.ts", import.meta.url));

const isRunning = ({ exitCode, signalCode }: { exitCode: number | null; signalCode: string | null }): boolean =>
    typeof exitCode !== "number" && typeof signalCode !== "string";

const dispatcher: Program = {
    name: "dispatcher",
    options: {},
    start: async context => {
        const deployment = await startJobDeployment({
            dispatchers: 1,
            executors: 1,
            runMs: () => 150,
            program: DISPATCHER,
            limits: LIMITS,
        });
        context.after(deployment.close);
        const [started] = deployment.dispatchers;
        assert.ok(started !== undefined);
        return {
            pid: started.process.pid ?? 0,
            address: started.address,
            host: JOB_HOST,
            path: JOB_PREFIX + jobId(9),
            isAlive: () => isRunning(started.process),
            call: async () => (await sendJobRequest(started, "GET", jobId(1))).status,
        };
    },
};

const entry: Program = {
    name: "entry",
    options: { todo: "KNOWN-RED.txt, issue 54" },
    start: async context => {
        const deployment = await startFailureFleet({
            services: ["far"],
            vmsPerService: 1,
            entries: 1,
            entryLimits: LIMITS,
        });
        context.after(deployment.stop);
        const [started] = deployment.entries;
        assert.ok(started !== undefined);
        return {
            pid: started.child.process.pid ?? 0,
            address: new URL(started.callerUrl).host,
            host: "a",
            path: "/far",
            isAlive: () => isRunning(started.child.process),
            call: async () => {
                const result = await callEntry(started, { path: "/far", timeoutMs: ANSWER_TIMEOUT_MS });
                return result.kind === "response" ? result.status : 0;
            },
        };
    },
};

const readPeakMb = (pid: number): number =>
    (Number(/^VmHWM:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]) * 1024) / BYTES_PER_MB;

const SAMPLE_INTERVAL_MS = 50;

interface Peaks {
    descriptors: number;
    residentMb: number;
}

/** Samples the process until the returned function is called. */
const watchPeaks = ({ pid, isAlive }: Target): { readonly peaks: Peaks; readonly stop: () => void } => {
    const peaks: Peaks = { descriptors: 0, residentMb: 0 };
    const timer = setInterval(() => {
        if (isAlive()) {
            try {
                peaks.descriptors = Math.max(peaks.descriptors, readdirSync(`/proc/${pid}/fd`).length);
                // A process that has just ended has no peak any more.
                peaks.residentMb = Math.max(peaks.residentMb, readPeakMb(pid) || 0);
            } catch {
                // The process ended in between, which the test sees by itself.
            }
        }
    }, SAMPLE_INTERVAL_MS);
    return { peaks, stop: () => clearInterval(timer) };
};

const startCrowd = async (context: TestContext, kind: string, target: Target): Promise<void> => {
    const crowd = spawn(
        process.execPath,
        ["--conditions=source", "--import", "tsx", CROWD, kind, target.address, target.host, target.path],
        { stdio: ["ignore", "pipe", "inherit"] },
    );
    context.after(() => crowd.kill("SIGKILL"));
    await once(crowd.stdout, "data");
};

const within = (call: Promise<number>): Promise<number | string> =>
    Promise.race([
        call.catch((error: unknown) => String(error)),
        new Promise<string>(resolve => setTimeout(resolve, ANSWER_TIMEOUT_MS, "no answer").unref()),
    ]);

const check = async (context: TestContext, program: Program, kind: string): Promise<void> => {
    const target = await program.start(context);
    const statusBefore = await within(target.call());
    const { peaks, stop } = watchPeaks(target);
    await startCrowd(context, kind, target);
    // The crowd's connections are still open.
    const statusAfter = await within(target.call());
    stop();
    const seen = `resident ${Math.round(peaks.residentMb)} MB, ${peaks.descriptors} descriptors, ${statusAfter}`;
    context.diagnostic(`${program.name}, ${kind}: ${seen}, ${target.isAlive() ? "lives" : "ended"}`);
    assert.ok(target.isAlive(), `the process ended: ${seen}`);
    assert.ok(peaks.residentMb <= MAX_RESIDENT_MB, `over ${MAX_RESIDENT_MB} MB: ${seen}`);
    assert.ok(peaks.descriptors <= MAX_DESCRIPTORS, `over ${MAX_DESCRIPTORS} descriptors: ${seen}`);
    assert.equal(statusAfter, statusBefore, `an ordinary request: ${seen}`);
};

const CROWDS = [
    { kind: "requests-ahead", title: "requests sent ahead with unread answers and without the usual headers" },
    { kind: "many-connections", title: "many connections at once, of which some leave early" },
    { kind: "large-chunks", title: "many chunked bodies in large chunks that stop short of their end" },
    { kind: "small-chunks", title: "many chunked bodies in very small chunks that stop short of their end" },
];
[dispatcher, entry].forEach(program =>
    CROWDS.forEach(({ kind, title }) => {
        void test(`${program.name}: ${title}`, program.options, context => check(context, program, kind));
    }),
);
