import type { RunReport } from "@almondusher/jobs/executor";
import type { PoolTables, Executor, Run, OrphanedRun } from "@almondusher/scheduler/pool-tables";
import { forgetRun } from "@almondusher/scheduler/run-table";
import {
    acknowledgedEnd,
    applyAcceptedStop,
    endIncarnation,
    endToAcknowledge,
    incarnationStart,
    observeIncarnation,
} from "@almondusher/scheduler/executor-incarnation";
import { isClockReadingOld, leaseUntil } from "@almondusher/scheduler/lease-time";
import { recordUnansweredRequest } from "@almondusher/scheduler/lost-requests";
import { applyReport, type AppliedEnd, type ReportTimes } from "@almondusher/scheduler/apply-report";
import { areRunsRead } from "@almondusher/scheduler/inherited-runs";
import { mayReceiveLateStart } from "@almondusher/scheduler/inherited-starts";
import {
    createExecutorClient,
    type ExecutorClient,
    type OrderRejection,
    type OrderResult,
    type ReportRequest,
    type ReportResult,
    type RunReference,
} from "@almondusher/platform-adapter/executor-client";
import { createErrorReporter, repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import type { OrderLoad } from "./order-load.js";
import type { OrderWindow } from "./order-window.js";
import { BACKOFF_AFTER_REJECTION_MS, createStartOutcomes } from "./start-outcomes.js";

/** Connection from a pool's scheduler to one executor: sends orders and polls the executor's reports. */
export interface ExecutorConnection {
    readonly start: (run: Run, ticket: string | undefined) => Promise<void>;
    readonly stop: (run: Run) => Promise<void>;
    readonly stopOrphanedRun: (orphanedRun: OrphanedRun) => Promise<void>;
    readonly setPace: (run: Run, percent: number) => Promise<void>;
    /** Ends the wait before the next poll. It requests no report if there is nothing to poll for. */
    readonly pollNow: () => void;
    readonly close: () => void;
}

/** The pool scheduler as seen by its connections. */
export interface ExecutorConnectionOwner {
    readonly tables: PoolTables;
    /**
     * False if the pool lease is lost, was not renewed for too long, or was not renewed since an executor has seen a higher
     * fencing token; run leases must not be extended then.
     */
    readonly mayExtendLeases: () => boolean;
    /**
     * True while this scheduler may act although a successor may exist. Idle executors are polled then too: one that the
     * successor has read rejects the poll, and one that has restarted is noticed.
     */
    readonly mayHaveSuccessor: () => boolean;
    /** Called with the run ends that a report contains for the first time. */
    readonly ended: (executor: Executor, ends: readonly AppliedEnd[]) => void;
    /** Called when the executor's state has changed or an order has ended, so that a pass may have orders to send. */
    readonly changed: () => void;
    /** Called when an executor answers that the row of the pool lease marks as not read; the mark should be removed. */
    readonly markedExecutorAnswered: () => void;
    /** Called when the executor has rejected the ticket of a start. */
    readonly ticketRejected: (run: Run) => void;
    /** Called when the executor has seen a higher fencing token than that of this scheduler. */
    readonly fenced: () => void;
}

export interface ExecutorConnectionOptions {
    readonly context: DispatcherContext;
    readonly owner: ExecutorConnectionOwner;
    readonly executor: Executor;
    readonly orderLoad: OrderLoad;
    readonly orderWindow: OrderWindow;
}

const REPORT_LONG_POLL_MS = 700;
const RETRY_DELAY_MS = 250;
// While a late start may reach a new incarnation, it has to be noticed before.
const RETRY_DELAY_FOR_LATE_START_MS = 50;
const IDLE_POLL_MS = 60_000;
// An unreachable executor is polled, because it can be used again once it answers; an idle reachable one only for its clock.
const UNREACHABLE_POLL_MS = 1000;
// The first failed poll is retried immediately before the executor is considered unreachable.
const FAILED_POLLS_UNTIL_UNREACHABLE = 2;

/**
 * Opens the connection. It reads the executor's runs immediately, and keeps polling while there are any, while run ends
 * are not acknowledged yet and while the executor is unreachable.
 */
export const openExecutorConnection = ({
    context,
    owner,
    executor,
    orderLoad,
    orderWindow,
}: ExecutorConnectionOptions): ExecutorConnection => {
    const { tables } = owner;
    const createClient = (): ExecutorClient =>
        createExecutorClient({
            id: executor.id,
            address: executor.record.address,
            fencingToken: tables.token,
            monotonicMs: context.monotonicMs,
            identified: evidence => {
                if (!closed) {
                    observeIncarnation(executor, evidence);
                }
            },
        });
    let client = createClient();
    let clientAddress = executor.record.address;
    let closed = false;
    let failedPolls = 0;
    let cancelWait: (() => void) | undefined;
    let pollRequested = false;

    const reportError = createErrorReporter({ context, part: "executor-calls" });
    const currentClient = (): ExecutorClient => {
        if (clientAddress !== executor.record.address) {
            const replacement = createClient();
            client.close();
            client = replacement;
            clientAddress = executor.record.address;
        }
        return client;
    };
    const pollNow = (): void => {
        pollRequested = true;
        cancelWait?.();
    };
    const waitForPollRequest = async (ms: number): Promise<void> => {
        if (pollRequested) {
            pollRequested = false;
            return;
        }
        await new Promise<void>(resolve => {
            const timer = setTimeout(resolve, ms);
            cancelWait = () => {
                clearTimeout(timer);
                resolve();
            };
        });
        cancelWait = undefined;
        pollRequested = false;
    };
    // End of a lease that is granted now; undefined if none may be granted. The clock is read before the check, since the
    // process may be paused after it: then a lease ends as if it had been granted before the pause.
    const permittedLeaseUntil = (): number | undefined => {
        if (executor.isMarkedUnread) {
            return undefined;
        }
        executor.wasRead = true;
        const until = leaseUntil(executor, context.monotonicMs(), tables.runLeaseMs);
        return owner.mayExtendLeases() ? until : undefined;
    };
    // Extends the leases of all runs and returns their new end, which is sent with a report request; undefined if none
    // is extended.
    const extendRunLeases = (): number | undefined => {
        if (!areRunsRead(executor) || failedPolls > 0 || executor.runs.size === 0) {
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
        [...executor.runs.values()].some(({ phase }) => phase === "unsettled");
    // A request that fails in this process counts as one without an answer.
    const requestReport = async (request: ReportRequest): Promise<ReportResult> => {
        try {
            return await currentClient().report(request);
        } catch (error) {
            reportError(error);
            return { kind: "unreachable", reason: String(error), mayArrive: true };
        }
    };
    const pollReport = async (): Promise<void> => {
        const sentAtMs = context.monotonicMs();
        const { incarnation } = executor;
        // Once another process may have acquired the lease, run ends are not acknowledged: the new scheduler may have read
        // the stored progress before they were added, and still needs the executor to report them.
        const acknowledged = owner.mayExtendLeases() ? endToAcknowledge(executor) : 0;
        const leaseUntilMs = extendRunLeases();
        context.metrics.count("executor_reports");
        const result = await requestReport({
            incarnation: incarnationStart(executor),
            acknowledged,
            leaseUntilMs,
            waitMs: isReportUrgent() ? 0 : REPORT_LONG_POLL_MS,
        });
        if (closed) {
            return;
        }
        switch (result.kind) {
            case "report": {
                const receivedAtMs = context.monotonicMs();
                failedPolls = 0;
                if (executor.isMarkedUnread) {
                    executor.reachable = true;
                    owner.markedExecutorAnswered();
                    await waitForPollRequest(RETRY_DELAY_MS);
                    return;
                }
                if (executor.incarnation === incarnation) {
                    executor.lastAcknowledgedEnd = Math.max(executor.lastAcknowledgedEnd, result.acknowledged);
                }
                owner.ended(executor, applyEnds(result.report, { sentAtMs, receivedAtMs }));
                owner.changed();
                return;
            }
            case "rejected":
                handleRejection(result.reason);
                // The leases of the runs on a fenced executor are extended by the successor.
                if (result.reason !== "fenced") {
                    recordFailedPoll(sentAtMs, result.reason);
                }
                await sleep(RETRY_DELAY_MS);
                return;
            case "unreachable":
                if (result.mayArrive) {
                    recordUnansweredRequest(executor, {
                        ...(leaseUntilMs === undefined ? {} : { leaseSentAtMs: sentAtMs }),
                        ...(acknowledged === 0 ? {} : { acknowledgementSentAtMs: sentAtMs }),
                    });
                }
                recordFailedPoll(sentAtMs, result.reason);
                if (failedPolls >= FAILED_POLLS_UNTIL_UNREACHABLE) {
                    await sleep(mayLateStartArrive() ? RETRY_DELAY_FOR_LATE_START_MS : RETRY_DELAY_MS);
                }
                return;
        }
    };
    // After an error, the ends count as not applied, so that they are passed to the owner with the next report.
    const applyEnds = (report: RunReport, times: ReportTimes): readonly AppliedEnd[] => {
        const { incarnation, lastAppliedEnd } = executor;
        try {
            return applyReport(tables, executor, report, times);
        } catch (error) {
            executor.lastAppliedEnd = executor.incarnation === incarnation ? lastAppliedEnd : 0;
            throw error;
        }
    };
    // An executor that rejects a poll tells as little of its runs as one that does not respond.
    const recordFailedPoll = (sentAtMs: number, reason: string): void => {
        failedPolls++;
        executor.unansweredPollSentAtMs = sentAtMs;
        if (failedPolls >= FAILED_POLLS_UNTIL_UNREACHABLE) {
            markUnreachable(reason);
        }
    };
    const markUnreachable = (reason: string): void => {
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
    const handleRejection = (reason: OrderRejection): void => {
        switch (reason) {
            case "fenced":
                owner.fenced();
                break;
            case "other-life":
                // Another executor process uses the address now, so this one has ended.
                endIncarnation(executor, context.monotonicMs());
                executor.reachable = false;
                executor.reconciled = !executor.registered;
                break;
            case "unhealthy":
            case "superseded":
            case "expired":
            case "no-room":
            case "ticket":
            case "invalid":
                backOff(BACKOFF_AFTER_REJECTION_MS);
                break;
        }
    };
    const backOff = (ms: number): void => {
        executor.backoffUntilMs = Math.max(executor.backoffUntilMs, context.monotonicMs() + ms);
    };
    const startOutcomes = createStartOutcomes({
        context,
        tables,
        ticketRejected: owner.ticketRejected,
        executor,
        backOff,
        handleRejection,
    });
    const mayLateStartArrive = (): boolean => mayReceiveLateStart(tables, executor, context.monotonicMs());
    const needsPolling = (): boolean =>
        owner.mayHaveSuccessor() ||
        mayLateStartArrive() ||
        !executor.reconciled ||
        executor.hasUnreadEnds ||
        executor.runs.size > 0 ||
        executor.orphanedRuns.length > 0 ||
        executor.lastAcknowledgedEnd < executor.lastAppliedEnd;
    // An executor reports run ends until they are acknowledged, so while some are not stored yet or must not be
    // acknowledged, it would answer every poll at once with the same ends.
    const wouldRepeatEnds = (): boolean =>
        acknowledgedEnd(executor) < executor.lastAppliedEnd || !owner.mayExtendLeases();
    const pollDelayMs = (): number => {
        if (needsPolling()) {
            const isPauseNeeded = areRunsRead(executor) && failedPolls === 0 && wouldRepeatEnds();
            // Nothing shows a restart during the pause.
            const pauseMs = mayLateStartArrive() ? RETRY_DELAY_MS : REPORT_LONG_POLL_MS;
            return isPauseNeeded ? pauseMs : 0;
        }
        return executor.reachable ? IDLE_POLL_MS : UNREACHABLE_POLL_MS;
    };
    // An idle executor is asked for its clock if the registry has not told it for long.
    const isClockReadingOldSoon = (): boolean =>
        isClockReadingOld(executor, context.monotonicMs() + IDLE_POLL_MS, tables.runLeaseMs);
    const poll = async (): Promise<void> => {
        const pauseMs = pollDelayMs();
        if (pauseMs > 0) {
            await waitForPollRequest(pauseMs);
        }
        if (!closed && (needsPolling() || !executor.reachable || isClockReadingOldSoon())) {
            await pollReport();
        }
    };
    // An order that fails in this process may have been sent.
    const track = async (send: () => Promise<OrderResult>): Promise<OrderResult> => {
        try {
            return await orderWindow.track(executor.id, () => orderLoad.track(send));
        } catch (error) {
            reportError(error);
            return { kind: "unknown", reason: String(error) };
        }
    };
    void repeatWhileActive({ context, part: "executor-reports", isActive: () => !closed, step: poll });
    return {
        pollNow,
        start: async (run, ticket) => {
            // The process may have been paused since the start was planned.
            const leaseUntilMs = permittedLeaseUntil();
            if (leaseUntilMs === undefined) {
                forgetRun(run);
                return;
            }
            executor.leaseUntilMs = Math.max(executor.leaseUntilMs, leaseUntilMs);
            run.startValidUntilMs = leaseUntilMs;
            context.metrics.count("starts");
            const reference = referenceTo(run);
            const isReadingOld = isClockReadingOld(executor, context.monotonicMs(), tables.runLeaseMs);
            const sentAtMs = context.monotonicMs();
            const result = await track(() =>
                currentClient().start({
                    ...reference,
                    spec: run.task.step.job.job.spec,
                    checkpoint: run.task.checkpoint,
                    leaseUntilMs,
                    ticket,
                    mayStart: owner.mayExtendLeases,
                }),
            );
            startOutcomes.apply(run, result, { sentAtMs, isReadingOld });
            pollNow();
            owner.changed();
        },
        stop: async run => {
            context.metrics.count("stops");
            const sentAtMs = context.monotonicMs();
            const result = await track(() => currentClient().stop(referenceTo(run)));
            if (result.kind === "accepted") {
                applyAcceptedStop(run, {
                    clockMs: result.clockMs,
                    startedAtMs: result.startedAtMs,
                    sentAtMs,
                    receivedAtMs: context.monotonicMs(),
                });
                startOutcomes.stopAccepted(run);
            } else if (result.kind === "rejected" && result.reason === "fenced") {
                owner.fenced();
            }
            pollNow();
            owner.changed();
        },
        stopOrphanedRun: async orphanedRun => {
            const { task, number } = orphanedRun;
            await track(() => currentClient().stop({ task, run: number, incarnation: incarnationStart(executor) }));
            pollNow();
            owner.changed();
        },
        setPace: async (run, percent) => {
            const before = run.speedLimitPercent;
            // Set before the answer arrives, so that the next scheduling pass does not send the same order again.
            run.speedLimitPercent = percent;
            const result = await track(() => currentClient().pace({ ...referenceTo(run), percent }));
            if (result.kind !== "accepted" && run.speedLimitPercent === percent) {
                run.speedLimitPercent = before;
            }
        },
        close: () => {
            closed = true;
            pollNow();
            client.close();
        },
    };
};

const referenceTo = ({ task, number, executor }: Run): RunReference => ({
    task: task.id,
    run: number,
    incarnation: incarnationStart(executor),
});
