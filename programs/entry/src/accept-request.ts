import type { IncomingMessage, ServerResponse } from "node:http";
import { admit } from "@almondusher/admission/admit";
import { type RequestId, toId } from "@almondusher/fleet/ids";
import type { Route } from "@almondusher/fleet/route";
import type { Cause } from "@almondusher/fleet/verdict";
import { runTimeOf } from "@almondusher/placement/run-times";
import { recordArrival } from "@almondusher/telemetry/traffic-log";
import { type CallerRequest, declaresBody, parseCallerRequest } from "./caller-request.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { poolCapacity, type PoolRuntime } from "./pool-runtime.js";
import { lookUpVerdict } from "./request-claim.js";
import { currentReadiness } from "./readiness.js";
import { recordRejection } from "./record-outcome.js";
import { type Rejection, sendRejection } from "./rejection.js";
import { createReplayBody } from "./replay-body.js";
import type { ActiveRequest } from "./active-request.js";
import { reportWaitingRequests } from "./slot-grants.js";
import { cancelRequest, rejectRequest, startRequest } from "./serve-request.js";

/** Path of the load balancer's readiness check. */
const READINESS_PATH = "/.almondusher/ready";

const NO_VM_RETRY_AFTER_MS = 5000;
const NOT_READY_RETRY_AFTER_MS = 1000;

export interface ArrivingRequest {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly expectsContinue: boolean;
}

/** Handles one caller request; every code path ends in a response, a rejection or a destroyed connection. */
export const acceptRequest = (entry: EntryContext, arriving: ArrivingRequest): void => {
    const { incoming, response } = arriving;
    const id = nextRequestId(entry);
    if (incoming.url === READINESS_PATH) {
        respondWithReadiness(entry, response);
        return;
    }
    const readiness = currentReadiness(entry);
    if (!readiness.ready && entry.tables.phase !== "draining") {
        rejectUnread(entry, { ...arriving, id }, notReadyRejection(incoming, readiness.reason));
        return;
    }
    const parsed = parseCallerRequest(incoming, { id, routes: entry.tables.view.routes, nowMs: monotonicMs() });
    switch (parsed.kind) {
        case "rejected":
            rejectUnread(entry, { ...arriving, id }, parsed.rejection);
            return;
        case "request":
            admitRequest(entry, arriving, parsed.request);
            return;
    }
};

const notReadyRejection = (incoming: IncomingMessage, reason: string): Rejection => ({
    status: 503,
    cause: "not-ready",
    // An earlier request with the same key may have run, which an entry that is not ready cannot look up.
    verdict: "idempotency-key" in incoming.headers ? "may-have-run" : "not-run",
    message: `this entry is not ready: ${reason}`,
    retryAfterMs: NOT_READY_RETRY_AFTER_MS,
});

const nextRequestId = (entry: EntryContext): RequestId => {
    entry.tables.nextRequestNumber += 1;
    return toId<RequestId>(`${entry.processId}.${entry.tables.nextRequestNumber.toString(36)}`);
};

const respondWithReadiness = (entry: EntryContext, response: ServerResponse): void => {
    const readiness = currentReadiness(entry);
    response.writeHead(readiness.ready ? 200 : 503, { "content-type": "application/json" });
    response.end(JSON.stringify(readiness));
};

/** A request that is rejected before its body is read. */
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
    const hasBody = declaresBody(incoming);
    sendRejection(response, rejection, { requestId: id, revision, closeConnection: hasBody });
};

const admitRequest = (entry: EntryContext, arriving: ArrivingRequest, request: CallerRequest): void => {
    const { name, pool: poolName } = request.route;
    recordArrival(entry.trafficLog, { route: name, pool: poolName }, Date.now());
    const pool = entry.tables.pools.get(poolName);
    if (pool === undefined || pool.view.vms.length === 0) {
        void lookUpVerdict(entry, request).then(verdict =>
            rejectUnread(
                entry,
                { ...arriving, id: request.id, route: request.route },
                { ...noVmRejection(request), verdict },
            ),
        );
        return;
    }
    const active = createActiveRequest(entry, arriving, request, pool);
    entry.tables.requests.set(request.id, active);
    arriving.response.once("close", () => cancelRequest(entry, active));
    const decision = admit(pool.admission, admissionRequest(entry, request), poolCapacity(pool));
    switch (decision.kind) {
        case "start":
            startRequest(entry, active);
            return;
        case "queued":
            reportWaitingRequests(entry, pool);
            return;
        case "rejected":
            rejectRequest(entry, active, admissionRejection(decision.cause, request, decision.retryAfterMs));
            return;
    }
};

const noVmRejection = (request: CallerRequest): Rejection => ({
    status: 503,
    cause: "no-vm",
    verdict: "not-run",
    message: `pool ${request.route.pool} has no serving VM`,
    retryAfterMs: NO_VM_RETRY_AFTER_MS,
});

const admissionRejection = (cause: Cause, request: CallerRequest, retryAfterMs: number): Rejection => ({
    status: cause === "quota" ? 429 : 503,
    cause,
    verdict: "not-run",
    message: `pool ${request.route.pool} cannot take the request of team ${request.team}: ${cause}`,
    retryAfterMs,
});

const admissionRequest = (entry: EntryContext, request: CallerRequest) => ({
    id: request.id,
    urgency: request.urgency,
    team: request.team,
    arrivedAt: request.arrivedAtMs,
    deadlineAt: request.deadlineAtMs,
    ...expectedRunTime(entry, request),
});

const expectedRunTime = (entry: EntryContext, request: CallerRequest) => {
    const runTime = runTimeOf(entry.runTimes, request.route.name);
    return runTime === undefined ? {} : { expectedRunMs: runTime.p95 };
};

const createActiveRequest = (
    entry: EntryContext,
    { incoming, response, expectsContinue }: ArrivingRequest,
    request: CallerRequest,
    pool: PoolRuntime,
): ActiveRequest => {
    const active: ActiveRequest = {
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
                  onTooLarge: () => rejectRequest(entry, active, bodyTooLargeRejection(request)),
              })
            : undefined,
        phase: "queued",
        expectsContinue,
        claim: undefined,
        claimed: false,
        running: [],
        ended: [],
        hedged: false,
        nextHedgeAtMs: 0,
        serverError: false,
        startedAtMs: request.arrivedAtMs,
    };
    return active;
};

const bodyTooLargeRejection = (request: CallerRequest): Rejection => ({
    status: 413,
    cause: "too-large",
    verdict: "not-run",
    message: `route ${request.route.name} takes bodies of at most ${request.route.maxBodyBytes} bytes`,
});
