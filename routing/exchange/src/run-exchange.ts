import type { Readable } from "node:stream";
import type { PooledConnection } from "./connection.js";
import { acquireConnection, type ConnectionPool, isSettling } from "./connection-pool.js";
import type { Exchange, ExchangeOptions } from "./exchange.js";
import {
    bytesSent,
    fail,
    failOnConnection,
    failureEvidence,
    failWithoutConnection,
    finish,
    releaseOrClose,
    recordByteCounts,
    receiveData,
    receiveHead,
    resume,
} from "./exchange-state.js";
import { failureCause } from "./failure-cause.js";
import { headerValue, rawHeaderText } from "./raw-headers.js";
import { detachableBody } from "./request-body.js";
import { runUnpooledExchange } from "./run-unpooled-exchange.js";
import type { ConnectionHandler, RunningExchange } from "./running-exchange.js";

// The undici client treats an empty string as no body.
const EMPTY_BODY = "";

/** Sends a request to an endpoint VM and streams the response to the handler, which is called only after the return. */
export const runExchange = (connections: ConnectionPool, options: ExchangeOptions): Exchange => {
    const running: RunningExchange = {
        connections,
        options,
        phase: "waiting",
        body: undefined,
        connection: undefined,
        connectionHandler: undefined,
        reused: false,
        bytesWrittenBefore: 0,
        bytesReadBefore: 0,
        bytesSent: 0,
        lastProgressAt: performance.now(),
        paused: false,
        headReceived: false,
        discardedBytes: 0,
        resumeResponse: undefined,
    };
    if (needsUnpooledConnection(options)) {
        runUnpooledExchange(running);
    } else {
        dispatch(running, options.fresh);
    }
    return new ExchangeHandle(running);
};

// A class, because creating an object literal with accessors takes over a microsecond per request.
class ExchangeHandle implements Exchange {
    readonly resume: () => void;
    readonly cancel: () => void;
    private readonly running: RunningExchange;

    constructor(running: RunningExchange) {
        this.running = running;
        this.resume = () => resume(running);
        this.cancel = () => fail(running, "cancelled", "the request was cancelled", "cancelled");
    }

    get bytesSent(): number {
        return bytesSent(this.running);
    }

    get headSent(): boolean {
        return bytesSent(this.running) > 0;
    }

    get bodyConsumed(): boolean {
        return this.running.body?.consumed ?? false;
    }

    get lastProgressAt(): number {
        return this.running.lastProgressAt;
    }

    get headReceived(): boolean {
        return this.running.headReceived;
    }

    get waitsForCaller(): boolean {
        return this.running.paused || (this.running.body?.waitsForSource() ?? false);
    }
}

// The undici client supports neither Expect nor request trailers.
const needsUnpooledConnection = ({ body, headers, trailers }: ExchangeOptions): boolean =>
    isStream(body) && (trailers !== undefined || headerValue(headers, "expect") !== undefined);

const isStream = (body: ExchangeOptions["body"]): body is Readable => body !== undefined && !Buffer.isBuffer(body);

const dispatch = (running: RunningExchange, fresh: boolean): void => {
    const { connections, options } = running;
    const connection = acquireConnection(connections, {
        address: options.address,
        fresh,
        unused: options.unused ?? false,
        limit: options.limits.connections,
    });
    if (connection === undefined) {
        retryOrFail(running, fresh);
        return;
    }
    const handler = connectionHandlerOf(connection);
    handler.current = running;
    running.connectionHandler = handler;
    running.connection = connection;
    running.reused = connection.socket !== undefined;
    recordByteCounts(running, connection);
    running.body = isStream(options.body) ? detachableBody(options.body) : undefined;
    connection.client.dispatch(
        {
            method: options.method,
            path: options.path,
            headers: options.headers,
            body: running.body?.stream ?? (Buffer.isBuffer(options.body) ? options.body : EMPTY_BODY),
        },
        handler,
    );
};

// A connection whose response has just ended becomes idle later in this event loop turn; the dispatch is retried then.
const retryOrFail = (running: RunningExchange, fresh: boolean): void => {
    if (!isSettling(running.connections, running.options.address)) {
        queueMicrotask(() => failWithoutConnection(running));
        return;
    }
    setImmediate(() => {
        if (running.phase === "waiting") {
            dispatch(running, fresh);
        }
    });
};

// Each connection has one dispatch handler for all its exchanges, to avoid an allocation per exchange.
const connectionHandlers = new WeakMap<PooledConnection, ConnectionHandler>();

const connectionHandlerOf = (connection: PooledConnection): ConnectionHandler => {
    const known = connectionHandlers.get(connection);
    if (known !== undefined) {
        return known;
    }
    const created = createConnectionHandler(connection);
    connectionHandlers.set(connection, created);
    return created;
};

const createConnectionHandler = (connection: PooledConnection): ConnectionHandler => {
    const handler: ConnectionHandler = {
        current: undefined,
        onConnect: () => startSending(handler.current),
        onHeaders: (statusCode, headers, resumeResponse, statusText) => {
            const running = handler.current;
            if (running !== undefined) {
                running.resumeResponse = resumeResponse;
                receiveHead(running, { statusCode, statusMessage: statusText, headers: rawHeaderText(headers) });
            }
            return true;
        },
        onData: chunk => (handler.current === undefined ? true : receiveData(handler.current, chunk)),
        onBodySent: () => {
            if (handler.current !== undefined) {
                handler.current.lastProgressAt = performance.now();
            }
        },
        onComplete: trailers => {
            if (handler.current !== undefined) {
                finish(handler.current, rawHeaderText(trailers ?? []), undefined);
            }
        },
        onError: error => {
            const running = handler.current;
            if (running !== undefined) {
                // The undici client reports invalid requests during dispatch, before runExchange has returned.
                queueMicrotask(() => receiveError(running, connection, error));
            }
        },
    };
    return handler;
};

const startSending = (running: RunningExchange | undefined): void => {
    if (running?.connection !== undefined) {
        recordByteCounts(running, running.connection);
        running.body?.attach();
    }
};

const receiveError = (running: RunningExchange, connection: PooledConnection, error: Error): void => {
    if (running.connection !== connection) {
        return;
    }
    // HTTP allows Content-Length in a 304, but the undici client rejects it; the response is complete with its head.
    if (running.phase === "bodyless") {
        finish(running, [], "not-kept-alive");
        return;
    }
    const cause = failureCause(failureEvidence(running, connection, error));
    if (cause === "connection-lost" && canRetryOnNewConnection(running)) {
        releaseOrClose(running, "closed-by-endpoint");
        dispatch(running, true);
        return;
    }
    failOnConnection(running, connection, cause, error);
};

// The endpoint closed the idle connection just before its reuse. Nothing was sent, so a new connection can be used.
const canRetryOnNewConnection = (running: RunningExchange): boolean =>
    running.reused && running.phase === "waiting" && bytesSent(running) === 0 && running.body?.consumed !== true;
