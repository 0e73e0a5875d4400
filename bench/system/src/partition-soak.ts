import { setTimeout as sleep } from "node:timers/promises";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { startTcpRelay, type TcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import type { ExecutorStandIn } from "@almondusher/job-platform-stand-in/executor";
import {
    countOverlappingRuns,
    findScheduler,
    hasEnded,
    jobId,
    jobOfTasks,
    sendJobRequest,
    startJobDeployment,
    waitUntil,
    type DeployedDispatcher,
    type JobDeployment,
} from "./job-deployment.js";

/** Size of a soak, and the seed of its faults. */
export interface PartitionSoakOptions {
    readonly seed: number;
    readonly dispatchers: number;
    readonly executors: number;
    /** Number of faults, one after the other; each cuts, pauses or kills several parts at once. */
    readonly faults: number;
}

/** What a soak has shown. */
export interface PartitionSoakResult {
    /** Description of each fault, in order. */
    readonly faults: readonly string[];
    readonly accepted: number;
    readonly runs: number;
    /** Number of runs during which another run of the same task was active. */
    readonly overlappingRuns: number;
    /** Tasks that were started after an acknowledged end as done. */
    readonly startedAfterDone: readonly string[];
    /** Accepted jobs that were not completed in time after the last fault. */
    readonly unfinished: readonly string[];
}

const FAULT_MIN_MS = 1500;
const FAULT_MAX_MS = 8000;
const PAUSE_MAX_MS = 2500;
const SUBMIT_INTERVAL_MS = 400;
const MAX_TASKS = 4;
const RUN_MIN_MS = 200;
const RUN_MAX_MS = 9000;
// Covers a takeover, the wait for runs on executors that cannot be reached, and the longest runs one after the other.
const COMPLETION_TIMEOUT_MS = 60_000;

/** Draws integers between two bounds, both included. */
type Draw = (from: number, to: number) => number;

const createDraw = (seed: number): Draw => {
    const generator = xoroshiro128plus(seed);
    return (from, to) => uniformInt(generator, from, to);
};

/** A dispatcher process and its path to the store, which can be cut. */
interface SoakedDispatcher {
    readonly vm: string;
    relay: TcpRelay;
    process: DeployedDispatcher;
}

/** Sends jobs to dispatchers while paths are cut and processes paused and killed, and checks that each task runs once. */
export const runPartitionSoak = async (options: PartitionSoakOptions): Promise<PartitionSoakResult> => {
    // One source for each, so that the faults of a seed do not depend on when tasks start.
    const [drawFault, drawJob, drawRunTime] = [0, 1, 2].map(source => createDraw(3 * options.seed + source)) as [
        Draw,
        Draw,
        Draw,
    ];
    const runTimes = new Map<string, number>();
    const deployment = await startJobDeployment({
        dispatchers: 0,
        executors: options.executors,
        runMs: task => {
            const runMs = runTimes.get(task) ?? drawRunTime(RUN_MIN_MS, RUN_MAX_MS);
            runTimes.set(task, runMs);
            return runMs;
        },
    });
    const dispatchers: SoakedDispatcher[] = [];
    try {
        for (const index of Array.from({ length: options.dispatchers }).keys()) {
            dispatchers.push(await startSoaked(deployment, `entry-${index}`));
        }
        const submission = submitJobs(dispatchers, drawJob);
        const faults = await playFaults(options, deployment, dispatchers, drawFault);
        return await checkResult(deployment, dispatchers, faults, await submission.stop());
    } finally {
        await deployment.close();
        await Promise.all(dispatchers.map(({ relay }) => relay.close()));
    }
};

const startSoaked = async (deployment: JobDeployment, vm: string): Promise<SoakedDispatcher> => {
    const relay = await startTcpRelay({ target: deployment.store.address });
    return { vm, relay, process: await deployment.startDispatcher(vm, relay.address) };
};

const playFaults = async (
    options: PartitionSoakOptions,
    deployment: JobDeployment,
    dispatchers: readonly SoakedDispatcher[],
    draw: Draw,
): Promise<readonly string[]> => {
    const faults: string[] = [];
    for (let fault = 0; fault < options.faults; fault++) {
        faults.push(await playFault(deployment, dispatchers, draw));
        await sleep(draw(0, PAUSE_MAX_MS));
    }
    return faults;
};

const checkResult = async (
    deployment: JobDeployment,
    dispatchers: readonly SoakedDispatcher[],
    faults: readonly string[],
    accepted: readonly string[],
): Promise<PartitionSoakResult> => ({
    faults,
    accepted: accepted.length,
    // Awaited first: the other figures cover the time until the jobs are completed.
    unfinished: await unfinishedJobs(dispatchers, accepted),
    runs: deployment.executors.reduce((sum, { started }) => sum + started.length, 0),
    overlappingRuns: countOverlappingRuns(deployment),
    startedAfterDone: startsAfterAcknowledgedEnd(deployment.executors),
});

/** Faults of one kind or several at the same moment, drawn independently; returns a description. */
const playFault = async (
    deployment: JobDeployment,
    dispatchers: readonly SoakedDispatcher[],
    draw: Draw,
): Promise<string> => {
    const holder = dispatchers.find(({ process }) => process === findScheduler(deployment)) ?? dispatchers[0];
    if (holder === undefined) {
        throw new Error("no dispatcher");
    }
    const durationMs = draw(FAULT_MIN_MS, FAULT_MAX_MS);
    const cuts = deployment.executors.map(executor => cutExecutor(executor, holderToken(deployment), draw));
    const holderFault = (["none", "store", "store", "store", "pause", "kill"] as const)[draw(0, 5)] ?? "none";
    const heal = await startHolderFault(deployment, holder, holderFault);
    await sleep(durationMs);
    deployment.executors.forEach(executor => executor.setFault({ kind: "none" }));
    await heal();
    return `${holder.vm} ${holderFault}, executors ${cuts.join(" ")}, ${durationMs} ms`;
};

const holderToken = ({ store }: JobDeployment): number => {
    const lease = store.rows("leases").find(({ key }) => key.startsWith("pool/"))?.value as
        { readonly epoch?: number } | undefined;
    return lease?.epoch ?? 0;
};

/** Cuts an executor off from the holder, from its successors, or from neither. */
const cutExecutor = (executor: ExecutorStandIn, token: number, draw: Draw): string => {
    const from = (["neither", "holder", "successors"] as const)[draw(0, 2)] ?? "neither";
    switch (from) {
        case "neither":
            break;
        case "holder":
            executor.setFault({ kind: "cut-off", fromToken: 0, toToken: token });
            break;
        case "successors":
            executor.setFault({ kind: "cut-off", fromToken: token + 1 });
            break;
    }
    return from;
};

/** Starts a fault of a dispatcher and returns how to end it. */
const startHolderFault = async (
    deployment: JobDeployment,
    holder: SoakedDispatcher,
    fault: "none" | "store" | "pause" | "kill",
): Promise<() => Promise<void> | void> => {
    switch (fault) {
        case "none":
            return () => undefined;
        case "store": {
            const port = Number(holder.relay.address.split(":")[1]);
            await holder.relay.close();
            return async () => {
                holder.relay = await startTcpRelay({ target: deployment.store.address, port });
            };
        }
        case "pause":
            holder.process.process.kill("SIGSTOP");
            return () => void holder.process.process.kill("SIGCONT");
        case "kill":
            holder.process.process.kill("SIGKILL");
            await holder.process.ended;
            return async () => {
                holder.process = await deployment.startDispatcher(holder.vm, holder.relay.address);
            };
    }
};

/** Sends jobs, each to a drawn dispatcher, until it is stopped; `stop` returns the ids of the accepted ones. */
const submitJobs = (
    dispatchers: readonly SoakedDispatcher[],
    draw: Draw,
): { readonly stop: () => Promise<readonly string[]> } => {
    const accepted: string[] = [];
    let stopped = false;
    const submitOne = async (number: number): Promise<void> => {
        const entry = dispatchers[draw(0, dispatchers.length - 1)];
        const body = jobOfTasks(draw(1, MAX_TASKS));
        const status = await sendTo(entry, "POST", jobId(number), body);
        if (status === 200) {
            accepted.push(jobId(number));
        }
    };
    const submitAll = async (): Promise<void> => {
        const calls: Promise<void>[] = [];
        for (let number = 1; !stopped; number++) {
            calls.push(submitOne(number));
            await sleep(SUBMIT_INTERVAL_MS);
        }
        await Promise.all(calls);
    };
    const running = submitAll();
    return {
        stop: async () => {
            stopped = true;
            await running;
            return accepted;
        },
    };
};

/** Status of the response; undefined if the process does not respond. */
const sendTo = async (
    entry: SoakedDispatcher | undefined,
    method: "POST" | "GET",
    job: string,
    body?: object,
): Promise<number | undefined> => {
    if (entry === undefined || hasEnded(entry.process)) {
        return undefined;
    }
    return sendJobRequest(entry.process, method, job, body).then(
        ({ status }) => status,
        () => undefined,
    );
};

const unfinishedJobs = async (
    dispatchers: readonly SoakedDispatcher[],
    accepted: readonly string[],
): Promise<readonly string[]> => {
    const [entry] = dispatchers;
    let open = accepted;
    const isCompleted = async (job: string): Promise<boolean> =>
        entry !== undefined && (await sendJobRequest(entry.process, "GET", job)).body.state === "completed";
    await waitUntil("the jobs to be completed", COMPLETION_TIMEOUT_MS, async () => {
        const completed = await Promise.all(open.map(isCompleted));
        open = open.filter((unused, index) => completed[index] !== true);
        return open.length === 0;
    }).catch(() => undefined);
    return open;
};

const startsAfterAcknowledgedEnd = (executors: readonly ExecutorStandIn[]): readonly string[] => {
    const runs = executors.flatMap(({ started }) => started);
    const done = runs.filter(({ how, endAcknowledged }) => how === "done" && endAcknowledged);
    return runs
        .filter(run => done.some(({ task, endedAtMs = Infinity }) => task === run.task && run.startedAtMs > endedAtMs))
        .map(({ task }) => task);
};
