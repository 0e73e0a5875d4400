import { Agent, request } from "undici";
import type { DeployedEntry } from "./deployment.js";

const READINESS_PATH = "/.almondusher/ready";
const READINESS_PERIOD_MS = 100;
const READINESS_TIMEOUT_MS = 1000;
const ALL_UNREADY_PAUSE_MS = 20;

/** Request and response as observed by the caller; times are milliseconds of the caller's monotonic clock. */
export interface CallRecord {
    readonly path: string;
    readonly entry: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Absent if the connection failed before a complete response arrived. */
    readonly status?: number;
    readonly verdict?: string;
    readonly cause?: string;
    /** VM that sent the response. */
    readonly vm?: string;
    readonly error?: string;
}

export interface BalancedLoadOptions {
    readonly entries: readonly DeployedEntry[];
    /** Request paths, used round-robin by each worker. */
    readonly paths: readonly string[];
    readonly workers: number;
    /** Run time of each request on the endpoint. */
    readonly workMs: number;
    /** Delay of each worker between two requests. */
    readonly pauseMs: number;
}

/** Simulated callers behind a load balancer that routes to ready entries only. */
export interface BalancedLoad {
    readonly records: readonly CallRecord[];
    /** Stops sending and waits for the requests in flight. */
    stop: () => Promise<readonly CallRecord[]>;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const headerOf = (value: string | string[] | undefined): string | undefined =>
    typeof value === "string" ? value : undefined;

const vmOf = (body: string): string | undefined => {
    try {
        return (JSON.parse(body.split("\n")[0] ?? "") as { vm?: string }).vm;
    } catch {
        return undefined;
    }
};

export interface CallOptions {
    readonly entry: DeployedEntry;
    readonly path: string;
    readonly method?: "GET" | "POST";
    readonly headers?: Readonly<Record<string, string>>;
    readonly dispatcher?: Agent;
}

/** Sends one request to an entry and records the response or the error. */
export const callEntry = async ({
    entry,
    path,
    method = "GET",
    headers = {},
    dispatcher,
}: CallOptions): Promise<CallRecord> => {
    const sentAtMs = performance.now();
    const base = { path, entry: entry.vmId, sentAtMs };
    try {
        const response = await request(`${entry.callerUrl}${path}`, {
            method,
            headers: { ...headers },
            ...(method === "POST" ? { body: "{}" } : {}),
            ...(dispatcher === undefined ? {} : { dispatcher }),
        });
        const body = await response.body.text();
        const verdict = headerOf(response.headers["almondusher-verdict"]);
        const cause = headerOf(response.headers["almondusher-cause"]);
        const vm = vmOf(body);
        return {
            ...base,
            endedAtMs: performance.now(),
            status: response.statusCode,
            ...(verdict === undefined ? {} : { verdict }),
            ...(cause === undefined ? {} : { cause }),
            ...(vm === undefined ? {} : { vm }),
        };
    } catch (error) {
        return { ...base, endedAtMs: performance.now(), error: String(error) };
    }
};

const isReady = async (entry: DeployedEntry): Promise<boolean> => {
    try {
        const response = await request(`${entry.callerUrl}${READINESS_PATH}`, {
            signal: AbortSignal.timeout(READINESS_TIMEOUT_MS),
        });
        await response.body.dump();
        return response.statusCode === 200;
    } catch {
        return false;
    }
};

interface Balancer {
    ready: readonly DeployedEntry[];
    next: number;
    stopped: boolean;
}

// Polls each entry separately, so that a paused entry does not delay the readiness checks of the others.
const watchReadiness = async (balancer: Balancer, entry: DeployedEntry): Promise<void> => {
    while (!balancer.stopped) {
        const ready = await isReady(entry);
        const others = balancer.ready.filter(other => other !== entry);
        balancer.ready = ready ? [...others, entry] : others;
        await sleep(READINESS_PERIOD_MS);
    }
};

const nextReadyEntry = (balancer: Balancer): DeployedEntry | undefined => {
    balancer.next += 1;
    return balancer.ready[balancer.next % Math.max(1, balancer.ready.length)];
};

/** Starts workers that send idempotent requests to ready entries until the load is stopped. */
export const startBalancedLoad = (options: BalancedLoadOptions): BalancedLoad => {
    const records: CallRecord[] = [];
    const dispatcher = new Agent({ pipelining: 1 });
    const balancer: Balancer = { ready: options.entries, next: 0, stopped: false };
    const checks = options.entries.map(entry => watchReadiness(balancer, entry));
    const runWorker = async (worker: number): Promise<void> => {
        for (let turn = worker; !balancer.stopped; turn += 1) {
            const entry = nextReadyEntry(balancer);
            if (entry === undefined) {
                await sleep(ALL_UNREADY_PAUSE_MS);
                continue;
            }
            const path = options.paths[turn % options.paths.length] ?? "/";
            const headers = { "x-work-ms": String(options.workMs) };
            records.push(await callEntry({ entry, path, headers, dispatcher }));
            await sleep(options.pauseMs);
        }
    };
    const workers = Array.from({ length: options.workers }, (unused, worker) => runWorker(worker));
    return {
        records,
        stop: async () => {
            balancer.stopped = true;
            await Promise.all([...workers, ...checks]);
            await dispatcher.destroy();
            return records;
        },
    };
};

/** Requests that did not get a response with status 200. */
export const failedRequests = (records: readonly CallRecord[]): readonly CallRecord[] =>
    records.filter(record => record.status !== 200);
