import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import type { CloseReason, Connection } from "./connection.js";
import { acquireConnection, closeConnection, type Connections, releaseConnection } from "./connection-pool.js";
import type { Exchange, ExchangeOptions } from "./exchange.js";
import { failureCause } from "./failure-cause.js";
import { headerValue, rawHeaderText } from "./raw-headers.js";
import { detachableBody } from "./request-body.js";
import type { Carrier, RunningExchange } from "./running-exchange.js";

// The body of a refusal is read to keep the connection, but not at any length or for any time.
const MAX_REFUSAL_BYTES = 64 * 1024;
const MAX_REFUSAL_MS = 1_000;
const VERDICT_HEADER = "almondusher-verdict";
const REQUEST_ID_HEADER = "almondusher-request-id";
const SERVICE_UNAVAILABLE = 503;
const FIRST_FINAL_STATUS = 200;
// The client takes an empty text for no body.
const EMPTY_BODY = "";

/** Sends one request to an endpoint VM and streams its answer to the handler; never calls the handler before returning. */
export const runExchange = (connections: Connections, options: ExchangeOptions): Exchange => {
    const running: RunningExchange = {
        connections,
        options,
        phase: "waiting",
        body: undefined,
        connection: undefined,
        reused: false,
        bytesWrittenBefore: 0,
        bytesSent: 0,
        lastProgressAt: performance.now(),
        paused: false,
        discardedBytes: 0,
        resumeAnswer: undefined,
    };
    dispatch(running, options.fresh);
    return {
        resume: () => resume(running),
        cancel: () => fail(running, "cancelled", "the request was cancelled", "cancelled"),
        get bytesSent() {
            return bytesSent(running);
        },
        get headSent() {
            return bytesSent(running) > 0;
        },
        get bodyTaken() {
            return running.body?.taken ?? false;
        },
        get lastProgressAt() {
            return running.lastProgressAt;
        },
        get paused() {
            return running.paused;
        },
    };
};

const dispatch = (running: RunningExchange, fresh: boolean): void => {
    const { connections, options } = running;
    const connection = acquireConnection(connections, {
        address: options.address,
        fresh,
        limit: options.limits.connections,
    });
    if (connection === undefined) {
        queueMicrotask(() => failWithoutConnection(running));
        return;
    }
    const carrier = (connection.carrier ??= createCarrier(connection));
    carrier.current = running;
    running.connection = connection;
    running.reused = connection.socket !== undefined;
    running.bytesWrittenBefore = connection.socket?.bytesWritten ?? 0;
    running.body = requestBody(options);
    connection.client.dispatch(
        {
            method: options.method,
            path: options.path,
            headers: options.headers,
            body: running.body?.stream ?? bufferBody(options) ?? EMPTY_BODY,
        },
        carrier,
    );
};

const requestBody = (options: ExchangeOptions) =>
    options.body === undefined || Buffer.isBuffer(options.body) ? undefined : detachableBody(options.body);

const bufferBody = (options: ExchangeOptions): Buffer | undefined =>
    Buffer.isBuffer(options.body) ? options.body : undefined;

const failWithoutConnection = (running: RunningExchange): void => {
    const { address, limits } = running.options;
    if (running.connections.stopping) {
        fail(running, "stopping", "the process is stopping", "pool-closed");
    } else {
        fail(running, "no-capacity", `all ${limits.connections} connections to ${address} are in use`, "replaced");
    }
};

const createCarrier = (connection: Connection): Carrier => {
    const carrier: Carrier = {
        current: undefined,
        onConnect: () => start(carrier.current),
        onHeaders: (statusCode, headers, resumeAnswer, statusText) => {
            const running = carrier.current;
            if (running !== undefined) {
                running.resumeAnswer = resumeAnswer;
                receiveHead(running, statusCode, statusText, rawHeaderText(headers));
            }
            return true;
        },
        onData: chunk => (carrier.current === undefined ? true : receiveData(carrier.current, chunk)),
        onBodySent: () => {
            if (carrier.current !== undefined) {
                carrier.current.lastProgressAt = performance.now();
            }
        },
        onComplete: trailers => {
            if (carrier.current !== undefined) {
                complete(carrier.current, rawHeaderText(trailers ?? []));
            }
        },
        onError: error => {
            const running = carrier.current;
            if (running !== undefined) {
                // The client reports invalid requests while it dispatches; the caller does not have its exchange yet.
                queueMicrotask(() => receiveError(running, connection, error));
            }
        },
    };
    return carrier;
};

const start = (running: RunningExchange | undefined): void => {
    if (running?.connection !== undefined) {
        running.bytesWrittenBefore = running.connection.socket?.bytesWritten ?? 0;
        running.body?.attach();
    }
};

const receiveHead = (running: RunningExchange, statusCode: number, statusMessage: string, headers: string[]): void => {
    running.lastProgressAt = performance.now();
    if (bytesSent(running) === 0) {
        fail(running, "bad-answer", "the endpoint answered before the request was sent", "unsolicited-bytes");
    } else if (statusCode < FIRST_FINAL_STATUS) {
        running.options.handler.onInformation(statusCode, headers);
    } else if (namesOtherRequest(running, headers)) {
        fail(running, "bad-answer", "the answer names another request", "unsolicited-bytes");
    } else if (statusCode === SERVICE_UNAVAILABLE && headerValue(headers, VERDICT_HEADER) === "not-run") {
        refuse(running);
    } else {
        running.phase = "body";
        running.options.handler.onHead({ statusCode, statusMessage, headers });
    }
};

const namesOtherRequest = (running: RunningExchange, headers: readonly string[]): boolean => {
    const expected = running.options.requestId;
    return expected !== undefined && (headerValue(headers, REQUEST_ID_HEADER) ?? expected) !== expected;
};

const receiveData = (running: RunningExchange, chunk: Buffer): boolean => {
    running.lastProgressAt = performance.now();
    if (running.phase === "refused") {
        running.discardedBytes += chunk.length;
        if (running.discardedBytes > MAX_REFUSAL_BYTES) {
            giveBack(running, "exchange-failed");
        }
        return true;
    }
    running.paused = !running.options.handler.onData(chunk);
    return !running.paused;
};

const resume = (running: RunningExchange): void => {
    if (running.paused && running.phase === "body") {
        running.paused = false;
        running.lastProgressAt = performance.now();
        running.resumeAnswer?.();
    }
};

const complete = (running: RunningExchange, trailers: string[]): void => {
    const reported = running.phase === "refused";
    giveBack(running, undefined);
    running.phase = "done";
    if (!reported) {
        running.options.handler.onEnd(trailers);
    }
};

const refuse = (running: RunningExchange): void => {
    running.phase = "refused";
    setTimeout(() => giveBack(running, "exchange-failed"), MAX_REFUSAL_MS).unref();
    running.options.handler.onFailure({
        verdict: "not-run",
        cause: "endpoint-refused",
        message: `${running.options.address} refused the request`,
    });
};

const receiveError = (running: RunningExchange, connection: Connection, error: Error): void => {
    if (running.connection !== connection) {
        return;
    }
    const cause = failureCause({ error, connectFailed: connection.connectFailed, bytesSent: bytesSent(running) });
    if (cause === "connection-lost" && isUnsentOnReused(running)) {
        giveBack(running, "closed-by-endpoint");
        dispatch(running, true);
        return;
    }
    fail(
        running,
        cause,
        `${running.options.address}: ${error.message}`,
        connection.connectFailed ? "connect-failed" : "exchange-failed",
    );
};

// The endpoint closed an idle connection just before its reuse: nothing was sent, so another connection may be used.
const isUnsentOnReused = (running: RunningExchange): boolean =>
    running.reused && running.phase === "waiting" && bytesSent(running) === 0 && running.body?.taken !== true;

const fail = (running: RunningExchange, cause: Cause, message: string, reason: CloseReason): void => {
    if (running.phase === "done") {
        return;
    }
    const reported = running.phase === "refused";
    giveBack(running, reason);
    running.phase = "done";
    if (!reported) {
        const verdict: Verdict = running.bytesSent === 0 ? "not-run" : "may-have-run";
        running.options.handler.onFailure({ verdict, cause, message });
    }
};

// Ends the use of the connection: without a reason it is kept for reuse.
const giveBack = (running: RunningExchange, reason: CloseReason | undefined): void => {
    const connection = running.connection;
    if (connection === undefined) {
        return;
    }
    running.bytesSent = bytesSent(running);
    running.connection = undefined;
    if (connection.carrier?.current === running) {
        connection.carrier.current = undefined;
    }
    if (reason === undefined) {
        releaseConnection(running.connections, connection);
    } else {
        closeConnection(running.connections, connection, reason);
    }
    running.body?.detach();
};

const bytesSent = (running: RunningExchange): number => {
    const socket = running.connection?.socket;
    return socket === undefined ? running.bytesSent : socket.bytesWritten - running.bytesWrittenBefore;
};
