import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { findQueue, type QueueMatch } from "@almondusher/jobs/configuration";
import { isJobId, type TenantName } from "@almondusher/jobs/ids";
import { keyOfCall } from "@almondusher/platform-adapter/call-key";
import { encodeJobState, encodePending } from "@almondusher/platform-adapter/job-responses";
import type { ServerGuard } from "@almondusher/connections/guard-server";
import { createErrorReporter } from "../process/contain-errors.js";
import { guardClients } from "../process/guard-clients.js";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import { createCancellationMarks, type CancellationMarks } from "./cancellation-marks.js";
import { cancelJob, readJobState, submitJob, type JobCallResult, type JobCall } from "./job-api.js";
import type { OperatorFeed } from "../operator/operator-feed.js";
import type { CountedJobs } from "./pending-count.js";
import { createTenantCallCounter, type TenantCallCounter } from "./count-tenant-call.js";
import { identifyCaller } from "./identify-caller.js";

export interface EntryServerOptions {
    readonly context: DispatcherContext;
    readonly operator: OperatorFeed;
    /** Counts the accepted jobs of a queue that have not started; undefined if the count is not available. */
    readonly countPending: (match: QueueMatch) => Promise<CountedJobs | undefined>;
}

// Applies to requests without a `deadline-ms` header.
const DEFAULT_RESPONSE_TIMEOUT_MS = 2500;
// Reserved for the transfer of the response to the client.
const RESPONSE_MARGIN_MS = 400;
const RETRY_AFTER_NOT_READY_SECONDS = 1;

/** Creates the HTTP server through which clients submit, query and cancel jobs. */
export const createEntryServer = (options: EntryServerOptions): Server => {
    const { context } = options;
    const reportError = createErrorReporter({ context, part: "entry" });
    const countTenantCall = createTenantCallCounter(context.metrics);
    const marks = createCancellationMarks(context);
    const server = createServer();
    const guard = guardClients(server, {
        context,
        listener: "clients",
        promised: () => options.operator.configuration()?.limits,
    });
    server.on(
        "request",
        guard.inTurn((request, response) => {
            const startedMs = context.monotonicMs();
            handleRequest({ ...options, guard, countTenantCall, marks }, request, response, startedMs).catch(
                (error: unknown) => {
                    reportError(error);
                    if (!response.headersSent) {
                        sendJson(response, 500, { error: "internal" });
                    }
                },
            );
            response.on("finish", () => context.metrics.record("request", context.monotonicMs() - startedMs));
        }),
    );
    return server;
};

interface Entry extends EntryServerOptions {
    readonly guard: ServerGuard;
    readonly countTenantCall: TenantCallCounter;
    readonly marks: CancellationMarks;
}

const handleRequest = async (
    options: Entry,
    request: IncomingMessage,
    response: ServerResponse,
    startedMs: number,
): Promise<void> => {
    const configuration = options.operator.configuration();
    if (configuration === undefined) {
        sendUnavailable(response, "no configuration is known yet", RETRY_AFTER_NOT_READY_SECONDS);
        return;
    }
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    const match = findQueue(configuration, hostOf(request), path);
    if (match === undefined) {
        request.resume();
        options.context.metrics.count("requests_without_queue");
        options.context.log("request-rejected", { path, cause: "no-queue", configuration: configuration.version });
        sendJson(response, 404, { error: "no such queue" });
        return;
    }
    const caller = identifyCaller(configuration, match.queue, keyOfCall(request.headers));
    if (caller.kind === "rejected") {
        request.resume();
        const { cause } = caller;
        const { version } = configuration;
        options.context.metrics.count(`requests_rejected_${cause.replaceAll("-", "_")}`);
        options.context.log("request-rejected", { path, cause, queue: match.queue.name, configuration: version });
        sendJson(response, 401, { error: "the key is not valid" });
        return;
    }
    options.countTenantCall(configuration, caller.tenant);
    const body = await options.guard.receiveBody(request, configuration.limits.maxBodyBytes);
    switch (body.kind) {
        case "left":
            return;
        case "too-large":
            sendJson(response, 413, { error: "the body is too large" });
            return;
        case "whole":
            break;
    }
    const deadlineMs = startedMs + requestTimeoutMs(request) - RESPONSE_MARGIN_MS;
    const decided = { tenant: caller.tenant, configuration: configuration.version };
    await handleMatched(options, { request, response, match, ...decided, body: body.text, deadlineMs });
};

interface MatchedRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly match: QueueMatch;
    readonly tenant: TenantName | undefined;
    /** Version of the configuration that decided on the key. */
    readonly configuration: number;
    readonly body: string;
    readonly deadlineMs: number;
}

const handleMatched = async (options: Entry, matched: MatchedRequest): Promise<void> => {
    const { request, response, match, tenant, configuration, body, deadlineMs } = matched;
    const { context } = options;
    if (match.rest === "" && request.method === "GET") {
        const pending = await options.countPending(match);
        if (pending === undefined) {
            sendUnavailable(response, "the queue's length is not known now", RETRY_AFTER_NOT_READY_SECONDS);
        } else {
            context.log("pending-answered", { queue: match.queue.name, tenant, ...pending });
            send(response, 200, encodePending(pending.jobs));
        }
        return;
    }
    if (!isJobId(match.rest)) {
        sendJson(response, 404, { error: "no such job" });
        return;
    }
    const call: JobCall = { queue: match.queue, tenant, configuration, id: match.rest, deadlineMs };
    const result = await dispatchCall(options, request.method ?? "", call, body);
    if (result === undefined) {
        sendJson(response, 405, { error: "use POST, GET or DELETE" });
        return;
    }
    logResult(context, request.method ?? "", call, result);
    sendResult(response, result);
};

const dispatchCall = (
    { context, marks }: Entry,
    method: string,
    call: JobCall,
    body: string,
): Promise<JobCallResult> | undefined => {
    switch (method) {
        case "POST":
            return submitJob(context, call, body);
        case "GET":
            return readJobState(context, call);
        case "DELETE":
            return cancelJob(context, call, marks);
        default:
            return undefined;
    }
};

const logResult = (context: DispatcherContext, method: string, call: JobCall, result: JobCallResult): void => {
    const { queue, id, tenant, configuration } = call;
    context.metrics.count(`requests_${method.toLowerCase()}_${result.kind.replaceAll("-", "_")}`);
    if (method !== "GET" || (result.kind !== "state" && result.kind !== "unknown-job")) {
        const { kind, ...details } = result;
        const decision = tenant === undefined ? {} : { tenant, configuration };
        context.log("request-answered", { job: id, method, queue: queue.name, ...decision, outcome: kind, ...details });
    }
};

const sendResult = (response: ServerResponse, result: JobCallResult): void => {
    switch (result.kind) {
        case "accepted":
        case "cancelled":
            send(response, 200, "{}");
            break;
        case "state":
            send(response, 200, encodeJobState(result.state));
            break;
        case "not-run":
            sendUnavailable(response, result.cause, result.retryAfterSeconds);
            break;
        case "unknown-job":
            sendJson(response, 410, { error: "no such job" });
            break;
        case "invalid":
            sendJson(response, 400, { error: result.message });
            break;
        case "unknown":
            sendJson(response, 504, { error: result.cause });
            break;
    }
};

const hostOf = (request: IncomingMessage): string => (request.headers.host ?? "").replace(/:\d+$/, "");

const requestTimeoutMs = (request: IncomingMessage): number => {
    const declared = Number(request.headers["deadline-ms"]);
    return Number.isFinite(declared) && declared > 0 ? declared : DEFAULT_RESPONSE_TIMEOUT_MS + RESPONSE_MARGIN_MS;
};

const sendUnavailable = (response: ServerResponse, reason: string, retryAfterSeconds: number): void => {
    response.setHeader("retry-after", String(retryAfterSeconds));
    sendJson(response, 503, { error: reason });
};

const sendJson = (response: ServerResponse, status: number, body: object): void =>
    send(response, status, JSON.stringify(body));

const send = (response: ServerResponse, status: number, body: string): void => {
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
};
