import { cancel, finish } from "@almondusher/admission/finish";
import { takeNext } from "@almondusher/admission/take-next";
import type { RequestId } from "@almondusher/fleet/ids";
import { type Cause, combineVerdicts, type Verdict } from "@almondusher/fleet/verdict";
import type { ExchangeFailure } from "@almondusher/exchange/exchange";
import { runExchange } from "@almondusher/exchange/run-exchange";
import { earnRetry } from "@almondusher/placement/retry-budget";
import { learnRunTime } from "@almondusher/placement/run-times";
import { connectionShare, releaseSlot, reserveSlot } from "@almondusher/slots/slot-ledger";
import { count } from "@almondusher/telemetry/counters";
import { type LatencyOutcome, recordLatency } from "@almondusher/telemetry/latencies";
import { createAnswerRelay } from "./answer-relay.js";
import { requestHeaders } from "./endpoint-headers.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { noteOutcome, placeRequest } from "./place-request.js";
import { capacityOf, type PoolRuntime, spendRetry, usableSlots } from "./pool-runtime.js";
import { recordFailedAttempt, recordRejection } from "./record-outcome.js";
import { type Rejection, sendRejection } from "./rejection.js";
import { claimFlow, settleFlowClaim, verdictOfKey } from "./request-claim.js";
import type { Attempt, RequestFlow } from "./request-flow.js";
import { decideRetry } from "./retry-rules.js";

const RETRY_AFTER_FAILURE_MS = 1000;
const MICROSECONDS_PER_MS = 1000;
const REFUSAL_PAUSE_MS = 50;

/** Starts a request that admission has let in: claims it if it needs a claim, then sends it. */
export const startFlow = (entry: EntryContext, flow: RequestFlow): void => {
    const { request } = flow;
    if (request.idempotent || request.key === undefined) {
        sendAttempt(entry, flow, "first");
        return;
    }
    flow.phase = "claiming";
    flow.pool.waitingForSlot.add(request.id);
    void claimFlow(entry, flow, request.key).then(claimed => {
        flow.pool.waitingForSlot.delete(request.id);
        continueAfterClaim(entry, flow, claimed);
    });
};

const continueAfterClaim = (entry: EntryContext, flow: RequestFlow, rejection: Rejection | undefined): void => {
    if (flow.phase === "done") {
        // The caller left while the claim was written and nothing was sent.
        settleFlowClaim(entry, flow, "released");
    } else if (rejection === undefined) {
        sendAttempt(entry, flow, "first");
    } else {
        rejectFlow(entry, flow, rejection);
    }
};

/** The rejection of a request whose pool was deleted before it was sent. */
export const poolDeleted = ({ request }: RequestFlow): Rejection => ({
    status: 404,
    cause: "no-route",
    verdict: "not-run",
    message: `pool ${request.route.pool} was deleted`,
});

type AttemptKind = "first" | "retry" | "hedge";

/** Sends a request to a VM with a free slot, or lets it wait for one; a hedge does not wait. */
export const sendAttempt = (entry: EntryContext, flow: RequestFlow, kind: AttemptKind): void => {
    if (flow.pool.isDeleted && flow.running.length === 0) {
        rejectFlow(entry, flow, poolDeleted(flow));
        return;
    }
    const vm = placeRequest(entry, flow);
    if (vm === undefined || !reserveSlot(flow.pool.ledger, vm.id)) {
        if (kind !== "hedge") {
            flow.phase = "waiting-for-slot";
            flow.pool.waitingForSlot.add(flow.request.id);
        }
        return;
    }
    flow.pool.waitingForSlot.delete(flow.request.id);
    flow.phase = "sending";
    if (flow.expectsContinue) {
        flow.expectsContinue = false;
        flow.response.writeContinue();
    }
    const attempt: Attempt = { vm, startedAtMs: monotonicMs() };
    flow.running = [...flow.running, attempt];
    if (kind === "retry") {
        flow.hedged = false;
    }
    attempt.exchange = runAttempt(entry, flow, attempt, kind);
};

const runAttempt = (entry: EntryContext, flow: RequestFlow, attempt: Attempt, kind: AttemptKind) => {
    const { request, pool } = flow;
    const { slotsPerVm, connectionsPerVm, requestIdEcho } = pool.view.pool;
    return runExchange(entry.connections, {
        address: attempt.vm.address,
        method: request.method,
        path: request.target,
        headers: requestHeaders(entry, flow),
        body: flow.body?.open(),
        fresh: !request.idempotent,
        // What silenced the first attempt may have silenced every idle connection, also those to other VMs.
        unused: kind === "hedge",
        requestId: request.id,
        requiresEcho: requestIdEcho === "required",
        handler: createAnswerRelay(entry, flow, attempt, {
            onEnd: () => completeFlow(entry, flow, attempt),
            onFailure: failure => {
                // An attempt that was ended here before has been dealt with.
                if (flow.running.includes(attempt)) {
                    failAttempt(entry, flow, attempt, failure);
                }
            },
            onOvertaken: loser => dropAttempt(flow, loser),
            onServerError: statusCode => failServerError(entry, flow, attempt, statusCode),
        }),
        limits: {
            connections: connectionShare(pool.ledger, { vm: attempt.vm.id, slotsPerVm, connectionsPerVm }),
        },
    });
};

const endAttempt = (flow: RequestFlow, attempt: Attempt): void => {
    if (!flow.running.includes(attempt)) {
        return;
    }
    flow.running = flow.running.filter(other => other !== attempt);
    releaseSlot(flow.pool.ledger, attempt.vm.id);
};

const failAttempt = (
    entry: EntryContext,
    flow: RequestFlow,
    attempt: Attempt,
    { verdict, cause, message }: ExchangeFailure,
): void => {
    endAttempt(flow, attempt);
    const ended = { vm: attempt.vm.id, verdict, cause };
    flow.ended = [...flow.ended, ended];
    recordFailedAttempt(entry, flow, ended);
    noteOutcome(entry, flow, attempt, cause);
    if (flow.phase === "done") {
        return;
    }
    if (flow.phase === "answering") {
        breakAnswer(entry, flow, cause);
    } else if (flow.running.length === 0) {
        retryOrReject(entry, flow, { verdict, cause, message });
    }
    startWaiting(entry, flow.pool);
};

const dropAttempt = (flow: RequestFlow, attempt: Attempt): void => {
    endAttempt(flow, attempt);
    attempt.exchange?.cancel();
};

const failServerError = (entry: EntryContext, flow: RequestFlow, attempt: Attempt, statusCode: number): void => {
    dropAttempt(flow, attempt);
    failAttempt(entry, flow, attempt, {
        verdict: "may-have-run",
        cause: "bad-answer",
        message: `${attempt.vm.address} answered with status ${statusCode}`,
    });
};

/** Ends an attempt whose connection has gone silent for good. */
export const failLostAttempt = (entry: EntryContext, flow: RequestFlow, attempt: Attempt): void => {
    const sent = attempt.exchange?.headSent === true;
    dropAttempt(flow, attempt);
    failAttempt(entry, flow, attempt, {
        verdict: sent ? "may-have-run" : "not-run",
        cause: "connection-lost",
        message: `the connection to ${attempt.vm.address} went silent`,
    });
};

const askAgainLater = (entry: EntryContext, flow: RequestFlow): void => {
    flow.phase = "backing-off";
    flow.pool.waitingForSlot.add(flow.request.id);
    setTimeout(() => {
        if (flow.phase === "backing-off") {
            sendAttempt(entry, flow, "retry");
        }
    }, REFUSAL_PAUSE_MS);
};

const retryOrReject = (entry: EntryContext, flow: RequestFlow, failure: ExchangeFailure): void => {
    flow.body?.detach();
    const { maxAttempts } = entry.settings.limits;
    switch (decideRetry({ flow, failure, nowMs: monotonicMs(), maxAttempts })) {
        case "ask-again-later":
            askAgainLater(entry, flow);
            return;
        case "retry-within-budget":
            if (spendRetry(flow.pool, monotonicMs())) {
                const { route } = flow.request;
                count(entry.counters, { name: "retries", route: route.name, pool: route.pool, cause: failure.cause });
                sendAttempt(entry, flow, "retry");
            } else {
                rejectFailed(entry, flow, failure);
            }
            return;
        case "give-up":
            rejectFailed(entry, flow, failure);
            return;
    }
};

const rejectFailed = (entry: EntryContext, flow: RequestFlow, failure: ExchangeFailure): void => {
    rejectFlow(entry, flow, {
        status: failure.cause === "endpoint-refused" || failure.cause === "no-capacity" ? 503 : 502,
        cause: failure.cause,
        verdict: flowVerdict(flow),
        message: failure.message,
        retryAfterMs: RETRY_AFTER_FAILURE_MS,
    });
};

// The answer has begun, so that only a broken connection tells the caller that it is not whole.
const breakAnswer = (entry: EntryContext, flow: RequestFlow, cause: Cause): void => {
    recordRejection(entry, { cause, verdict: "may-have-run", route: flow.request.route });
    flow.response.destroy();
    closeFlow(entry, flow, "failed");
};

const completeFlow = (entry: EntryContext, flow: RequestFlow, attempt: Attempt): void => {
    endAttempt(flow, attempt);
    if (flow.phase === "done") {
        return;
    }
    const { route } = flow.request;
    count(entry.counters, {
        name: "answers",
        route: route.name,
        pool: route.pool,
        vm: attempt.vm.id,
        revision: flow.revision,
    });
    const elapsedMs = monotonicMs() - attempt.startedAtMs;
    learnRunTime(entry.runTimes, route.name, elapsedMs);
    flow.pool.retries = earnRetry(flow.pool.retries);
    noteOutcome(entry, flow, attempt, flow.serverError ? "bad-answer" : undefined);
    settleFlowClaim(entry, flow, "ran");
    closeFlow(entry, flow, "completed");
};

/** What is known of a request: attempts that ended, and those that are still running. */
const flowVerdict = (flow: RequestFlow): Verdict =>
    combineVerdicts([
        ...flow.ended.map(ended => ended.verdict),
        ...flow.running.map((attempt): Verdict => (attempt.exchange?.headSent === true ? "may-have-run" : "not-run")),
    ]);

/** Ends a request with a rejection; the verdict of the rejection is raised to what is known of the request. */
export const rejectFlow = (entry: EntryContext, flow: RequestFlow, rejection: Rejection): void => {
    if (flow.phase === "done") {
        return;
    }
    const wasAnswering = flow.phase === "answering";
    const verdict = combineVerdicts([rejection.verdict, flowVerdict(flow)]);
    if (verdict === "not-run") {
        settleFlowClaim(entry, flow, "released");
    }
    closeFlow(entry, flow, "rejected");
    if (wasAnswering) {
        recordRejection(entry, { cause: rejection.cause, verdict, route: flow.request.route });
        flow.response.destroy();
    } else if (verdict === "not-run" && needsLookup(flow, rejection.cause)) {
        void verdictOfKey(entry, flow.request).then(known =>
            answerRejected(entry, flow, { ...rejection, verdict: known }),
        );
    } else {
        answerRejected(entry, flow, { ...rejection, verdict });
    }
};

const needsLookup = ({ claimed, request }: RequestFlow, cause: Cause): boolean =>
    !claimed && request.key !== undefined && !request.idempotent && cause !== "claim-mismatch";

const answerRejected = (entry: EntryContext, flow: RequestFlow, rejection: Rejection): void => {
    const { revision } = flow;
    recordRejection(entry, { cause: rejection.cause, verdict: rejection.verdict, route: flow.request.route });
    sendRejection(flow.response, rejection, {
        requestId: flow.request.id,
        revision,
        closeConnection: flow.request.hasBody && !flow.incoming.complete,
    });
};

/** Ends a request whose caller has gone. */
export const abandonRequest = (entry: EntryContext, flow: RequestFlow): void => {
    if (flow.phase === "done") {
        return;
    }
    recordRejection(entry, { cause: "cancelled", verdict: flowVerdict(flow), route: flow.request.route });
    if (flowVerdict(flow) === "not-run" && flow.phase !== "claiming") {
        settleFlowClaim(entry, flow, "released");
    }
    closeFlow(entry, flow, "cancelled");
};

const closeFlow = (entry: EntryContext, flow: RequestFlow, outcome: LatencyOutcome): void => {
    const { request, pool } = flow;
    flow.phase = "done";
    flow.body?.discard();
    const { running } = flow;
    running.forEach(attempt => endAttempt(flow, attempt));
    running.forEach(attempt => attempt.exchange?.cancel());
    pool.waitingForSlot.delete(request.id);
    entry.tables.requests.delete(request.id);
    if (outcome === "completed") {
        finish(pool.admission, request.id, monotonicMs());
    } else {
        cancel(pool.admission, request.id);
    }
    const labels = { route: request.route.name, pool: request.route.pool, urgency: request.urgency, outcome };
    recordLatency(entry.latencies, labels, (monotonicMs() - request.arrivedAtMs) * MICROSECONDS_PER_MS);
    startWaiting(entry, pool);
};

/** Uses free slots: first for requests that were already let in, then for those in the queue. */
export const startWaiting = (entry: EntryContext, pool: PoolRuntime): void => {
    if (pool.waitingForSlot.size === 0 && pool.admission.waiting.size === 0) {
        return;
    }
    [...pool.waitingForSlot]
        .map(id => entry.tables.requests.get(id))
        .filter(flow => flow?.phase === "waiting-for-slot")
        .forEach(flow => {
            if (flow !== undefined && usableSlots(pool) > 0) {
                sendAttempt(entry, flow, "retry");
            }
        });
    const taken = takeNext(pool.admission, capacityOf(pool), monotonicMs());
    taken.expired.forEach(id => expireRequest(entry, id));
    taken.overdue.forEach(id => learnOverdue(entry, id));
    taken.started.forEach(id => {
        const flow = entry.tables.requests.get(id);
        if (flow !== undefined) {
            startFlow(entry, flow);
        }
    });
};

// The request borrowed a slot as a short one; its route is no longer short.
const learnOverdue = (entry: EntryContext, id: RequestId): void => {
    const flow = entry.tables.requests.get(id);
    if (flow !== undefined) {
        learnRunTime(entry.runTimes, flow.request.route.name, monotonicMs() - flow.startedAtMs);
    }
};

/** Rejects a request that found no slot before its deadline. */
export const expireRequest = (entry: EntryContext, id: RequestId): void => {
    const flow = entry.tables.requests.get(id);
    if (flow !== undefined) {
        rejectFlow(entry, flow, {
            status: 503,
            cause: "deadline",
            verdict: "not-run",
            message: `no slot of pool ${flow.request.route.pool} became free before the deadline`,
            retryAfterMs: RETRY_AFTER_FAILURE_MS,
        });
    }
};
