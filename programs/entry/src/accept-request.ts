import type { IncomingMessage, ServerResponse } from "node:http";
import { offer } from "@almondusher/admission/offer";
import { type RequestId, toId } from "@almondusher/fleet/ids";
import type { Route } from "@almondusher/fleet/route";
import type { Cause } from "@almondusher/fleet/verdict";
import { runTimeOf } from "@almondusher/placement/run-times";
import { recordArrival } from "@almondusher/telemetry/failure-log";
import { announcesBody, type CallerRequest, readCallerRequest } from "./caller-request.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { capacityOf, type PoolRuntime } from "./pool-runtime.js";
import { verdictOfKey } from "./request-claim.js";
import { currentReadiness } from "./readiness.js";
import { recordRejection } from "./record-outcome.js";
import { type Rejection, sendRejection } from "./rejection.js";
import { createReplayBody } from "./replay-body.js";
import type { RequestFlow } from "./request-flow.js";
import { reportWaiting } from "./share-slots.js";
import { abandonRequest, rejectFlow, startFlow } from "./serve-request.js";

/** Path that tells the balancer whether this entry takes requests. */
const READINESS_PATH = "/.almondusher/ready";

const RETRY_WITHOUT_VM_MS = 5000;
const RETRY_WHEN_NOT_READY_MS = 1000;

export interface ArrivingRequest {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly expectsContinue: boolean;
}

/** Takes one request of a caller; every path ends in an answer, a rejection or a destroyed connection. */
export const acceptRequest = (entry: EntryContext, arriving: ArrivingRequest): void => {
    const { incoming, response } = arriving;
    const id = nextRequestId(entry);
    if (incoming.url === READINESS_PATH) {
        answerReadiness(entry, response);
        return;
    }
    const readiness = currentReadiness(entry);
    if (!readiness.ready && entry.tables.phase !== "draining") {
        rejectUnread(entry, { ...arriving, id }, notReady(incoming, readiness.reason));
        return;
    }
    const reading = readCallerRequest(incoming, { id, routes: entry.tables.view.routes, nowMs: monotonicMs() });
    switch (reading.kind) {
        case "rejected":
            rejectUnread(entry, { ...arriving, id }, reading.rejection);
            return;
        case "request":
            admitRequest(entry, arriving, reading.request);
            return;
    }
};

const notReady = (incoming: IncomingMessage, reason: string): Rejection => ({
    status: 503,
    cause: "not-ready",
    // An earlier request with the same key may have run, and this entry cannot tell.
    verdict: "idempotency-key" in incoming.headers ? "may-have-run" : "not-run",
    message: `this entry is not ready: ${reason}`,
    retryAfterMs: RETRY_WHEN_NOT_READY_MS,
});

const nextRequestId = (entry: EntryContext): RequestId => {
    entry.tables.nextRequestNumber += 1;
    return toId<RequestId>(`${entry.processId}.${entry.tables.nextRequestNumber.toString(36)}`);
};

const answerReadiness = (entry: EntryContext, response: ServerResponse): void => {
    const readiness = currentReadiness(entry);
    response.writeHead(readiness.ready ? 200 : 503, { "content-type": "application/json" });
    response.end(JSON.stringify(readiness));
};

interface UnreadRequest extends ArrivingRequest {
    readonly id: RequestId;
    readonly route?: Route;
}

const rejectUnread = (entry: EntryContext, unread: UnreadRequest, rejection: Rejection): void => {
    const { incoming, response, id, route } = unread;
    const revision = entry.tables.view.state.revision;
    recordRejection(entry, {
        cause: rejection.cause,
        verdict: rejection.verdict,
        ...(route === undefined ? {} : { route }),
    });
    const hasBody = announcesBody(incoming);
    sendRejection(response, rejection, { requestId: id, revision, closeConnection: hasBody });
};

const admitRequest = (entry: EntryContext, arriving: ArrivingRequest, request: CallerRequest): void => {
    const { name, pool: poolName } = request.route;
    recordArrival(entry.failureLog, { route: name, pool: poolName }, Date.now());
    const pool = entry.tables.pools.get(poolName);
    if (pool === undefined || pool.view.vms.length === 0) {
        void verdictOfKey(entry, request).then(verdict =>
            rejectUnread(entry, { ...arriving, id: request.id, route: request.route }, { ...noVm(request), verdict }),
        );
        return;
    }
    const flow = createFlow(entry, arriving, request, pool);
    entry.tables.requests.set(request.id, flow);
    arriving.response.once("close", () => abandonRequest(entry, flow));
    const decision = offer(pool.admission, admissionOf(entry, request), capacityOf(pool));
    switch (decision.kind) {
        case "start":
            startFlow(entry, flow);
            return;
        case "queued":
            reportWaiting(entry, pool);
            return;
        case "rejected":
            rejectFlow(entry, flow, busy(decision.cause, request, decision.retryAfterMs));
            return;
    }
};

const noVm = (request: CallerRequest): Rejection => ({
    status: 503,
    cause: "no-vm",
    verdict: "not-run",
    message: `pool ${request.route.pool} has no serving VM`,
    retryAfterMs: RETRY_WITHOUT_VM_MS,
});

const busy = (cause: Cause, request: CallerRequest, retryAfterMs: number): Rejection => ({
    status: cause === "quota" ? 429 : 503,
    cause,
    verdict: "not-run",
    message: `pool ${request.route.pool} cannot take the request of team ${request.team}: ${cause}`,
    retryAfterMs,
});

const admissionOf = (entry: EntryContext, request: CallerRequest) => ({
    id: request.id,
    urgency: request.urgency,
    team: request.team,
    arrivedAt: request.arrivedAtMs,
    deadlineAt: request.deadlineAtMs,
    ...expectedRun(entry, request),
});

const expectedRun = (entry: EntryContext, request: CallerRequest) => {
    const runTime = runTimeOf(entry.runTimes, request.route.name);
    return runTime === undefined ? {} : { expectedRunMs: runTime.high };
};

const createFlow = (
    entry: EntryContext,
    { incoming, response, expectsContinue }: ArrivingRequest,
    request: CallerRequest,
    pool: PoolRuntime,
): RequestFlow => {
    const flow: RequestFlow = {
        request,
        incoming,
        response,
        pool,
        revision: entry.tables.view.state.revision,
        body: request.hasBody
            ? createReplayBody({
                  source: incoming,
                  replayBytes: entry.settings.limits.replayBytes,
                  maxBytes: request.route.maxBodyBytes,
                  onTooLarge: () => rejectFlow(entry, flow, tooLarge(request)),
              })
            : undefined,
        phase: "queued",
        expectsContinue,
        claim: undefined,
        claimed: false,
        running: [],
        ended: [],
        hedged: false,
        hedgeAgainAtMs: 0,
        serverError: false,
        startedAtMs: request.arrivedAtMs,
    };
    return flow;
};

const tooLarge = (request: CallerRequest): Rejection => ({
    status: 413,
    cause: "too-large",
    verdict: "not-run",
    message: `route ${request.route.name} takes bodies of at most ${request.route.maxBodyBytes} bytes`,
});
