import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { AdviceStandIn } from "@almondusher/job-platform-stand-in/advice";
import {
    startExecutorStandIn,
    type ExecutorStandIn,
    type ExecutorStandInOptions,
} from "@almondusher/job-platform-stand-in/executor";
import type { GangRuns } from "@almondusher/job-platform-stand-in/gang-runs";
import type { NarrowPath } from "@almondusher/job-platform-stand-in/narrow-path";
import { startStoreStandIn, type StoreStandIn } from "@almondusher/job-platform-stand-in/store";
import {
    startVmServiceStandIn,
    type VmOrderEffects,
    type VmServiceStandIn,
    type VmServiceStandInOptions,
} from "@almondusher/job-platform-stand-in/vm-service";
import { freePorts } from "./free-ports.js";
import { limitedCommand, type ProcessLimits } from "./limited-command.js";

export interface DeployedDispatcher {
    readonly vm: string;
    /** Address of the server for clients (host:port). */
    readonly address: string;
    readonly metricsAddress: string;
    readonly process: ChildProcess;
    /** Parsed log lines received so far. */
    readonly log: readonly LogLine[];
    /** Resolves with the exit code, or undefined if a signal ended the process. */
    readonly ended: Promise<number | undefined>;
}

interface LogLine {
    readonly event?: string;
    readonly [field: string]: unknown;
}

/** Capacity of a dispatcher's VM, as its settings state it. */
export interface DispatcherCapacity {
    readonly processorShare: number;
    readonly linkMbps: number;
}

/** Dispatcher processes running against stand-ins for the platform. */
export interface JobDeployment {
    readonly store: StoreStandIn;
    readonly vms: VmServiceStandIn;
    /** All executors in the order of their starts, also those that have left. */
    readonly executors: readonly ExecutorStandIn[];
    readonly dispatchers: readonly DeployedDispatcher[];
    /** Starts a dispatcher. It reaches the store at the given address instead of the store's own, for example at a relay. */
    readonly startDispatcher: (
        vm: string,
        storeAddress?: string,
        capacity?: DispatcherCapacity,
    ) => Promise<DeployedDispatcher>;
    readonly close: () => Promise<void>;
}

export interface JobDeploymentOptions {
    readonly dispatchers: number;
    readonly executors: number;
    /** Run time of a task in milliseconds. */
    readonly runMs: (task: string) => number;
    /** Path that carries the requests to all executors; unlimited if undefined. */
    readonly path?: NarrowPath;
    /** Pool in which the VM service lists all VMs; `JOB_POOL` if undefined. */
    readonly vmPool?: string;
    /** Gangs whose members may run on several executors; none if undefined. */
    readonly gangs?: GangRuns;
    /**
     * Number of further VMs, which are off in the spare pool. Orders for VMs are carried out if it is defined; otherwise the
     * executors stay.
     */
    readonly spareVms?: number;
    /** Faults of the VM service; none if undefined. */
    readonly vmService?: Pick<VmServiceStandInOptions, "enforcesFencing" | "answerDelayMs">;
    /** Additional Node.js flags for the dispatchers, for example for the profiler. */
    readonly nodeFlags?: readonly string[];
    /** The operator's first configuration; `jobConfiguration()` if undefined. */
    readonly configuration?: object;
    /** File of a bundled dispatcher to run; the sources are run if undefined. */
    readonly program?: string | undefined;
    /** How a run that has worked for its time ends; `done` if undefined. */
    readonly outcomeOf?: ExecutorStandInOptions["outcomeOf"];
    /** Chooses the executors of advised queues; a start of such a queue's task must carry its ticket. */
    readonly advice?: { readonly service: AdviceStandIn; readonly isAdvised: (task: string) => boolean };
    /** Resources of each dispatcher process; unlimited if undefined. */
    readonly limits?: ProcessLimits;
}

/** Response to a client's request. */
export interface ClientResponse {
    readonly status: number;
    readonly body: { readonly state?: string; readonly pending?: number };
    readonly retryAfter: string | undefined;
}

/** Host name in requests to the deployment's queue. */
export const JOB_HOST = "jobs.example";
/** Path prefix of the deployment's queue. */
export const JOB_PREFIX = "/queue/";

/** Name of the deployment's only pool that is not a spare pool. */
export const JOB_POOL = "pool-a";
/** Name of the deployment's spare pool. */
export const SPARE_POOL = "pool-spare";

const MAIN = fileURLToPath(new URL("../../../programs/dispatcher/src/main.ts", import.meta.url));
const TSX = import.meta.resolve("tsx");
const STOP_TIMEOUT_MS = 5000;
const DEFAULT_CAPACITY: DispatcherCapacity = { processorShare: 1, linkMbps: 1000 };
// Time that a move or maintenance of a VM takes.
const VM_ORDER_MS = 100;

/** Starts stand-ins and dispatcher processes; resolves once the dispatchers are ready. */
export const startJobDeployment = async (options: JobDeploymentOptions): Promise<JobDeployment> => {
    const directory = mkdtempSync(join(tmpdir(), "almondusher-jobs-"));
    const store = await startStoreStandIn();
    store.put("op", "config", options.configuration ?? jobConfiguration());
    const executors: ExecutorStandIn[] = [];
    const startExecutor = async (id: string, vm: string): Promise<ExecutorStandIn> => {
        const { runMs, path, gangs, outcomeOf, advice } = options;
        const ticketOf = (task: string, executor: string): string | undefined =>
            advice?.isAdvised(task) === true ? advice.service.ticketOf(task, executor) : undefined;
        const work = { runMs, path, gangs, outcomeOf, ticketOf };
        const started = await startExecutorStandIn({ ...work, store, id, vm, service: JOB_POOL });
        executors.push(started);
        return started;
    };
    const names = Array.from({ length: options.executors }, (unused, index) => `i-${index}`);
    const initial = await Promise.all(
        names.map(async id => [`vm-${id}`, await startExecutor(id, `vm-${id}`)] as const),
    );
    const spare = Array.from({ length: options.spareVms ?? 0 }, (unused, index) => `vm-spare-${index}`);
    const vms = await startVmServiceStandIn({
        ...options.vmService,
        vms: [
            ...names.map(id => ({ id: `vm-${id}`, pool: options.vmPool ?? JOB_POOL, executor: id })),
            ...spare.map(id => ({ id, pool: SPARE_POOL, executor: undefined })),
        ],
        effects: options.spareVms === undefined ? undefined : createVmOrderEffects(new Map(initial), startExecutor),
    });
    const dispatchers: DeployedDispatcher[] = [];
    const command = [...(options.nodeFlags ?? []), ...programArguments(options.program)];
    const startDispatcher: JobDeployment["startDispatcher"] = async (
        vm,
        storeAddress = store.address,
        capacity = DEFAULT_CAPACITY,
    ) => {
        const started = await spawnDispatcher({
            command,
            limits: options.limits,
            directory,
            vm,
            storeAddress,
            vmServiceAddress: vms.address,
            enforcesFencing: options.vmService?.enforcesFencing ?? true,
            adviceAddress: options.advice?.service.address ?? "",
            capacity,
        });
        dispatchers.push(started);
        return started;
    };
    await Promise.all(
        Array.from({ length: options.dispatchers }, (unused, index) => startDispatcher(`entry-${index}`)),
    );
    return {
        store,
        vms,
        executors,
        dispatchers,
        startDispatcher,
        close: async () => {
            await Promise.all(dispatchers.map(stopDispatcher));
            await Promise.all([...executors.map(executor => executor.close()), vms.close(), store.close()]);
            rmSync(directory, { recursive: true, force: true });
        },
    };
};

type JobMethod = "POST" | "GET" | "DELETE";

/** Sends one client request about a job. */
export const sendJobRequest = (
    dispatcher: Pick<DeployedDispatcher, "address">,
    method: JobMethod,
    job: string,
    body?: object,
): Promise<ClientResponse> => sendRequest(dispatcher, { method, path: JOB_PREFIX + job, body });

/** A client's request with its headers besides those of all requests. */
export interface JobRequest {
    readonly method: JobMethod;
    readonly path: string;
    readonly body?: object | undefined;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Sends one request of a client. */
export const sendRequest = (
    { address }: Pick<DeployedDispatcher, "address">,
    { method, path, body, headers }: JobRequest,
): Promise<ClientResponse> =>
    new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        const call = request(
            {
                host,
                port,
                method,
                path,
                agent: false,
                headers: { host: JOB_HOST, "deadline-ms": "3000", ...headers },
            },
            response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("end", () => {
                    const text = Buffer.concat(chunks).toString();
                    resolve({
                        status: response.statusCode ?? 0,
                        body: text === "" ? {} : (JSON.parse(text) as ClientResponse["body"]),
                        retryAfter: response.headers["retry-after"],
                    });
                });
            },
        );
        call.on("error", reject);
        call.end(body === undefined ? undefined : JSON.stringify(body));
    });

/** Returns a job id made from a number. */
export const jobId = (number: number): string => number.toString(16).padStart(16, "0");

/** Returns a job with one step of the given number of tasks. */
export const jobOfTasks = (count: number): object => ({
    spec: "text",
    steps: [{ count, cpu: 1000, mem_mb: 100, est_duration_ms: 150 }],
});

/** Returns the dispatcher that holds the pool's lease; undefined if none does. */
export const findScheduler = (
    deployment: Pick<JobDeployment, "store" | "dispatchers">,
): DeployedDispatcher | undefined => findHolder(deployment, key => key.startsWith("pool/"));

/** Returns the dispatcher that holds the fleet lease; undefined if none does. */
export const findFleetManager = (
    deployment: Pick<JobDeployment, "store" | "dispatchers">,
): DeployedDispatcher | undefined => findHolder(deployment, key => key === "fleet");

const findHolder = (
    { store, dispatchers }: Pick<JobDeployment, "store" | "dispatchers">,
    isLease: (key: string) => boolean,
): DeployedDispatcher | undefined => {
    const lease = store.rows("leases").find(({ key }) => isLease(key))?.value as
        { readonly holder?: string } | undefined;
    return dispatchers.find(({ vm }) => vm === lease?.holder);
};

/** True once the dispatcher's process has ended. */
export const hasEnded = ({ process: child }: Pick<DeployedDispatcher, "process">): boolean =>
    typeof child.exitCode === "number" || typeof child.signalCode === "string";

/** Ids of the job's tasks that executors have started; a task that was started twice is listed twice. */
export const startedTasks = ({ executors }: Pick<JobDeployment, "executors">, job: string): readonly string[] =>
    executors.flatMap(({ started }) => started.map(({ task }) => task)).filter(task => task.startsWith(job));

/** Number of runs during which another run of the same task was active. */
export const countOverlappingRuns = ({ executors }: Pick<JobDeployment, "executors">): number => {
    const runs = executors.flatMap(({ started }) => started);
    return runs.filter(left =>
        runs.some(
            right =>
                right !== left &&
                right.task === left.task &&
                right.startedAtMs < (left.endedAtMs ?? Infinity) &&
                left.startedAtMs < (right.endedAtMs ?? Infinity),
        ),
    ).length;
};

/** Polls until the check returns true; throws on timeout. */
export const waitUntil = async (
    what: string,
    timeoutMs: number,
    check: () => Promise<boolean> | boolean,
): Promise<void> => {
    const endMs = performance.now() + timeoutMs;
    while (!(await check())) {
        if (performance.now() > endMs) {
            throw new Error(`timed out waiting for ${what} after ${timeoutMs} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

/** Waits until the dispatcher reports the given state for a job. */
export const waitForState = (
    dispatcher: Pick<DeployedDispatcher, "address">,
    job: string,
    state: string,
    timeoutMs: number,
): Promise<void> =>
    waitUntil(
        `job ${job} to be ${state}`,
        timeoutMs,
        async () => (await sendJobRequest(dispatcher, "GET", job)).body.state === state,
    );

const createVmOrderEffects = (
    executorByVm: Map<string, ExecutorStandIn>,
    startExecutor: (id: string, vm: string) => Promise<ExecutorStandIn>,
): VmOrderEffects => {
    let lives = 0;
    return {
        isLeaving: vm => {
            const executor = executorByVm.get(vm);
            return executor !== undefined && executor.status().state !== "ready";
        },
        replaceExecutor: async (vm, pool) => {
            executorByVm.get(vm)?.leave();
            executorByVm.delete(vm);
            await sleep(VM_ORDER_MS);
            if (pool === SPARE_POOL) {
                return undefined;
            }
            lives++;
            const next = await startExecutor(`i-new-${lives}`, vm);
            executorByVm.set(vm, next);
            return next.id;
        },
    };
};

/** Route of the deployment's queue. */
export const JOB_ROUTE = {
    name: "queue",
    host: JOB_HOST,
    prefix: JOB_PREFIX,
    kind: "unsafe",
    timeout_ms: 3000,
    target_duration_ms: 600,
    priority: 0,
    service: JOB_POOL,
    max_attempts: 2,
    stretch: 1.6,
};

/** Returns a configuration of the operator: the deployment's queue and pools, with the given changes. */
export const jobConfiguration = (change: object = {}): object => ({
    version: 1,
    routes: [JOB_ROUTE],
    services: [
        { name: JOB_POOL, enforces_capacity: false, spare: false },
        { name: SPARE_POOL, enforces_capacity: false, spare: true },
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    ...change,
});

const programArguments = (program: string | undefined): readonly string[] =>
    program === undefined ? ["--conditions=source", "--import", TSX, MAIN] : [program];

interface DispatcherSpawn {
    readonly command: readonly string[];
    readonly limits: ProcessLimits | undefined;
    readonly directory: string;
    readonly vm: string;
    readonly storeAddress: string;
    readonly vmServiceAddress: string;
    readonly enforcesFencing: boolean;
    readonly adviceAddress: string;
    readonly capacity: DispatcherCapacity;
}

const spawnDispatcher = async ({
    command,
    limits,
    directory,
    vm,
    storeAddress,
    vmServiceAddress,
    enforcesFencing,
    adviceAddress,
    capacity,
}: DispatcherSpawn): Promise<DeployedDispatcher> => {
    const [entryPort, readyPort, metricsPort] = await freePorts(3);
    const file = join(directory, `${vm}.json`);
    const metricsAddress = `127.0.0.1:${metricsPort}`;
    const settings = {
        vm,
        dataCentre: "dc-1",
        entryAddress: `127.0.0.1:${entryPort}`,
        readyAddress: `127.0.0.1:${readyPort}`,
        metricsAddress,
        storeAddress,
        vmServiceAddress,
        vmOrderFencing: enforcesFencing ? "enforced" : "not-enforced",
        adviceAddress,
        ...capacity,
        processorSpeed: 1,
        stopGraceSeconds: 6,
        maxLeaseMs: 6000,
        stopTimeMs: 200,
        disruptionNoticeMs: 4500,
        latencyHarmMs: 4000,
        farFactor: 2,
        earlyStartMs: 250,
        moveSeconds: 0.1,
        maintenanceSeconds: 0.1,
        heartbeatMs: 500,
    };
    writeFileSync(file, JSON.stringify(settings));
    const limited = limitedCommand([...command, "--settings", file], limits);
    const child = spawn(limited.file, limited.args, { stdio: ["ignore", "pipe", "inherit"] });
    const log: LogLine[] = [];
    parseLogLines(child, line => log.push(line));
    const ended = new Promise<number | undefined>(resolve => child.once("exit", code => resolve(code ?? undefined)));
    await waitUntil(`${vm} to be ready`, 20_000, () => isReady(readyPort ?? 0));
    return { vm, address: settings.entryAddress, metricsAddress, process: child, log, ended };
};

const parseLogLines = (child: ChildProcess, take: (line: LogLine) => void): void => {
    let rest = "";
    child.stdout?.on("data", (chunk: Buffer) => {
        const lines = (rest + chunk.toString()).split("\n");
        rest = lines.pop() ?? "";
        lines.forEach(line => take(JSON.parse(line) as LogLine));
    });
};

const isReady = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const call = request({ host: "127.0.0.1", port, path: "/-/ready", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        call.on("error", () => resolve(false));
        call.end();
    });

const stopDispatcher = async (dispatcher: DeployedDispatcher): Promise<void> => {
    const { process: child, ended } = dispatcher;
    if (hasEnded(dispatcher)) {
        return;
    }
    child.kill("SIGTERM");
    const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
    await ended;
    clearTimeout(timer);
};
