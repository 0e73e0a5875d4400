import type { Executor, PoolTables, Run } from "@almondusher/scheduler/pool-tables";
import { forgetRun } from "@almondusher/scheduler/run-table";
import {
    applyAcceptedStart,
    confirmStart,
    markUnanswered,
    observeIncarnation,
    type IncarnationEvidence,
} from "@almondusher/scheduler/executor-incarnation";
import type { OrderRejection, OrderResponse, OrderResult } from "@almondusher/platform-adapter/executor-client";
import type { DispatcherContext } from "../process/dispatcher-context.js";

/** Applies the outcomes of the starts that are sent to one executor. */
export interface StartOutcomes {
    readonly apply: (run: Run, result: OrderResult, sent: SentStart) => void;
    /**
     * Ends the back-off after the first start in a row without a response, since the executor has accepted the stop of that run
     * and so answers. Its task can start again there, where a late start cannot run beside it.
     */
    readonly stopAccepted: (run: Run) => void;
}

/** Back-off after a start without a response, as times of the monotonic clock in milliseconds. */
interface UnansweredBackOff {
    /** End of the back-off before that start. */
    readonly formerUntilMs: number;
    readonly untilMs: number;
}

/** A start as it was sent. */
interface SentStart {
    /** When it was sent, in milliseconds of the monotonic clock. */
    readonly sentAtMs: number;
    /** Its lease was computed from an old reading of the executor's clock, and may be too short. */
    readonly isReadingOld: boolean;
}

export interface StartOutcomesOptions {
    readonly context: DispatcherContext;
    readonly tables: PoolTables;
    /** Called when the executor has rejected the ticket of a start. */
    readonly ticketRejected: (run: Run) => void;
    readonly executor: Executor;
    /** Keeps starts from the executor for a time in milliseconds. */
    readonly backOff: (ms: number) => void;
    /** Handles a rejection that any request may get. */
    readonly handleRejection: (reason: OrderRejection) => void;
}

/** Time for which an executor gets no starts after a rejection, in milliseconds. */
export const BACKOFF_AFTER_REJECTION_MS = 700;
const BACKOFF_AFTER_UNANSWERED_START_MS = 1500;
const BACKOFF_AFTER_NO_ROOM_MS = 300;
// The backoff doubles with each further start that is not accepted, up to this factor, so that it outlasts the time in which
// the other members of a gang are stopped.
const MAX_BACKOFF_FACTOR = 4;

/** Creates the outcomes of one executor, which has not rejected any start yet. */
export const createStartOutcomes = ({
    context,
    tables,
    ticketRejected,
    executor,
    backOff,
    handleRejection,
}: StartOutcomesOptions): StartOutcomes => {
    /** Number of consecutive starts that were not accepted. */
    let startsNotAccepted = 0;
    let startNotAcceptedAtMs = Number.NEGATIVE_INFINITY;
    let unansweredBackOff: UnansweredBackOff | undefined;
    const handleStartRejection = (reason: OrderRejection, sentAtMs: number): void => {
        switch (reason) {
            case "fenced":
            case "other-life":
                handleRejection(reason);
                break;
            case "no-room":
                backOffAfterStart(BACKOFF_AFTER_NO_ROOM_MS, sentAtMs);
                break;
            case "unhealthy":
            case "superseded":
            case "expired":
            case "ticket":
            case "invalid":
                backOffAfterStart(BACKOFF_AFTER_REJECTION_MS, sentAtMs);
                break;
        }
    };
    const backOffAfterStart = (initialMs: number, sentAtMs: number): void => {
        // Starts that were sent together count once.
        if (sentAtMs >= startNotAcceptedAtMs) {
            startNotAcceptedAtMs = context.monotonicMs();
            startsNotAccepted++;
        }
        backOff(initialMs * Math.min(2 ** (startsNotAccepted - 1), MAX_BACKOFF_FACTOR));
    };
    const isBackingOffUnanswered = (): boolean => executor.backoffUntilMs === unansweredBackOff?.untilMs;
    const backOffAfterUnansweredStart = (sentAtMs: number): void => {
        const formerUntilMs =
            unansweredBackOff !== undefined && isBackingOffUnanswered()
                ? unansweredBackOff.formerUntilMs
                : executor.backoffUntilMs;
        backOffAfterStart(BACKOFF_AFTER_UNANSWERED_START_MS, sentAtMs);
        unansweredBackOff = { formerUntilMs, untilMs: executor.backoffUntilMs };
    };
    const stopAccepted = ({ unansweredAtMs }: Run): void => {
        if (
            unansweredAtMs !== undefined &&
            unansweredBackOff !== undefined &&
            isBackingOffUnanswered() &&
            startsNotAccepted === 1
        ) {
            executor.backoffUntilMs = unansweredBackOff.formerUntilMs;
        }
    };
    const apply = (run: Run, result: OrderResult, { sentAtMs, isReadingOld }: SentStart): void => {
        switch (result.kind) {
            case "accepted":
                startsNotAccepted = 0;
                acceptStart(run, result, sentAtMs);
                return;
            case "rejected": {
                recordClock(result, sentAtMs);
                forgetRun(run);
                logStartNotAccepted(run, result.reason);
                if (result.reason === "ticket") {
                    ticketRejected(run);
                } else if (result.reason === "expired" && isReadingOld && result.clockMs !== undefined) {
                    // The lease was too short because of the old reading. The answer has a new one for the next start.
                    return;
                } else {
                    handleStartRejection(result.reason, sentAtMs);
                }
                return;
            }
            case "not-sent":
                forgetRun(run);
                backOffAfterStart(BACKOFF_AFTER_UNANSWERED_START_MS, sentAtMs);
                logStartNotAccepted(run, result.reason);
                return;
            case "other-incarnation":
                forgetRun(run);
                logStartNotAccepted(run, result.kind);
                return;
            case "unknown":
                markUnanswered(run, context.monotonicMs());
                backOffAfterUnansweredStart(sentAtMs);
                logStartNotAccepted(run, result.reason);
                return;
        }
    };
    const acceptStart = (run: Run, response: OrderResponse, sentAtMs: number): void => {
        const evidence = evidenceOf(response, sentAtMs);
        if (evidence === undefined) {
            confirmStart(tables, run, context.monotonicMs());
        } else {
            applyAcceptedStart(tables, run, evidence);
        }
    };
    const recordClock = (response: OrderResponse, sentAtMs: number): void => {
        const evidence = evidenceOf(response, sentAtMs);
        if (evidence !== undefined) {
            observeIncarnation(executor, evidence);
        }
    };
    // Undefined if the response does not contain the executor's clock.
    const evidenceOf = ({ clockMs, startedAtMs }: OrderResponse, sentAtMs: number): IncarnationEvidence | undefined =>
        clockMs === undefined ? undefined : { clockMs, startedAtMs, sentAtMs, receivedAtMs: context.monotonicMs() };
    const logStartNotAccepted = (run: Run, reason: string): void => {
        context.metrics.count("starts_not_accepted");
        context.log("start-not-accepted", { task: run.task.id, run: run.number, executor: executor.id, reason });
    };
    return { apply, stopAccepted };
};
