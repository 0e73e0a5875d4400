import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import type { CloseReason, Connection, PooledConnection } from "./connection.js";
import { closeConnection, releaseConnection } from "./connection-pool.js";
import { acceptResponse } from "./endpoint-echo.js";
import type { FailureEvidence } from "./failure-cause.js";
import { headerValue } from "./raw-headers.js";
import type { RunningExchange } from "./running-exchange.js";

// The body of a refusal is discarded to keep the connection reusable, within these limits of size and time.
const MAX_REFUSAL_BODY_BYTES = 64 * 1024;
const REFUSAL_BODY_TIMEOUT_MS = 1_000;
const VERDICT_HEADER = "almondusher-verdict";
const REQUEST_ID_HEADER = "almondusher-request-id";
const SERVICE_UNAVAILABLE = 503;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const FIRST_FINAL_STATUS = 200;

/** Response head as received from the HTTP client. */
export interface ReceivedHead {
    readonly statusCode: number;
    readonly statusMessage: string;
    readonly headers: string[];
}

/** Records the byte counts of the connection before the request. */
export const recordByteCounts = (running: RunningExchange, { socket }: Connection): void => {
    running.bytesWrittenBefore = socket?.bytesWritten ?? 0;
    running.bytesReadBefore = socket?.bytesRead ?? 0;
};

/** Handles the head of an informational or final response. */
export const receiveHead = (running: RunningExchange, head: ReceivedHead): void => {
    const { statusCode, headers } = head;
    running.lastProgressAt = performance.now();
    if (bytesSent(running) === 0) {
        fail(running, "bad-answer", "the endpoint answered before the request was sent", "unsolicited-bytes");
    } else if (statusCode < FIRST_FINAL_STATUS) {
        running.options.handler.onInformation(statusCode, headers);
    } else if (!isResponseToRequest(running, headers)) {
        failForeignResponse(running, head);
    } else if (isRefusal(head)) {
        reportRefusal(running);
    } else {
        running.phase = isBodyless(running.options.method, statusCode) ? "bodyless" : "body";
        running.headReceived = true;
        running.options.handler.onHead(head);
    }
};

const isRefusal = ({ statusCode, headers }: ReceivedHead): boolean =>
    statusCode === SERVICE_UNAVAILABLE && headerValue(headers, VERDICT_HEADER) === "not-run";

// Endpoints may refuse a request before they have read its id. Such a refusal is most likely the response to this
// request, but it may also be a second response to an earlier one, so that it is no evidence that this one has not run.
const failForeignResponse = (running: RunningExchange, head: ReceivedHead): void => {
    if (isRefusal(head) && headerValue(head.headers, REQUEST_ID_HEADER) === undefined) {
        const message = `${running.options.address} refused a request without naming it`;
        fail(running, "endpoint-refused", message, "unsolicited-bytes");
    } else {
        fail(running, "bad-answer", "the answer belongs to another request", "unsolicited-bytes");
    }
};

const isBodyless = (method: string, statusCode: number): boolean =>
    method === "HEAD" || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED;

const isResponseToRequest = (running: RunningExchange, headers: readonly string[]): boolean => {
    const { requestId, requiresEcho, address } = running.options;
    if (requestId === undefined) {
        return true;
    }
    const echoedId = headerValue(headers, REQUEST_ID_HEADER);
    if (echoedId !== undefined && echoedId !== requestId) {
        return false;
    }
    const { echoes } = running.connections;
    const accepted = acceptResponse(echoes, { address, echoed: echoedId !== undefined, reused: running.reused });
    return accepted && (echoedId !== undefined || requiresEcho !== true);
};

/** Handles a chunk of the response body; returns false to pause reading. */
export const receiveData = (running: RunningExchange, chunk: Buffer): boolean => {
    running.lastProgressAt = performance.now();
    if (running.phase === "refused") {
        running.discardedBytes += chunk.length;
        if (running.discardedBytes > MAX_REFUSAL_BODY_BYTES) {
            releaseOrClose(running, "exchange-failed");
        }
        return true;
    }
    running.paused = !running.options.handler.onData(chunk);
    return !running.paused;
};

/** Resumes a paused response. */
export const resume = (running: RunningExchange): void => {
    if (running.paused && running.phase === "body") {
        running.paused = false;
        running.lastProgressAt = performance.now();
        running.resumeResponse?.();
    }
};

/** Ends the exchange with a complete response; the connection is kept if no close reason is given. */
export const finish = (running: RunningExchange, trailers: string[], reason: CloseReason | undefined): void => {
    const reported = running.phase === "refused";
    releaseOrClose(running, reason);
    running.phase = "done";
    if (!reported) {
        running.options.handler.onEnd(trailers);
    }
};

const reportRefusal = (running: RunningExchange): void => {
    running.phase = "refused";
    setTimeout(() => releaseOrClose(running, "exchange-failed"), REFUSAL_BODY_TIMEOUT_MS).unref();
    running.options.handler.onFailure({
        verdict: "not-run",
        cause: "endpoint-refused",
        message: `${running.options.address} refused the request`,
    });
};

/** Ends the exchange with a failure, unless it has already ended. */
export const fail = (running: RunningExchange, cause: Cause, message: string, reason: CloseReason): void => {
    if (running.phase === "done") {
        return;
    }
    const reported = running.phase === "refused";
    releaseOrClose(running, reason);
    running.phase = "done";
    if (!reported) {
        const verdict: Verdict = running.bytesSent === 0 ? "not-run" : "may-have-run";
        running.options.handler.onFailure({ verdict, cause, message });
    }
};

/** Detaches the connection from the exchange: closes it if it is unpooled or a reason is given, else releases it. */
export const releaseOrClose = (running: RunningExchange, reason: CloseReason | undefined): void => {
    const connection = running.connection;
    if (connection === undefined) {
        return;
    }
    running.bytesSent = bytesSent(running);
    running.connection = undefined;
    if (running.connectionHandler?.current === running) {
        running.connectionHandler.current = undefined;
    }
    if (reason === undefined && isPooled(connection)) {
        releaseConnection(running.connections, connection);
    } else {
        closeConnection(running.connections, connection, reason ?? "not-kept-alive");
    }
    running.body?.detach();
};

const isPooled = (connection: Connection): connection is PooledConnection => "client" in connection;

/** Bytes of the request that were written to the socket. */
export const bytesSent = (running: RunningExchange): number => {
    const socket = running.connection?.socket;
    return socket === undefined ? running.bytesSent : socket.bytesWritten - running.bytesWrittenBefore;
};

/** Collects the evidence for the cause of a failure on a connection. */
export const failureEvidence = (running: RunningExchange, connection: Connection, error: Error): FailureEvidence => ({
    error,
    connectFailed: connection.connectFailed,
    bodyFailed: running.body?.failed ?? false,
    closedByEndpoint: connection.closedByEndpoint,
    responseReceived: (connection.socket?.bytesRead ?? 0) > running.bytesReadBefore,
});

/** Ends the exchange with an error of its connection. */
export const failOnConnection = (
    running: RunningExchange,
    connection: Connection,
    cause: Cause,
    error: Error,
): void => {
    const reason = connection.connectFailed ? "connect-failed" : "exchange-failed";
    fail(running, cause, `${running.options.address}: ${error.message}`, reason);
};

/** Ends an exchange that could not acquire a connection; called after `runExchange` has returned. */
export const failWithoutConnection = (running: RunningExchange): void => {
    const { address, limits } = running.options;
    if (running.connections.stopping) {
        fail(running, "stopping", "the process is stopping", "pool-closed");
    } else {
        fail(running, "no-capacity", `all ${limits.connections} connections to ${address} are in use`, "replaced");
    }
};
