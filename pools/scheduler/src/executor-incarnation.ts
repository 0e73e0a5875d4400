import { clockWentBack, isReadingAmbiguous, recordClockReading } from "./lease-time.js";
import { markStarted } from "./job-progress.js";
import { NO_LOST_REQUESTS, recordAnsweredRequest, recordUnansweredRequest } from "./lost-requests.js";
import type { Executor, PoolTables, RestartSource, Run } from "./pool-tables.js";
import { giveUpRun, restoreRun } from "./run-table.js";
import { takeUndeliveredStarts } from "./undelivered-starts.js";

/** What a response of an executor says about its incarnation, which lasts from the start to the end of its process. */
export interface IncarnationEvidence {
    /** Reading of the executor's clock. */
    readonly clockMs: number;
    /** Unix time of the executor's start, which its connection has told; undefined if its reports do not contain it. */
    readonly startedAtMs: number | undefined;
    /** When the request was sent, in milliseconds of this process's monotonic clock. */
    readonly sentAtMs: number;
    /** When the response was received, on the same clock. */
    readonly receivedAtMs: number;
}

/**
 * Records the clock of an executor and detects a restart under the same id: the start time differs or, if none is
 * known, the clock went back. Evidence from a past incarnation is ignored.
 */
export const observeIncarnation = (executor: Executor, evidence: IncarnationEvidence): void => {
    if (isFromPastIncarnation(executor, evidence)) {
        return;
    }
    if (isNewIncarnation(executor, evidence)) {
        beginIncarnation(executor, evidence.receivedAtMs, evidence.startedAtMs === undefined ? "clock" : "report");
    }
    if (evidence.startedAtMs !== undefined) {
        setIncarnationStart(executor, evidence.startedAtMs);
    }
    recordClockReading(executor, evidence.clockMs, evidence.receivedAtMs);
    recordAnsweredRequest(executor, evidence.sentAtMs);
    executor.answeredRequestAtMs = Math.max(executor.answeredRequestAtMs, evidence.sentAtMs);
};

const isNewIncarnation = (executor: Executor, evidence: IncarnationEvidence): boolean => {
    const { startedAtMs } = evidence;
    return startedAtMs === undefined
        ? clockWentBack(executor, evidence)
        : executor.isIncarnationStartKnown && startedAtMs !== executor.record.startedAtMs;
};

/** True for a response to a call sent before the current incarnation was detected, unless it names that incarnation. */
export const isFromPastIncarnation = (
    executor: Executor,
    { startedAtMs, sentAtMs }: Pick<IncarnationEvidence, "startedAtMs" | "sentAtMs">,
): boolean =>
    sentAtMs < executor.incarnationSinceMs &&
    (startedAtMs === undefined || executor.isIncarnationStartKnown !== (startedAtMs === executor.record.startedAtMs));

/**
 * Applies the acceptance of a start. A run that a past incarnation has accepted ended with it. If the response may come from
 * another incarnation than the current one, the start counts as unanswered, and the next report shows whether the run exists.
 */
export const applyAcceptedStart = (tables: PoolTables, run: Run, evidence: IncarnationEvidence): void => {
    const { executor } = run;
    const isPast = isFromPastIncarnation(executor, evidence);
    if (evidence.startedAtMs !== undefined && isPast) {
        run.isStartDelivered = true;
        giveUpRun(run, "executor-restarted", evidence.receivedAtMs, "report");
        return;
    }
    const isAmbiguous = isPast || isClockAmbiguous(executor, evidence);
    observeIncarnation(executor, evidence);
    if (isAmbiguous) {
        markUnanswered(run, evidence.receivedAtMs);
    } else {
        confirmStart(tables, run, evidence.receivedAtMs);
    }
};

// A start time tells the incarnation, whatever the clock shows.
const isClockAmbiguous = (executor: Executor, evidence: IncarnationEvidence): boolean =>
    evidence.startedAtMs === undefined && isReadingAmbiguous(executor, evidence);

/** Marks a run as accepted by its executor. Call it after the clock reading in the response was recorded. */
export const confirmStart = (tables: PoolTables, run: Run, nowMs: number): void => {
    const { executor } = run;
    if (executor.leaseUntilMs === 0 && executor.clock !== undefined) {
        // The lease end was computed for the clock of the previous incarnation, so the executor capped it at the
        // longest lease on its new clock.
        executor.leaseUntilMs = executor.clock.clockMs + tables.maxLeaseMs;
    }
    run.confirmedAtMs = nowMs;
    run.isStartDelivered = true;
    markStarted(run.task.step.job);
    run.phase = run.phase === "starting" ? "running" : run.phase;
};

/** The acceptance of a stop; `clockMs` is undefined if the response contains no reading of the clock. */
export interface AcceptedStop extends Omit<IncarnationEvidence, "clockMs"> {
    readonly clockMs: number | undefined;
}

/**
 * Applies the acceptance of a stop, which also makes a late start of the run fail for as long as the executor's current
 * incarnation lasts. If the response may come from another one, the stop is sent again.
 */
export const applyAcceptedStop = (run: Run, { clockMs, ...response }: AcceptedStop): void => {
    const { executor } = run;
    if (clockMs !== undefined) {
        const evidence = { clockMs, ...response };
        if (isClockAmbiguous(executor, evidence)) {
            return;
        }
        observeIncarnation(executor, evidence);
    }
    if (!isFromPastIncarnation(executor, response)) {
        run.confirmedAtMs ??= response.receivedAtMs;
    }
};

/** Records that the start request of a run was given up without a response, so that the run may or may not exist. */
export const markUnanswered = (run: Run, nowMs: number): void => {
    recordUnansweredRequest(run.executor, { leaseSentAtMs: run.startedAtMs });
    run.unansweredAtMs = nowMs;
    run.phase = run.phase === "starting" ? "unsettled" : run.phase;
};

/**
 * Begins an incarnation whose start time is not known yet. Runs that the previous one has listed or accepted ended with
 * it. Those whose start request got no response are kept or restored, since the request may still reach the new one, which
 * knows of no stop.
 */
export const beginIncarnation = (executor: Executor, nowMs: number, source: RestartSource): void => {
    [...executor.runs.values()]
        .filter(({ isStartDelivered }) => isStartDelivered)
        .forEach(run => giveUpRun(run, "executor-restarted", nowMs, source));
    takeUndeliveredStarts(executor, nowMs).forEach(restoreRun);
    executor.runs.forEach(forgetStops);
    resetIncarnationState(executor, nowMs);
    executor.isIncarnationStartKnown = false;
};

const forgetStops = (run: Run): void => {
    run.confirmedAtMs = undefined;
    run.stopSentAtMs = undefined;
    run.stopsSent = 0;
    run.phase = run.phase === "stopping" ? "missing" : run.phase;
};

/** Start of the current incarnation in Unix milliseconds; undefined while it is not known. */
export const incarnationStart = ({ isIncarnationStartKnown, record }: Executor): number | undefined =>
    isIncarnationStartKnown ? record.startedAtMs : undefined;

/** Records when the current incarnation of an executor started, in Unix milliseconds. */
export const setIncarnationStart = (executor: Executor, startedAtMs: number): void => {
    if (executor.record.startedAtMs !== startedAtMs) {
        executor.record = { ...executor.record, startedAtMs };
    }
    executor.isIncarnationStartKnown = true;
};

/** Removes all runs of an executor that is gone, which is known because another executor uses its address. */
export const endIncarnation = (executor: Executor, nowMs: number): void => {
    [...executor.runs.values()].forEach(run => giveUpRun(run, "executor-replaced", nowMs));
    executor.undeliveredStarts = [];
    resetIncarnationState(executor, nowMs);
};

const resetIncarnationState = (executor: Executor, nowMs: number): void => {
    executor.incarnation++;
    executor.incarnationSinceMs = nowMs;
    executor.answeredRequestAtMs = Number.NEGATIVE_INFINITY;
    executor.clock = undefined;
    executor.leaseUntilMs = 0;
    executor.unansweredRequests = NO_LOST_REQUESTS;
    executor.formerRequests = executor.lostRequests;
    executor.lastAppliedEnd = 0;
    executor.lastStoredEnd = 0;
    executor.lastAcknowledgedEnd = 0;
    executor.failureStreak = 0;
    executor.backoffUntilMs = 0;
    executor.orphanedRuns = [];
    executor.reconciled = false;
    executor.inheritedRunsRead = false;
    executor.hasUnreadEnds = false;
};

/**
 * Number of the last run end that the executor may discard. It is 0 while an unanswered start request may have reached
 * a later incarnation. A later incarnation numbers its run ends from 1 again, so a number of the previous incarnation
 * would make it discard run ends that were never read.
 */
export const acknowledgedEnd = (executor: Executor): number =>
    executor.hasUnresolvedStart || [...executor.runs.values()].some(({ confirmedAtMs }) => confirmedAtMs === undefined)
        ? 0
        : executor.lastStoredEnd;

/** Number to send with the next report request: 0 if the executor has confirmed that it discards the ends up to it. */
export const endToAcknowledge = (executor: Executor): number => {
    const end = acknowledgedEnd(executor);
    return end > executor.lastAcknowledgedEnd ? end : 0;
};
