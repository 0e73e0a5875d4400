import { z } from "zod";
import { reply, startJsonServer, type JsonReply, type JsonRequest } from "./json-server.js";
import type { StoreStandIn } from "./store.js";

/** What an executor does with orders. */
type ExecutorFault =
    | { readonly kind: "none" }
    /** Carries out starts and cuts the connection instead of answering. */
    | { readonly kind: "lost-answers" }
    /** Carries out starts this much later than it cuts the connection. */
    | { readonly kind: "late-starts"; readonly delayMs: number }
    /** Every run fails at once. */
    | { readonly kind: "fails" }
    | { readonly kind: "silent" };

/** A run that was started. */
interface StartedRun {
    readonly task: string;
    readonly run: number;
    readonly startedAtMs: number;
    endedAtMs: number | undefined;
    how: string | undefined;
}

/** Stand-in for one executor. */
export interface ExecutorStandIn {
    readonly id: string;
    readonly address: string;
    setFault: (fault: ExecutorFault) => void;
    /** Everything that was ever started here, in order. */
    readonly started: readonly StartedRun[];
    /** Most processor capacity that was in use at once. */
    readonly peakCpu: () => number;
    /** Ends everything and forgets it, as a crash does; the executor begins a new life under its id. */
    readonly restart: () => void;
    readonly close: () => Promise<void>;
}

/** Options of an executor. */
export interface ExecutorStandInOptions {
    readonly store: StoreStandIn;
    readonly id: string;
    readonly service: string;
    /** How long a task runs, in milliseconds. */
    readonly runMs: (task: string) => number;
    readonly cpu?: number;
}

interface Run extends StartedRun {
    timer: NodeJS.Timeout | undefined;
}

interface End {
    readonly number: number;
    readonly run: Run;
}

const start = z.object({
    task: z.string(),
    run: z.number(),
    spec: z.string(),
    until_ms: z.number(),
    fence_token: z.number(),
});
const stop = z.object({ task: z.string(), run: z.number(), fence_token: z.number() });
const hold = z.object({
    fence_token: z.number(),
    last_seen: z.number(),
    until_ms: z.number().optional(),
    wait_ms: z.number().optional(),
});

const HEARTBEAT_MS = 500;
const DEFAULT_CPU = 4000;
const MEMORY_MB = 8000;
// Every task of the tests takes this much.
const TASK_CPU = 1000;
const LEASE_CHECK_MS = 20;

/** Starts an executor and registers it in the store. */
export const startExecutorStandIn = async (options: ExecutorStandInOptions): Promise<ExecutorStandIn> => {
    const { store, id, service, runMs, cpu = DEFAULT_CPU } = options;
    const started: Run[] = [];
    const highest = new Map<string, number>();
    let active = new Map<string, Run>();
    let ends: End[] = [];
    let endCount = 0;
    let token = 0;
    let leaseUntil = 0;
    let born = Date.now();
    let epochMs = performance.now();
    let sequence = 0;
    let peak = 0;
    let fault: ExecutorFault = { kind: "none" };
    let waiting: (() => void)[] = [];

    const clock = (): number => Math.round(performance.now() - epochMs);
    const state = (): object => ({ clock_ms: clock(), born });
    const wake = (): void => {
        const holders = waiting;
        waiting = [];
        holders.forEach(resume => resume());
    };
    const end = (run: Run, how: string): void => {
        clearTimeout(run.timer);
        run.how = how;
        run.endedAtMs = performance.now();
        active.delete(run.task);
        endCount++;
        ends.push({ number: endCount, run });
        wake();
    };
    const begin = (task: string, number: number): void => {
        const run: Run = {
            task,
            run: number,
            startedAtMs: performance.now(),
            endedAtMs: undefined,
            how: undefined,
            timer: undefined,
        };
        run.timer = setTimeout(
            () => end(run, fault.kind === "fails" ? "failed" : "done"),
            fault.kind === "fails" ? 1 : runMs(task),
        );
        started.push(run);
        active.set(task, run);
        highest.set(task, number);
        peak = Math.max(peak, active.size * TASK_CPU);
    };
    const refuse = (reason: string): JsonReply => reply(409, { ...state(), reason });
    const order = (body: unknown): JsonReply => {
        const { task, run, until_ms: until, fence_token: fence } = start.parse(body);
        if (fence < token) {
            return refuse("fence");
        }
        token = fence;
        if (until <= clock()) {
            return refuse("late");
        }
        leaseUntil = Math.max(leaseUntil, until);
        if (active.get(task)?.run === run) {
            return reply(200, state());
        }
        if (run <= (highest.get(task) ?? 0)) {
            return refuse("old");
        }
        begin(task, run);
        return reply(200, state());
    };
    const startUnder = (body: unknown): JsonReply => {
        switch (fault.kind) {
            case "lost-answers":
                order(body);
                return { kind: "cut" };
            case "late-starts":
                setTimeout(() => order(body), fault.delayMs);
                return { kind: "cut" };
            case "none":
            case "fails":
            case "silent":
                return order(body);
        }
    };
    const stopRun = (body: unknown): JsonReply => {
        const { task, run, fence_token: fence } = stop.parse(body);
        if (fence < token) {
            return refuse("fence");
        }
        token = fence;
        const present = active.get(task);
        highest.set(task, Math.max(highest.get(task) ?? 0, run));
        if (present?.run === run) {
            end(present, "stopped");
        }
        return reply(200, state());
    };
    const report = async (body: unknown): Promise<JsonReply> => {
        const { fence_token: fence, last_seen: seen, until_ms: until, wait_ms: wait = 0 } = hold.parse(body);
        if (fence < token) {
            return refuse("fence");
        }
        token = fence;
        leaseUntil = Math.max(leaseUntil, until ?? 0);
        ends = ends.filter(({ number }) => number > seen);
        if (ends.length === 0 && wait > 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, wait);
                waiting.push(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        return reply(200, {
            ...state(),
            active: [...active.values()].map(run => [run.task, run.run, "", percentOf(run, runMs), 0]),
            ended: ends.map(({ number, run }) => [number, run.task, run.run, run.how, ""]),
        });
    };
    const handle = (request: JsonRequest): Promise<JsonReply> | JsonReply => {
        if (fault.kind === "silent") {
            return { kind: "silence" };
        }
        if ((request.headers["expect-instance"] ?? id) !== id) {
            return reply(421);
        }
        switch (request.path) {
            case "/-/run-start":
                return startUnder(request.body);
            case "/-/run-stop":
                return stopRun(request.body);
            case "/-/hold":
                return report(request.body);
            default:
                return reply(404);
        }
    };
    const server = await startJsonServer(handle);
    const register = (): void => {
        sequence++;
        store.put("servers", id, {
            service,
            address: server.address,
            zone: "dc-1",
            version: "v1",
            slots: 8,
            state: "ready",
            cold_left_ms: 0,
            capacity: { cpu, mem_mb: MEMORY_MB, gpu: 0 },
            labels: ["a", "r1-1"],
            machine: `vm-${id}`,
            born,
            clock_ms: clock(),
            seq_no: sequence,
        });
    };
    register();
    const heartbeat = setInterval(register, HEARTBEAT_MS);
    const leases = setInterval(() => {
        if (clock() > leaseUntil) {
            [...active.values()].forEach(run => end(run, "lapsed"));
        }
    }, LEASE_CHECK_MS);
    return {
        id,
        address: server.address,
        started,
        setFault: next => (fault = next),
        peakCpu: () => peak,
        restart: () => {
            active.forEach(run => {
                clearTimeout(run.timer);
                run.how = "crashed";
                run.endedAtMs = performance.now();
            });
            active = new Map();
            highest.clear();
            ends = [];
            endCount = 0;
            token = 0;
            leaseUntil = 0;
            born = Date.now();
            epochMs = performance.now();
            register();
            wake();
        },
        close: async () => {
            clearInterval(heartbeat);
            clearInterval(leases);
            active.forEach(run => clearTimeout(run.timer));
            wake();
            await server.close();
        },
    };
};

const percentOf = (run: StartedRun, runMs: (task: string) => number): number =>
    Math.min(100, Math.round(((performance.now() - run.startedAtMs) / runMs(run.task)) * 100));
