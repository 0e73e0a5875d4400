import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import type { GangRuns } from "./gang-runs.js";
import { reply, startJsonServer, type JsonReply, type JsonRequest } from "./json-server.js";
import type { NarrowPath } from "./narrow-path.js";
import type { StoreStandIn } from "./store.js";

/** Fault that the executor simulates until the next call of `setFault`. */
type ExecutorFault =
    | { readonly kind: "none" }
    /** Carries out starts but closes the connection instead of answering. */
    | { readonly kind: "lost-answers" }
    /** Closes the connection instead of answering a start, and carries the start out after the delay. */
    | { readonly kind: "late-starts"; readonly delayMs: number }
    /** Carries out the next start at once and answers it after the delay; later requests are answered at once. */
    | { readonly kind: "held-answer"; readonly delayMs: number }
    /** Draws for each request whether it is answered. Late starts and stops also reach a later life with this id. */
    | { readonly kind: "unreliable"; readonly drawOutcome: (request: "order" | "hold") => RequestOutcome }
    /** Each run fails after 1 ms. */
    | { readonly kind: "fails" }
    /** Answers no requests. */
    | { readonly kind: "silent" }
    /** Closes the connection of each request whose fencing token is in this range, and carries none of them out. */
    | CutOff;

/** What happens to a request: a lost answer closes the connection, and a late order is carried out after the delay. */
export type RequestOutcome =
    | { readonly kind: "answered" }
    | { readonly kind: "lost-answer" }
    | { readonly kind: "late"; readonly delayMs: number };

/** Range of fencing tokens, both ends included. */
interface CutOff {
    readonly kind: "cut-off";
    readonly fromToken: number;
    /** No upper end if undefined. */
    readonly toToken?: number;
}

/** State of an executor as the registry and its runs show it. */
interface ExecutorStatus {
    readonly state: "ready" | "draining" | "gone";
    /** When the state, or the current life, began, in milliseconds of the monotonic clock. */
    readonly sinceMs: number;
    /** CPU capacity that no run uses. */
    readonly freeCpu: number;
}

/** Record of a run, which is kept after the run has ended. */
export interface StartedRun {
    readonly task: string;
    readonly run: number;
    readonly startedAtMs: number;
    endedAtMs: number | undefined;
    /** `done`, `failed`, `stopped`, `lapsed`, `broken`, `alone` or `crashed`; undefined while the run is active. */
    how: string | undefined;
    /** A scheduler has acknowledged the end, and the executor's lease has not expired between the two. */
    endAcknowledged: boolean;
    /** When the order that began the run arrived. */
    readonly orderedAtMs: number;
    /** The order arrived in a former life of the executor, got no response, and was carried out late in this one. */
    readonly isFromFormerLife: boolean;
}

/** Simulated executor whose runs are timers. */
export interface ExecutorStandIn {
    readonly id: string;
    readonly address: string;
    readonly vm: string;
    setFault: (fault: ExecutorFault) => void;
    /** All runs in the order of their starts, also those from before a restart. */
    readonly started: readonly StartedRun[];
    /** Times of the restarts, in milliseconds of the monotonic clock. */
    readonly restartedAtMs: readonly number[];
    /** Number of run ends that no scheduler has acknowledged. */
    readonly unacknowledgedEnds: () => number;
    /** Number of starts that were rejected for want of a valid ticket. */
    readonly rejectedTickets: () => number;
    /** Highest CPU capacity that was in use at one time. */
    readonly peakCpu: () => number;
    /**
     * Simulates a crash and restart: all runs and connections end, the state is lost, and the executor registers again
     * under its id. Its clock starts anew, or goes on as one of the VM would.
     */
    readonly restart: (clock?: "starts-anew" | "goes-on") => void;
    /** Reports `draining`, ends after the time, and starts again under its id after the pause. */
    readonly drain: (remainingMs: number, pauseMs: number) => Promise<void>;
    /** Ends the executor for good, with all its runs, and removes its registration. */
    readonly leave: () => void;
    readonly status: () => ExecutorStatus;
    /** Removes the registration for good. Runs go on. */
    readonly unregister: () => void;
    readonly close: () => Promise<void>;
}

export interface ExecutorStandInOptions {
    readonly store: StoreStandIn;
    readonly id: string;
    readonly service: string;
    /** Run time of a task in milliseconds; infinite for a task that runs until it is stopped. */
    readonly runMs: (task: string) => number;
    readonly cpu?: number;
    /** VM on which the executor runs; named after the executor if undefined. */
    readonly vm?: string;
    /** Gangs whose members may run on several executors; none if undefined. */
    readonly gangs?: GangRuns | undefined;
    /** Path that carries the requests to this executor; unlimited if undefined. */
    readonly path?: NarrowPath | undefined;
    /** How a run that has worked for its time ends; `done` if undefined. */
    readonly outcomeOf?: ((task: string) => "done" | "failed") | undefined;
    /** Ticket that a start of the task must carry; none if undefined. */
    readonly ticketOf?: ((task: string, executor: string) => string | undefined) | undefined;
}

interface ExecutorRun extends StartedRun {
    timer: NodeJS.Timeout | undefined;
}

/** When an order arrived, and after how many restarts of the executor. */
interface OrderArrival {
    readonly atMs: number;
    readonly restarts: number;
}

interface RunEnd {
    readonly number: number;
    readonly run: ExecutorRun;
}

const startSchema = z.object({
    task: z.string(),
    run: z.number(),
    spec: z.string(),
    until_ms: z.number(),
    fence_token: z.number(),
    ticket: z.string().optional(),
});
const tokenSchema = z.object({ fence_token: z.number() });
const stopSchema = z.object({ task: z.string(), run: z.number(), fence_token: z.number() });
const holdSchema = z.object({
    fence_token: z.number(),
    last_seen: z.number(),
    until_ms: z.number().optional(),
    wait_ms: z.number().optional(),
});

const HEARTBEAT_MS = 500;
const DEFAULT_CPU = 4000;
const MEMORY_MB = 8000;
/** CPU demand of each task in the tests, in thousandths of a core. */
export const TASK_CPU = 1000;
// After this time a task that runs until it is stopped is at work.
const STARTUP_MS = 300;
const LEASE_CHECK_MS = 20;
// A longer lease is shortened to this length.
const MAX_LEASE_MS = 6000;
// Number of ends that a response lists at most.
const ENDS_PER_RESPONSE = 500;

/** Starts an executor, registers it in the store and keeps renewing the registration. */
export const startExecutorStandIn = async (options: ExecutorStandInOptions): Promise<ExecutorStandIn> => {
    const { store, id, service, runMs, cpu = DEFAULT_CPU, path, vm = `vm-${id}`, gangs } = options;
    const { outcomeOf = () => "done", ticketOf = () => undefined } = options;
    const started: ExecutorRun[] = [];
    const restartedAtMs: number[] = [];
    /** Highest run number that was started or stopped, by task. A start must name a higher one. */
    const highestRuns = new Map<string, number>();
    let active = new Map<string, ExecutorRun>();
    /** Ends that were not acknowledged yet. */
    let ends: RunEnd[] = [];
    let endCount = 0;
    /** Highest number of an end that a request has acknowledged; later ends up to it are discarded as well. */
    let acknowledgedEnd = 0;
    let highestToken = 0;
    let leaseEndMs = 0;
    /** When the lease was last seen to have expired. */
    let lastExpiryMs = 0;
    let born = Date.now();
    let clockStartMs = performance.now();
    let sequenceNumber = 0;
    let peakCapacity = 0;
    let rejectedTickets = 0;
    let fault: ExecutorFault = { kind: "none" };
    let state: ExecutorStatus["state"] = "ready";
    let stateSinceMs = performance.now();
    /** When a draining executor ends, in milliseconds of the monotonic clock. */
    let drainEndMs = 0;
    let hasLeft = false;
    /** Resolves the hold requests that wait for a run to end. */
    let waitingHolds: (() => void)[] = [];

    const clock = (): number => Math.round(performance.now() - clockStartMs);
    const clockFields = (): object => ({ clock_ms: clock(), born });
    const extendLease = (untilMs: number): void => {
        leaseEndMs = Math.max(leaseEndMs, Math.min(untilMs, clock() + MAX_LEASE_MS));
    };
    const wakeHolds = (): void => {
        const pending = waitingHolds;
        waitingHolds = [];
        pending.forEach(resume => resume());
    };
    const setState = (next: ExecutorStatus["state"]): void => {
        state = next;
        stateSinceMs = performance.now();
    };
    const acknowledgeEnds = (lastSeen: number): void => {
        acknowledgedEnd = Math.max(acknowledgedEnd, lastSeen);
        ends.filter(({ number }) => number <= acknowledgedEnd).forEach(({ run }) => {
            run.endAcknowledged = (run.endedAtMs ?? 0) > lastExpiryMs;
        });
        ends = ends.filter(({ number }) => number > acknowledgedEnd);
    };
    const endRun = (run: ExecutorRun, how: string): void => {
        if (run.how !== undefined) {
            return;
        }
        clearTimeout(run.timer);
        run.how = how;
        run.endedAtMs = performance.now();
        active.delete(run.task);
        endCount++;
        ends.push({ number: endCount, run });
        acknowledgeEnds(acknowledgedEnd);
        wakeHolds();
        gangs?.leave(run, how);
    };
    const beginWork = (run: ExecutorRun): void => {
        if (gangs?.join(run, how => endRun(run, how)) === true) {
            return;
        }
        const durationMs = fault.kind === "fails" ? 1 : runMs(run.task);
        if (Number.isFinite(durationMs)) {
            run.timer = setTimeout(
                () => endRun(run, fault.kind === "fails" ? "failed" : outcomeOf(run.task)),
                durationMs,
            );
        }
    };
    const beginRun = (task: string, number: number, arrival: OrderArrival): void => {
        const run: ExecutorRun = {
            task,
            run: number,
            startedAtMs: performance.now(),
            endedAtMs: undefined,
            how: undefined,
            endAcknowledged: false,
            orderedAtMs: arrival.atMs,
            isFromFormerLife: arrival.restarts < restartedAtMs.length,
            timer: undefined,
        };
        started.push(run);
        active.set(task, run);
        highestRuns.set(task, number);
        beginWork(run);
        peakCapacity = Math.max(peakCapacity, active.size * TASK_CPU);
    };
    const reject = (reason: string): JsonReply => reply(409, { ...clockFields(), reason });
    const handleStart = (body: unknown, arrival: OrderArrival): JsonReply => {
        const { task, run, until_ms: untilMs, fence_token: fencingToken, ticket } = startSchema.parse(body);
        if (fencingToken < highestToken) {
            return reject("fence");
        }
        highestToken = fencingToken;
        if (untilMs <= clock()) {
            return reject("late");
        }
        extendLease(untilMs);
        if (active.get(task)?.run === run) {
            return reply(200, clockFields());
        }
        if (run <= (highestRuns.get(task) ?? 0)) {
            return reject("old");
        }
        if (ticketOf(task, id) !== undefined && ticket !== ticketOf(task, id)) {
            rejectedTickets++;
            return reject("ticket");
        }
        beginRun(task, run, arrival);
        return reply(200, clockFields());
    };
    const handleStartWithFault = (body: unknown, arrival: OrderArrival): Promise<JsonReply> | JsonReply => {
        switch (fault.kind) {
            case "held-answer": {
                const { delayMs } = fault;
                fault = { kind: "none" };
                const answer = handleStart(body, arrival);
                return new Promise(resolve => setTimeout(() => resolve(answer), delayMs));
            }
            case "lost-answers":
                handleStart(body, arrival);
                return { kind: "disconnect" };
            case "late-starts":
                setTimeout(() => handleStart(body, arrival), fault.delayMs);
                return { kind: "disconnect" };
            case "none":
            case "fails":
            case "silent":
            case "cut-off":
            case "unreliable":
                return handleStart(body, arrival);
        }
    };
    const carryOutUnreliably = (
        carryOut: () => Promise<JsonReply> | JsonReply,
        outcome: RequestOutcome,
    ): Promise<JsonReply> | JsonReply => {
        switch (outcome.kind) {
            case "answered":
                return carryOut();
            case "lost-answer":
                void carryOut();
                return { kind: "disconnect" };
            case "late":
                setTimeout(() => {
                    if (state !== "gone") {
                        void carryOut();
                    }
                }, outcome.delayMs);
                return { kind: "disconnect" };
        }
    };
    const drawOutcome = (request: "order" | "hold"): RequestOutcome =>
        fault.kind === "unreliable" ? fault.drawOutcome(request) : { kind: "answered" };
    const handleStop = (body: unknown): JsonReply => {
        const { task, run, fence_token: fencingToken } = stopSchema.parse(body);
        if (fencingToken < highestToken) {
            return reject("fence");
        }
        highestToken = fencingToken;
        const activeRun = active.get(task);
        highestRuns.set(task, Math.max(highestRuns.get(task) ?? 0, run));
        if (activeRun?.run === run) {
            endRun(activeRun, "stopped");
        }
        return reply(200, clockFields());
    };
    const handleHold = async (body: unknown): Promise<JsonReply> => {
        const {
            fence_token: fencingToken,
            last_seen: lastSeen,
            until_ms: untilMs,
            wait_ms: waitMs = 0,
        } = holdSchema.parse(body);
        if (fencingToken < highestToken) {
            return reject("fence");
        }
        highestToken = fencingToken;
        extendLease(untilMs ?? 0);
        acknowledgeEnds(lastSeen);
        if (ends.length === 0 && waitMs > 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, waitMs);
                waitingHolds.push(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        if (state === "gone") {
            return { kind: "disconnect" };
        }
        return reply(200, {
            ...clockFields(),
            active: [...active.values()].map(run => [run.task, run.run, "", progressPercent(run, runMs), 0]),
            ended: ends.slice(0, ENDS_PER_RESPONSE).map(({ number, run }) => [number, run.task, run.run, run.how, ""]),
        });
    };
    const handle = (request: JsonRequest): Promise<JsonReply> | JsonReply => {
        if (state === "gone") {
            return { kind: "disconnect" };
        }
        if (fault.kind === "silent") {
            return { kind: "no-reply" };
        }
        if (fault.kind === "cut-off" && isCutOff(fault, tokenSchema.parse(request.body).fence_token)) {
            return { kind: "disconnect" };
        }
        if ((request.headers["expect-instance"] ?? id) !== id) {
            return reply(421);
        }
        switch (request.path) {
            case "/-/run-start": {
                const arrival = { atMs: performance.now(), restarts: restartedAtMs.length };
                return carryOutUnreliably(() => handleStartWithFault(request.body, arrival), drawOutcome("order"));
            }
            case "/-/run-stop":
                return carryOutUnreliably(() => handleStop(request.body), drawOutcome("order"));
            case "/-/hold":
                return carryOutUnreliably(() => handleHold(request.body), drawOutcome("hold"));
            default:
                return reply(404);
        }
    };
    const server = await startJsonServer(async request => {
        await path?.carry();
        return handle(request);
    });
    const register = (): void => {
        if (state === "gone") {
            return;
        }
        sequenceNumber++;
        store.put("servers", id, {
            service,
            address: server.address,
            zone: "dc-1",
            version: "v1",
            slots: 8,
            state,
            ...(state === "draining" ? { remaining_ms: Math.max(0, Math.round(drainEndMs - performance.now())) } : {}),
            cold_left_ms: 0,
            capacity: { cpu, mem_mb: MEMORY_MB, gpu: 0 },
            labels: ["a", "r1-1"],
            machine: vm,
            born,
            clock_ms: clock(),
            seq_no: sequenceNumber,
        });
    };
    register();
    const heartbeat = setInterval(register, HEARTBEAT_MS);
    const leaseCheck = setInterval(() => {
        if (clock() > leaseEndMs) {
            lastExpiryMs = performance.now();
            [...active.values()].forEach(run => endRun(run, "lapsed"));
        }
    }, LEASE_CHECK_MS);
    const crash = (): void => {
        const crashed = [...active.values()];
        active = new Map();
        crashed.forEach(run => {
            clearTimeout(run.timer);
            run.how = "crashed";
            run.endedAtMs = performance.now();
            gangs?.leave(run, "crashed");
        });
        highestRuns.clear();
        ends = [];
        endCount = 0;
        acknowledgedEnd = 0;
        highestToken = 0;
        leaseEndMs = 0;
        server.resetConnections();
    };
    const restart: ExecutorStandIn["restart"] = (clock = "starts-anew") => {
        crash();
        restartedAtMs.push(performance.now());
        // Two starts in one millisecond could not be told apart.
        born = Math.max(born + 1, Date.now());
        if (clock === "starts-anew") {
            clockStartMs = performance.now();
        }
        setState("ready");
        register();
        wakeHolds();
    };
    const goAway = (): void => {
        crash();
        setState("gone");
        store.remove("servers", id);
        wakeHolds();
    };
    return {
        id,
        address: server.address,
        vm,
        started,
        restartedAtMs,
        setFault: next => (fault = next),
        unacknowledgedEnds: () => ends.length,
        rejectedTickets: () => rejectedTickets,
        peakCpu: () => peakCapacity,
        restart,
        drain: async (remainingMs, pauseMs) => {
            drainEndMs = performance.now() + remainingMs;
            setState("draining");
            register();
            await sleep(remainingMs);
            // The VM may have been moved in the meantime.
            if (hasLeft) {
                return;
            }
            goAway();
            await sleep(pauseMs);
            restart();
        },
        leave: () => {
            hasLeft = true;
            clearInterval(heartbeat);
            goAway();
        },
        status: () => ({ state, sinceMs: stateSinceMs, freeCpu: cpu - active.size * TASK_CPU }),
        unregister: () => {
            clearInterval(heartbeat);
            store.remove("servers", id);
        },
        close: async () => {
            clearInterval(heartbeat);
            clearInterval(leaseCheck);
            active.forEach(run => clearTimeout(run.timer));
            wakeHolds();
            await server.close();
        },
    };
};

const isCutOff = ({ fromToken, toToken = Infinity }: CutOff, token: number): boolean =>
    token >= fromToken && token <= toToken;

const progressPercent = (run: StartedRun, runMs: (task: string) => number): number =>
    Math.min(100, Math.round(((performance.now() - run.startedAtMs) / workMs(runMs(run.task))) * 100));

const workMs = (durationMs: number): number => (Number.isFinite(durationMs) ? durationMs : STARTUP_MS);
