import { cancel, finish } from "@almondusher/admission/finish";
import { startQueued } from "@almondusher/admission/start-queued";
import type { RequestId } from "@almondusher/fleet/ids";
import { type Cause, combineVerdicts, type Verdict } from "@almondusher/fleet/verdict";
import type { ExchangeFailure } from "@almondusher/exchange/exchange";
import { runExchange } from "@almondusher/exchange/run-exchange";
import { earnRetryTokens } from "@almondusher/placement/retry-budget";
import { recordRunTime } from "@almondusher/placement/run-times";
import { connectionShare, releaseSlot, reserveSlot } from "@almondusher/slots/slot-ledger";
import { count } from "@almondusher/telemetry/counters";
import { type LatencyOutcome, recordLatency } from "@almondusher/telemetry/latencies";
import { createResponseRelay } from "./response-relay.js";
import { requestHeaders } from "./endpoint-headers.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { placeRequest, recordAttemptOutcome } from "./place-request.js";
import { poolCapacity, type PoolRuntime, takeRetryToken, usableSlots } from "./pool-runtime.js";
import { recordFailedAttempt, recordRejection } from "./record-outcome.js";
import { type Rejection, sendRejection } from "./rejection.js";
import { acquireClaim, lookUpVerdict, settleRequestClaim } from "./request-claim.js";
import type { ActiveRequest, Attempt } from "./active-request.js";
import { decideRetry } from "./retry-policy.js";

const FAILURE_RETRY_AFTER_MS = 1000;
const MICROSECONDS_PER_MS = 1000;
const REFUSAL_BACK_OFF_MS = 50;

/** Starts an admitted request: claims its idempotency key if it has to be claimed, then sends the first attempt. */
export const startRequest = (entry: EntryContext, active: ActiveRequest): void => {
    const { request } = active;
    if (request.idempotent || request.key === undefined) {
        sendAttempt(entry, active, "first");
        return;
    }
    active.phase = "claiming";
    active.pool.waitingForSlot.add(request.id);
    void acquireClaim(entry, active, request.key).then(rejection => {
        active.pool.waitingForSlot.delete(request.id);
        continueAfterClaim(entry, active, rejection);
    });
};

const continueAfterClaim = (entry: EntryContext, active: ActiveRequest, rejection: Rejection | undefined): void => {
    if (active.phase === "done") {
        // The caller disconnected while the claim was being written, and no attempt was sent.
        settleRequestClaim(entry, active, "released");
    } else if (rejection === undefined) {
        sendAttempt(entry, active, "first");
    } else {
        rejectRequest(entry, active, rejection);
    }
};

/** Builds the rejection of a request whose pool was deleted while no attempt was running. */
export const poolDeletedRejection = ({ request }: ActiveRequest): Rejection => ({
    status: 404,
    cause: "no-route",
    verdict: "not-run",
    message: `pool ${request.route.pool} was deleted`,
});

type AttemptKind = "first" | "retry" | "hedge";

/** Sends an attempt to a VM with a free slot. If there is none, the request waits for a slot, or a hedge is dropped. */
export const sendAttempt = (entry: EntryContext, active: ActiveRequest, kind: AttemptKind): void => {
    if (active.pool.isDeleted && active.running.length === 0) {
        rejectRequest(entry, active, poolDeletedRejection(active));
        return;
    }
    const vm = placeRequest(entry, active);
    if (vm === undefined || !reserveSlot(active.pool.ledger, vm.id)) {
        if (kind !== "hedge") {
            active.phase = "waiting-for-slot";
            active.pool.waitingForSlot.add(active.request.id);
        }
        return;
    }
    active.pool.waitingForSlot.delete(active.request.id);
    active.phase = "sending";
    if (active.expectsContinue) {
        active.expectsContinue = false;
        active.response.writeContinue();
    }
    const attempt: Attempt = { vm, startedAtMs: monotonicMs() };
    active.running = [...active.running, attempt];
    if (kind === "retry") {
        active.hedged = false;
    }
    attempt.exchange = runAttempt(entry, active, attempt, kind);
};

const runAttempt = (entry: EntryContext, active: ActiveRequest, attempt: Attempt, kind: AttemptKind) => {
    const { request, pool } = active;
    const { slotsPerVm, connectionsPerVm, requestIdEcho } = pool.view.pool;
    return runExchange(entry.connections, {
        address: attempt.vm.address,
        method: request.method,
        path: request.target,
        headers: requestHeaders(entry, active),
        body: active.body?.open(),
        fresh: !request.idempotent,
        // A fault that stalled the first attempt may have broken all idle connections, including those to other VMs.
        unused: kind === "hedge",
        requestId: request.id,
        requiresEcho: requestIdEcho === "required",
        handler: createResponseRelay(entry, active, attempt, {
            onEnd: () => completeRequest(entry, active, attempt),
            onFailure: failure => {
                // The failure of an attempt that this module has already ended is ignored.
                if (active.running.includes(attempt)) {
                    failAttempt(entry, active, attempt, failure);
                }
            },
            onSuperseded: other => cancelAttempt(active, other),
            onServerError: statusCode => failAttemptOnServerError(entry, active, attempt, statusCode),
        }),
        limits: {
            connections: connectionShare(pool.ledger, { vm: attempt.vm.id, slotsPerVm, connectionsPerVm }),
        },
    });
};

const endAttempt = (active: ActiveRequest, attempt: Attempt): void => {
    if (!active.running.includes(attempt)) {
        return;
    }
    active.running = active.running.filter(other => other !== attempt);
    releaseSlot(active.pool.ledger, attempt.vm.id);
};

const failAttempt = (
    entry: EntryContext,
    active: ActiveRequest,
    attempt: Attempt,
    { verdict, cause, message }: ExchangeFailure,
): void => {
    endAttempt(active, attempt);
    const ended = { vm: attempt.vm.id, verdict, cause };
    active.ended = [...active.ended, ended];
    recordFailedAttempt(entry, active, ended);
    recordAttemptOutcome(entry, active, attempt, cause);
    if (active.phase === "done") {
        return;
    }
    if (active.phase === "answering") {
        abortResponse(entry, active, cause);
    } else if (active.running.length === 0) {
        retryOrReject(entry, active, { verdict, cause, message });
    }
    startWaitingRequests(entry, active.pool);
};

const cancelAttempt = (active: ActiveRequest, attempt: Attempt): void => {
    endAttempt(active, attempt);
    attempt.exchange?.cancel();
};

const failAttemptOnServerError = (
    entry: EntryContext,
    active: ActiveRequest,
    attempt: Attempt,
    statusCode: number,
): void => {
    cancelAttempt(active, attempt);
    failAttempt(entry, active, attempt, {
        verdict: "may-have-run",
        cause: "bad-answer",
        message: `${attempt.vm.address} answered with status ${statusCode}`,
    });
};

/** Fails an attempt whose connection is considered lost. */
export const failLostAttempt = (entry: EntryContext, active: ActiveRequest, attempt: Attempt): void => {
    const mayHaveRun = attempt.exchange?.headSent === true;
    cancelAttempt(active, attempt);
    failAttempt(entry, active, attempt, {
        verdict: mayHaveRun ? "may-have-run" : "not-run",
        cause: "connection-lost",
        message: `the connection to ${attempt.vm.address} went silent`,
    });
};

const retryAfterBackOff = (entry: EntryContext, active: ActiveRequest): void => {
    active.phase = "backing-off";
    active.pool.waitingForSlot.add(active.request.id);
    setTimeout(() => {
        if (active.phase === "backing-off") {
            sendAttempt(entry, active, "retry");
        }
    }, REFUSAL_BACK_OFF_MS);
};

const retryOrReject = (entry: EntryContext, active: ActiveRequest, failure: ExchangeFailure): void => {
    active.body?.detach();
    const { maxAttempts } = entry.settings.limits;
    switch (decideRetry({ active, failure, nowMs: monotonicMs(), maxAttempts })) {
        case "ask-again-later":
            retryAfterBackOff(entry, active);
            return;
        case "retry-within-budget":
            if (takeRetryToken(active.pool, monotonicMs())) {
                const { route } = active.request;
                count(entry.counters, { name: "retries", route: route.name, pool: route.pool, cause: failure.cause });
                sendAttempt(entry, active, "retry");
            } else {
                rejectAfterFailure(entry, active, failure);
            }
            return;
        case "give-up":
            rejectAfterFailure(entry, active, failure);
            return;
    }
};

const rejectAfterFailure = (entry: EntryContext, active: ActiveRequest, failure: ExchangeFailure): void => {
    rejectRequest(entry, active, {
        status: failure.cause === "endpoint-refused" || failure.cause === "no-capacity" ? 503 : 502,
        cause: failure.cause,
        verdict: requestVerdict(active),
        message: failure.message,
        retryAfterMs: FAILURE_RETRY_AFTER_MS,
    });
};

// The response head has been sent, so the connection is closed to signal a truncated response to the caller.
const abortResponse = (entry: EntryContext, active: ActiveRequest, cause: Cause): void => {
    recordRejection(entry, { cause, verdict: "may-have-run", route: active.request.route });
    active.response.destroy();
    closeRequest(entry, active, "failed");
};

const completeRequest = (entry: EntryContext, active: ActiveRequest, attempt: Attempt): void => {
    endAttempt(active, attempt);
    if (active.phase === "done") {
        return;
    }
    const { route } = active.request;
    count(entry.counters, {
        name: "answers",
        route: route.name,
        pool: route.pool,
        vm: attempt.vm.id,
        revision: active.revision,
    });
    const elapsedMs = monotonicMs() - attempt.startedAtMs;
    recordRunTime(entry.runTimes, route.name, elapsedMs);
    active.pool.retries = earnRetryTokens(active.pool.retries);
    recordAttemptOutcome(entry, active, attempt, active.serverError ? "bad-answer" : undefined);
    settleRequestClaim(entry, active, "ran");
    closeRequest(entry, active, "completed");
};

/** Combines the verdicts of the attempts that ended with those of the attempts that are still running. */
const requestVerdict = (active: ActiveRequest): Verdict =>
    combineVerdicts([
        ...active.ended.map(ended => ended.verdict),
        ...active.running.map((attempt): Verdict => (attempt.exchange?.headSent === true ? "may-have-run" : "not-run")),
    ]);

/** Rejects a request. The verdict combines that of the rejection with those of the attempts, such as `may-have-run`. */
export const rejectRequest = (entry: EntryContext, active: ActiveRequest, rejection: Rejection): void => {
    if (active.phase === "done") {
        return;
    }
    const responseHasBegun = active.phase === "answering";
    const verdict = combineVerdicts([rejection.verdict, requestVerdict(active)]);
    if (verdict === "not-run") {
        settleRequestClaim(entry, active, "released");
    }
    closeRequest(entry, active, "rejected");
    if (responseHasBegun) {
        recordRejection(entry, { cause: rejection.cause, verdict, route: active.request.route });
        active.response.destroy();
    } else if (verdict === "not-run" && needsClaimLookup(active, rejection.cause)) {
        void lookUpVerdict(entry, active.request).then(claimVerdict =>
            respondWithRejection(entry, active, { ...rejection, verdict: claimVerdict }),
        );
    } else {
        respondWithRejection(entry, active, { ...rejection, verdict });
    }
};

const needsClaimLookup = ({ claimed, request }: ActiveRequest, cause: Cause): boolean =>
    !claimed && request.key !== undefined && !request.idempotent && cause !== "claim-mismatch";

const respondWithRejection = (entry: EntryContext, active: ActiveRequest, rejection: Rejection): void => {
    const { revision } = active;
    recordRejection(entry, { cause: rejection.cause, verdict: rejection.verdict, route: active.request.route });
    sendRejection(active.response, rejection, {
        requestId: active.request.id,
        revision,
        closeConnection: active.request.hasBody && !active.incoming.complete,
    });
};

/** Cancels a request whose caller has disconnected. */
export const cancelRequest = (entry: EntryContext, active: ActiveRequest): void => {
    if (active.phase === "done") {
        return;
    }
    recordRejection(entry, { cause: "cancelled", verdict: requestVerdict(active), route: active.request.route });
    if (requestVerdict(active) === "not-run" && active.phase !== "claiming") {
        settleRequestClaim(entry, active, "released");
    }
    closeRequest(entry, active, "cancelled");
};

const closeRequest = (entry: EntryContext, active: ActiveRequest, outcome: LatencyOutcome): void => {
    const { request, pool } = active;
    active.phase = "done";
    active.body?.discard();
    const { running } = active;
    running.forEach(attempt => endAttempt(active, attempt));
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
    startWaitingRequests(entry, pool);
};

/** Assigns free slots: first to admitted requests that wait for a slot, then to requests in the admission queue. */
export const startWaitingRequests = (entry: EntryContext, pool: PoolRuntime): void => {
    if (pool.waitingForSlot.size === 0 && pool.admission.waiting.size === 0) {
        return;
    }
    [...pool.waitingForSlot]
        .map(id => entry.tables.requests.get(id))
        .filter(active => active?.phase === "waiting-for-slot")
        .forEach(active => {
            if (active !== undefined && usableSlots(pool) > 0) {
                sendAttempt(entry, active, "retry");
            }
        });
    const dequeued = startQueued(pool.admission, poolCapacity(pool), monotonicMs());
    dequeued.expired.forEach(id => expireRequest(entry, id));
    dequeued.overdue.forEach(id => recordOverdueRunTime(entry, id));
    dequeued.started.forEach(id => {
        const active = entry.tables.requests.get(id);
        if (active !== undefined) {
            startRequest(entry, active);
        }
    });
};

// Records the time so far of a request that borrowed a slot because it was expected to be short, so that its route does
// not borrow again.
const recordOverdueRunTime = (entry: EntryContext, id: RequestId): void => {
    const active = entry.tables.requests.get(id);
    if (active !== undefined) {
        recordRunTime(entry.runTimes, active.request.route.name, monotonicMs() - active.startedAtMs);
    }
};

/** Rejects a request that got no slot before its deadline. */
export const expireRequest = (entry: EntryContext, id: RequestId): void => {
    const active = entry.tables.requests.get(id);
    if (active !== undefined) {
        rejectRequest(entry, active, {
            status: 503,
            cause: "deadline",
            verdict: "not-run",
            message: `no slot of pool ${active.request.route.pool} became free before the deadline`,
            retryAfterMs: FAILURE_RETRY_AFTER_MS,
        });
    }
};
