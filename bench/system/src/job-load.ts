import { setTimeout as sleep } from "node:timers/promises";
import { sendJobRequest, startJobDeployment, type DeployedDispatcher, type JobDeployment } from "./job-deployment.js";
import { readUsage } from "./process-usage.js";

/** Size and duration of the job load on one pool. */
export interface JobLoadOptions {
    readonly executors: number;
    readonly jobsPerSecond: number;
    /** Number of tasks in each of the two steps of a job. */
    readonly tasksPerStep: number;
    readonly runMs: number;
    readonly seconds: number;
    /** Directory for a CPU profile of the dispatcher; profiling is off if undefined. */
    readonly profileFolder: string | undefined;
    /** File of a bundled dispatcher, as it is deployed; the sources are run if undefined. */
    readonly program: string | undefined;
}

/** Figures measured on the dispatcher under load. */
export interface JobLoadResult {
    readonly accepted: number;
    readonly tasksEnded: number;
    /** CPU time per ended task in milliseconds, including accepting, storing and logging. */
    readonly cpuMsPerTask: number;
    /** Time from acceptance of a job to the start of its first task. */
    readonly startDelayP50Ms: number;
    readonly startDelayP95Ms: number;
}

const SETTLE_MS = 2000;
const POLL_MS = 100;
const DRAIN_TIMEOUT_MS = 30_000;
const TASK_CPU = 500;
const TASK_MEMORY_MB = 64;
const JOB_ID_DIGITS = 16;

/** Sends jobs to one dispatcher at a constant rate and measures its CPU time per task and its start delays. */
export const runJobLoad = async (options: JobLoadOptions): Promise<JobLoadResult> => {
    const { profileFolder, program } = options;
    const deployment = await startJobDeployment({
        dispatchers: 1,
        executors: options.executors,
        runMs: () => options.runMs,
        program,
        nodeFlags: profileFolder === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`],
    });
    try {
        return await measure(deployment, options);
    } finally {
        await deployment.close();
    }
};

const measure = async (deployment: JobDeployment, options: JobLoadOptions): Promise<JobLoadResult> => {
    const [dispatcher] = deployment.dispatchers as [DeployedDispatcher];
    await sleep(SETTLE_MS);
    const pid = dispatcher.process.pid ?? 0;
    const before = readUsage(pid);
    const accepted = await submitAll(dispatcher, options);
    const expected = accepted * options.tasksPerStep * 2;
    const endMs = performance.now() + DRAIN_TIMEOUT_MS;
    while (countEvents(dispatcher, "run-ended") < expected && performance.now() < endMs) {
        await sleep(POLL_MS);
    }
    const after = readUsage(pid);
    const tasksEnded = countEvents(dispatcher, "run-ended");
    const delays = startDelays(dispatcher);
    return {
        accepted,
        tasksEnded,
        cpuMsPerTask: ((after.cpuSeconds - before.cpuSeconds) * 1000) / Math.max(1, tasksEnded),
        startDelayP50Ms: quantile(delays, 0.5),
        startDelayP95Ms: quantile(delays, 0.95),
    };
};

const submitAll = async (dispatcher: DeployedDispatcher, options: JobLoadOptions): Promise<number> => {
    const { jobsPerSecond, seconds, tasksPerStep } = options;
    const step = { count: tasksPerStep, cpu: TASK_CPU, mem_mb: TASK_MEMORY_MB, est_duration_ms: options.runMs };
    const body = { spec: "load", steps: [step, { ...step, after: [0] }] };
    const calls = Array.from({ length: jobsPerSecond * seconds }, async (unused, index) => {
        await sleep((index * 1000) / jobsPerSecond);
        const id = (index + 1).toString(16).padStart(JOB_ID_DIGITS, "0");
        return (await sendJobRequest(dispatcher, "POST", id, body)).status === 200;
    });
    return (await Promise.all(calls)).filter(ok => ok).length;
};

const countEvents = ({ log }: DeployedDispatcher, event: string): number =>
    log.filter(line => line.event === event).length;

const startDelays = ({ log }: DeployedDispatcher): readonly number[] => {
    const started = new Map<string, number>();
    log.filter(({ event }) => event === "run-placed").forEach(({ task, time }) => {
        const [job = ""] = String(task).split(".");
        started.set(job, Math.min(started.get(job) ?? Infinity, Date.parse(String(time))));
    });
    return log
        .filter(({ event }) => event === "job-admitted")
        .map(
            ({ job, time, ageMs }) => (started.get(String(job)) ?? Infinity) - Date.parse(String(time)) + Number(ageMs),
        )
        .sort((left, right) => left - right);
};

const quantile = (sorted: readonly number[], share: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
