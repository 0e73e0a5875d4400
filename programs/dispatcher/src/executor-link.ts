import type { PoolTables, Executor, Run, StrayRun } from "@almondusher/scheduler/pool-tables";
import { forgetRun } from "@almondusher/scheduler/pool-tables";
import { acknowledgedEnd, confirmStart, endLife, noteLife } from "@almondusher/scheduler/executor-life";
import { leaseUntil } from "@almondusher/scheduler/lease-time";
import { applyReport, type AppliedEnd } from "@almondusher/scheduler/settle-run";
import {
    createExecutorClient,
    type ExecutorClient,
    type OrderRejection,
    type OrderResult,
} from "@almondusher/platform-adapter/executor-client";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";

/** Connection of a pool's scheduler with one executor. */
export interface ExecutorLink {
    readonly start: (run: Run, ticket: string | undefined) => Promise<void>;
    readonly stop: (run: Run) => Promise<void>;
    readonly stopStray: (stray: StrayRun) => Promise<void>;
    readonly pace: (run: Run, percent: number) => Promise<void>;
    /** Looks again at the executor's runs without waiting for the next turn. */
    readonly wake: () => void;
    readonly close: () => void;
}

/** What a link reports to its pool. */
export interface LinkOwner {
    readonly tables: PoolTables;
    /** False once the lease was not renewed for too long; leases of runs are then not extended. */
    readonly mayExtend: () => boolean;
    readonly ended: (executor: Executor, ends: readonly AppliedEnd[]) => void;
    readonly changed: () => void;
    /** The executor did not take the permission that came with a start. */
    readonly ticketRejected: (run: Run) => void;
    /** An executor has seen a higher fencing token. */
    readonly fenced: () => void;
}

/** Options of a link. */
export interface ExecutorLinkOptions {
    readonly context: DispatcherContext;
    readonly owner: LinkOwner;
    readonly executor: Executor;
    /** Length of the leases of runs. */
    readonly leaseMs: number;
}

const REPORT_WAIT_MS = 700;
const RETRY_MS = 250;
const IDLE_LOOK_MS = 60_000;
// An executor out of reach takes work again as soon as it has answered.
const UNREACHABLE_LOOK_MS = 1000;
const AVOID_UNHEALTHY_MS = 700;
const AVOID_UNREACHABLE_MS = 1500;
const AVOID_FULL_MS = 300;
// A missed report is repeated once at once before the executor counts as unreachable.
const MISSES_UNTIL_UNREACHABLE = 2;

/** Opens the link; it reads the executor's runs at once, and goes on while there are any. */
export const openExecutorLink = ({ context, owner, executor, leaseMs }: ExecutorLinkOptions): ExecutorLink => {
    const { tables } = owner;
    let client: ExecutorClient = createClient(executor, tables.token);
    let clientAddress = executor.record.address;
    let closed = false;
    let misses = 0;
    let wakeUp: (() => void) | undefined;
    let woken = false;

    const currentClient = (): ExecutorClient => {
        if (clientAddress !== executor.record.address) {
            client.close();
            clientAddress = executor.record.address;
            client = createClient(executor, tables.token);
        }
        return client;
    };
    const wake = (): void => {
        woken = true;
        wakeUp?.();
    };
    const waitForWake = async (ms: number): Promise<void> => {
        if (woken) {
            woken = false;
            return;
        }
        await new Promise<void>(resolve => {
            const timer = setTimeout(resolve, ms);
            wakeUp = () => {
                clearTimeout(timer);
                resolve();
            };
        });
        wakeUp = undefined;
        woken = false;
    };
    const extendTo = (): number | undefined => {
        if (!owner.mayExtend() || !executor.inspected || misses > 0 || executor.runs.size === 0) {
            return undefined;
        }
        const until = leaseUntil(executor, context.steadyMs(), leaseMs);
        executor.leaseUntilMs = Math.max(executor.leaseUntilMs, until ?? 0);
        return until;
    };
    const look = async (): Promise<void> => {
        const sentAtMs = context.steadyMs();
        context.metrics.count("executor_reports");
        const result = await currentClient().report({
            // A successor may not have read yet what was stored after the lease could have been taken over.
            acknowledged: owner.mayExtend() ? acknowledgedEnd(executor) : 0,
            leaseUntilMs: extendTo(),
            waitMs: executor.inspected && misses === 0 && executor.storedEnd >= executor.seenEnd ? REPORT_WAIT_MS : 0,
        });
        if (closed) {
            return;
        }
        switch (result.kind) {
            case "report": {
                const receivedAtMs = context.steadyMs();
                misses = 0;
                const ends = applyReport(tables, executor, result.report, { sentAtMs, receivedAtMs });
                owner.ended(executor, ends);
                owner.changed();
                return;
            }
            case "rejected":
                reject(result.reason);
                await sleep(RETRY_MS);
                return;
            case "unreachable":
                misses++;
                if (misses >= MISSES_UNTIL_UNREACHABLE) {
                    noteUnreachable(result.reason);
                    await sleep(RETRY_MS);
                }
                return;
        }
    };
    const noteUnreachable = (reason: string): void => {
        if (executor.reachable) {
            context.log("executor-unreachable", {
                pool: tables.pool,
                executor: executor.id,
                reason,
                runs: executor.runs.size,
            });
            context.metrics.count("executors_unreachable");
        }
        executor.reachable = false;
        owner.changed();
    };
    const reject = (reason: OrderRejection): void => {
        switch (reason) {
            case "fenced":
                owner.fenced();
                break;
            case "other-life":
                // Another executor has the address, so this one has ended.
                endLife(executor, context.steadyMs());
                executor.reachable = false;
                executor.inspected = !executor.registered;
                break;
            case "unhealthy":
            case "superseded":
            case "expired":
            case "no-room":
            case "ticket":
            case "invalid":
                executor.avoidUntilMs = Math.max(executor.avoidUntilMs, context.steadyMs() + AVOID_UNHEALTHY_MS);
                break;
        }
    };
    const isBusy = (): boolean =>
        !executor.inspected ||
        executor.runs.size > 0 ||
        executor.strays.length > 0 ||
        executor.storedEnd < executor.seenEnd;
    // Ends that are not stored or may not be acknowledged yet would be listed again at once.
    const listsOldEnds = (): boolean => acknowledgedEnd(executor) < executor.seenEnd || !owner.mayExtend();
    const pauseBeforeLook = (): number => {
        if (isBusy()) {
            return executor.inspected && misses === 0 && listsOldEnds() ? REPORT_WAIT_MS : 0;
        }
        return executor.reachable ? IDLE_LOOK_MS : UNREACHABLE_LOOK_MS;
    };
    const watch = async (): Promise<void> => {
        while (!closed) {
            const pauseMs = pauseBeforeLook();
            if (pauseMs > 0) {
                await waitForWake(pauseMs);
            }
            if (!closed && (isBusy() || !executor.reachable)) {
                await look();
            }
        }
    };
    const settleStart = (run: Run, result: OrderResult, sentAtMs: number): void => {
        const nowMs = context.steadyMs();
        switch (result.kind) {
            case "accepted":
                hear(result.clockMs, sentAtMs);
                confirmStart(tables, run, nowMs);
                return;
            case "rejected":
                hear(result.clockMs, sentAtMs);
                forgetRun(run);
                logRejection(run, result.reason);
                if (result.reason === "ticket") {
                    owner.ticketRejected(run);
                } else if (result.reason === "no-room") {
                    executor.avoidUntilMs = nowMs + AVOID_FULL_MS;
                } else {
                    reject(result.reason);
                }
                return;
            case "not-sent":
                forgetRun(run);
                executor.avoidUntilMs = nowMs + AVOID_UNREACHABLE_MS;
                logRejection(run, result.reason);
                return;
            case "unknown":
                run.phase = run.phase === "starting" ? "unsettled" : run.phase;
                executor.avoidUntilMs = nowMs + AVOID_UNREACHABLE_MS;
                logRejection(run, result.reason);
                return;
        }
    };
    const hear = (clockMs: number | undefined, sentAtMs: number): void => {
        if (clockMs !== undefined) {
            noteLife(executor, { clockMs, bornMs: undefined, sentAtMs, receivedAtMs: context.steadyMs() });
        }
    };
    const logRejection = (run: Run, reason: string): void => {
        context.metrics.count("starts_not_accepted");
        context.log("start-not-accepted", { task: run.task.id, run: run.number, executor: executor.id, reason });
    };
    void watch();
    return {
        wake,
        start: async (run, ticket) => {
            const leaseUntilMs = leaseUntil(executor, context.steadyMs(), leaseMs);
            if (leaseUntilMs === undefined) {
                forgetRun(run);
                return;
            }
            executor.leaseUntilMs = Math.max(executor.leaseUntilMs, leaseUntilMs);
            context.metrics.count("starts");
            const sentAtMs = context.steadyMs();
            const result = await currentClient().start({
                task: run.task.id,
                run: run.number,
                spec: run.task.step.job.job.spec,
                checkpoint: run.task.checkpoint,
                leaseUntilMs,
                ticket,
            });
            settleStart(run, result, sentAtMs);
            wake();
            owner.changed();
        },
        stop: async run => {
            context.metrics.count("stops");
            const sentAtMs = context.steadyMs();
            const result = await currentClient().stop(run.task.id, run.number);
            if (result.kind === "accepted") {
                hear(result.clockMs, sentAtMs);
                run.confirmedAtMs = context.steadyMs();
            } else if (result.kind === "rejected" && result.reason === "fenced") {
                owner.fenced();
            }
            wake();
        },
        stopStray: async stray => {
            await currentClient().stop(stray.task, stray.number);
            wake();
        },
        pace: async (run, percent) => {
            const before = run.pace;
            // Set before the answer, so that the next plan doesn't order it again.
            run.pace = percent;
            const result = await currentClient().pace(run.task.id, run.number, percent);
            if (result.kind !== "accepted" && run.pace === percent) {
                run.pace = before;
            }
        },
        close: () => {
            closed = true;
            wake();
            client.close();
        },
    };
};

const createClient = (executor: Executor, fencingToken: number): ExecutorClient =>
    createExecutorClient({ id: executor.id, address: executor.record.address, fencingToken });
