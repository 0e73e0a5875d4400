import { applyReport } from "@almondusher/scheduler/apply-report";
import {
    acknowledgedEnd,
    applyAcceptedStart,
    applyAcceptedStop,
    endIncarnation,
    endToAcknowledge,
    incarnationStart,
    markUnanswered,
    observeIncarnation,
} from "@almondusher/scheduler/executor-incarnation";
import { areRunsRead } from "@almondusher/scheduler/inherited-runs";
import { mayReceiveLateStart } from "@almondusher/scheduler/inherited-starts";
import { isClockReadingOld, leaseUntil } from "@almondusher/scheduler/lease-time";
import { recordUnansweredRequest } from "@almondusher/scheduler/lost-requests";
import type { Executor, OrphanedRun, PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { forgetRun } from "@almondusher/scheduler/run-table";
import { runsOfExecutor } from "./run-relation.js";
import type { SimulatedWork } from "./simulated-executor.js";
import type { CallResult, SimulatedNetwork } from "./simulated-network.js";
import type { SimulatedTime } from "./simulated-time.js";

/** Connection to one executor, which calls the functions of the scheduler as the dispatcher does. */
export interface SimulatedConnection {
    readonly start: (run: Run) => void;
    readonly stop: (run: Run) => void;
    readonly stopOrphanedRun: (orphanedRun: OrphanedRun) => void;
    readonly pollNow: () => void;
    readonly close: () => void;
    /** True while the start request of the run may still be answered. */
    readonly isStartOutstanding: (run: Run) => boolean;
}

export interface SimulatedConnectionOptions {
    readonly time: SimulatedTime;
    readonly network: SimulatedNetwork;
    readonly tables: PoolTables;
    readonly executor: Executor;
    readonly vm: number;
    readonly mayHaveSuccessor: () => boolean;
    /** False if the pool lease was not renewed for too long. */
    readonly mayExtendLeases: () => boolean;
    readonly onEnds: (executor: Executor) => void;
    readonly onChange: () => void;
}

/** An order, whose outcome is passed on with the start of the executor that has responded. */
type SimulatedOrder = Pick<Parameters<SimulatedNetwork["send"]>[0], "kind" | "label" | "execute"> & {
    readonly done: (result: CallResult, startedAtMs: number | undefined) => void;
};

/** Time after which an order without a response ends as unknown, in milliseconds. */
const ORDER_TIMEOUT_MS = 350;
const REPORT_TIMEOUT_MARGIN_MS = 450;
const REPORT_LONG_POLL_MS = 700;
const RETRY_DELAY_MS = 250;
const IDLE_POLL_MS = 60_000;
const UNREACHABLE_POLL_MS = 1000;
const BACKOFF_AFTER_REJECTION_MS = 700;
const BACKOFF_AFTER_UNANSWERED_START_MS = 1500;
const FAILED_POLLS_UNTIL_UNREACHABLE = 2;

/** Opens the connection and polls the executor for as long as the dispatcher would. */
export const openSimulatedConnection = (options: SimulatedConnectionOptions): SimulatedConnection => {
    const { time, network, tables, executor, vm } = options;
    const { id } = executor;
    const outstandingStarts = new Set<Run>();
    let closed = false;
    let failedPolls = 0;
    let pollRequested = false;
    let cancelWait: (() => void) | undefined;
    /** Executor that has responded on the connection for each kind of call, by its start; undefined before one has. */
    const connectedTo: Record<"orders" | "polls", number | undefined> = { orders: undefined, polls: undefined };
    /** Passes on the result of a call; a connection on which a call gets no response is closed. */
    const receive =
        (connection: "orders" | "polls", done: (result: CallResult) => void) =>
        (result: CallResult): void => {
            if (result.kind === "unknown" || result.kind === "not-sent") {
                connectedTo[connection] = undefined;
            }
            if (result.kind === "report") {
                connectedTo[connection] = result.report.startedAtMs;
            }
            done(result);
        };
    const closeIfOther = (connection: "orders" | "polls", incarnation: number | undefined): void => {
        if (connectedTo[connection] !== incarnation) {
            connectedTo[connection] = undefined;
        }
    };
    const sendOrder = ({ done, ...order }: SimulatedOrder): void => {
        const incarnation = incarnationStart(executor);
        const sentAtMs = time.nowMs();
        const call = { vm, id, timeoutMs: ORDER_TIMEOUT_MS };
        const send = (): void => {
            const startedAtMs = connectedTo.orders;
            const receiveAnswer = receive("orders", result => done(result, startedAtMs));
            network.send({ ...order, ...call, connectedTo: startedAtMs, done: receiveAnswer });
        };
        closeIfOther("orders", incarnation);
        if (connectedTo.orders !== undefined) {
            send();
            return;
        }
        network.send({
            ...call,
            kind: "report",
            label: `identification of ${id}`,
            connectedTo: undefined,
            execute: (simulated, respond) =>
                simulated.report({ token: tables.token, acknowledged: 0, untilMs: undefined, waitMs: 0 }, respond),
            done: receive("orders", result => {
                if (result.kind !== "report") {
                    done(result.kind === "unknown" ? { kind: "not-sent" } : result, undefined);
                    return;
                }
                const { clockMs, startedAtMs } = result.report;
                observeIncarnation(executor, { clockMs, startedAtMs, sentAtMs, receivedAtMs: time.nowMs() });
                if (startedAtMs === incarnation) {
                    send();
                } else {
                    done({ kind: "not-sent" }, undefined);
                }
            }),
        });
    };

    const pollNow = (): void => {
        pollRequested = true;
        cancelWait?.();
    };
    const waitForPollRequest = (delayMs: number, next: () => void): void => {
        if (pollRequested) {
            pollRequested = false;
            next();
            return;
        }
        let isOver = false;
        const resume = (): void => {
            if (!isOver) {
                isOver = true;
                cancelWait = undefined;
                pollRequested = false;
                next();
            }
        };
        cancelWait = resume;
        time.after(delayMs, resume);
    };
    const permittedLeaseUntil = (): number | undefined =>
        options.mayExtendLeases() ? leaseUntil(executor, time.nowMs(), tables.runLeaseMs) : undefined;
    const extendRunLeases = (): number | undefined => {
        if (!areRunsRead(executor) || failedPolls > 0 || runsOfExecutor(executor).length === 0) {
            return undefined;
        }
        const until = permittedLeaseUntil();
        executor.leaseUntilMs = Math.max(executor.leaseUntilMs, until ?? 0);
        return until;
    };
    const isReportUrgent = (): boolean =>
        !executor.reconciled ||
        executor.hasUnreadEnds ||
        failedPolls > 0 ||
        executor.lastStoredEnd < executor.lastAppliedEnd ||
        runsOfExecutor(executor).some(({ phase }) => phase === "unsettled");
    const pollReport = (): void => {
        const sentAtMs = time.nowMs();
        const { incarnation } = executor;
        closeIfOther("polls", incarnationStart(executor));
        const isIdentified = connectedTo.polls !== undefined;
        const acknowledged = isIdentified && options.mayExtendLeases() ? endToAcknowledge(executor) : 0;
        const untilMs = isIdentified ? extendRunLeases() : undefined;
        const waitMs = !isIdentified || isReportUrgent() ? 0 : REPORT_LONG_POLL_MS;
        network.send({
            kind: "report",
            label: `report of ${id}`,
            vm,
            id,
            timeoutMs: waitMs + REPORT_TIMEOUT_MARGIN_MS,
            execute: (simulated, respond) =>
                simulated.report({ token: tables.token, acknowledged, untilMs, waitMs }, respond),
            connectedTo: connectedTo.polls,
            done: receive("polls", result => {
                if (closed) {
                    return;
                }
                switch (result.kind) {
                    case "report": {
                        failedPolls = 0;
                        if (executor.incarnation === incarnation) {
                            executor.lastAcknowledgedEnd = Math.max(executor.lastAcknowledgedEnd, acknowledged);
                        }
                        applyReport(tables, executor, result.report, { sentAtMs, receivedAtMs: time.nowMs() });
                        options.onEnds(executor);
                        options.onChange();
                        poll();
                        return;
                    }
                    case "rejected":
                        handleRejection(result.reason);
                        if (result.reason !== "fence") {
                            recordFailedPoll(sentAtMs);
                        }
                        time.after(RETRY_DELAY_MS, poll);
                        return;
                    case "accepted":
                        throw new Error("a report request is not answered as an order");
                    case "not-sent":
                    case "unknown":
                        if (result.kind === "unknown") {
                            recordUnansweredRequest(executor, {
                                ...(untilMs === undefined ? {} : { leaseSentAtMs: sentAtMs }),
                                ...(acknowledged === 0 ? {} : { acknowledgementSentAtMs: sentAtMs }),
                            });
                        }
                        recordFailedPoll(sentAtMs);
                        if (failedPolls >= FAILED_POLLS_UNTIL_UNREACHABLE) {
                            time.after(RETRY_DELAY_MS, poll);
                            return;
                        }
                        poll();
                }
            }),
        });
    };
    const recordFailedPoll = (sentAtMs: number): void => {
        failedPolls++;
        executor.unansweredPollSentAtMs = sentAtMs;
        if (failedPolls >= FAILED_POLLS_UNTIL_UNREACHABLE) {
            executor.reachable = false;
            options.onChange();
        }
    };
    const handleRejection = (reason: (CallResult & { kind: "rejected" })["reason"]): void => {
        if (reason === "other-life") {
            endIncarnation(executor, time.nowMs());
            executor.reachable = false;
            executor.reconciled = !executor.registered;
        } else if (reason !== "fence") {
            executor.backoffUntilMs = Math.max(executor.backoffUntilMs, time.nowMs() + BACKOFF_AFTER_REJECTION_MS);
        }
    };
    const needsPolling = (): boolean =>
        options.mayHaveSuccessor() ||
        mayReceiveLateStart(tables, executor, time.nowMs()) ||
        !executor.reconciled ||
        executor.hasUnreadEnds ||
        runsOfExecutor(executor).length > 0 ||
        executor.orphanedRuns.length > 0 ||
        executor.lastAcknowledgedEnd < executor.lastAppliedEnd;
    const wouldRepeatEnds = (): boolean =>
        acknowledgedEnd(executor) < executor.lastAppliedEnd || !options.mayExtendLeases();
    const pollDelayMs = (): number => {
        if (needsPolling()) {
            return areRunsRead(executor) && failedPolls === 0 && wouldRepeatEnds() ? REPORT_LONG_POLL_MS : 0;
        }
        return executor.reachable ? IDLE_POLL_MS : UNREACHABLE_POLL_MS;
    };
    const pollIfNeeded = (): void => {
        const isReadingOldSoon = isClockReadingOld(executor, time.nowMs() + IDLE_POLL_MS, tables.runLeaseMs);
        if (!closed && (needsPolling() || !executor.reachable || isReadingOldSoon)) {
            pollReport();
        } else {
            poll();
        }
    };
    const poll = (): void => {
        if (closed) {
            return;
        }
        const delayMs = pollDelayMs();
        if (delayMs > 0) {
            waitForPollRequest(delayMs, pollIfNeeded);
        } else {
            pollIfNeeded();
        }
    };
    const observeClock = (clockMs: number | undefined, startedAtMs: number | undefined, sentAtMs: number): void => {
        if (clockMs !== undefined) {
            observeIncarnation(executor, { clockMs, startedAtMs, sentAtMs, receivedAtMs: time.nowMs() });
        }
    };
    const applyStartResult = (
        run: Run,
        result: CallResult,
        startedAtMs: number | undefined,
        sentAtMs: number,
    ): void => {
        const nowMs = time.nowMs();
        switch (result.kind) {
            case "accepted":
                applyAcceptedStart(tables, run, {
                    clockMs: result.clockMs,
                    startedAtMs,
                    sentAtMs,
                    receivedAtMs: nowMs,
                });
                return;
            case "rejected": {
                const isOwnReadingOld = isClockReadingOld(executor, sentAtMs, tables.runLeaseMs);
                observeClock(result.clockMs, startedAtMs, sentAtMs);
                forgetRun(run);
                if (!(result.reason === "late" && isOwnReadingOld)) {
                    handleRejection(result.reason);
                }
                return;
            }
            case "not-sent":
                forgetRun(run);
                executor.backoffUntilMs = nowMs + BACKOFF_AFTER_UNANSWERED_START_MS;
                return;
            case "unknown":
                markUnanswered(run, nowMs);
                executor.backoffUntilMs = nowMs + BACKOFF_AFTER_UNANSWERED_START_MS;
                return;
            case "report":
                throw new Error("an order is not answered with a report");
        }
    };
    time.after(0, poll);
    return {
        start: run => {
            const untilMs = permittedLeaseUntil();
            if (untilMs === undefined) {
                forgetRun(run);
                return;
            }
            executor.leaseUntilMs = Math.max(executor.leaseUntilMs, untilMs);
            run.startValidUntilMs = untilMs;
            const sentAtMs = time.nowMs();
            outstandingStarts.add(run);
            sendOrder({
                kind: "start",
                label: `start of run ${run.number} of ${run.task.id} on ${id}`,
                execute: (simulated, respond) =>
                    respond(
                        simulated.start({
                            token: tables.token,
                            task: run.task.id,
                            run: run.number,
                            untilMs,
                            work: workOf(run),
                        }),
                    ),
                done: (result, startedAtMs) => {
                    outstandingStarts.delete(run);
                    applyStartResult(run, result, startedAtMs, sentAtMs);
                    pollNow();
                    options.onChange();
                },
            });
        },
        stop: run => {
            const sentAtMs = time.nowMs();
            sendOrder({
                kind: "stop",
                label: `stop of run ${run.number} of ${run.task.id} on ${id}`,
                execute: (simulated, respond) =>
                    respond(simulated.stop({ token: tables.token, task: run.task.id, run: run.number })),
                done: (result, startedAtMs) => {
                    if (result.kind === "accepted") {
                        applyAcceptedStop(run, {
                            clockMs: result.clockMs,
                            startedAtMs,
                            sentAtMs,
                            receivedAtMs: time.nowMs(),
                        });
                    }
                    pollNow();
                    options.onChange();
                },
            });
        },
        stopOrphanedRun: ({ task, number }) =>
            sendOrder({
                kind: "stop",
                label: `stop of orphaned run ${number} of ${task} on ${id}`,
                execute: (simulated, respond) => respond(simulated.stop({ token: tables.token, task, run: number })),
                done: () => {
                    pollNow();
                    options.onChange();
                },
            }),
        pollNow,
        close: () => {
            closed = true;
            pollNow();
        },
        isStartOutstanding: run => outstandingStarts.has(run),
    };
};

const workOf = ({ task }: Run): SimulatedWork => {
    const { step, id } = task.step;
    return {
        demand: step.demand,
        kind: step.gang ? "gang" : step.longRunning ? "long-running" : "plain",
        workMs: step.estimateMs,
        size: step.count,
        stepId: id,
    };
};
