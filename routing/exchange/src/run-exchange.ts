import type { Readable } from "node:stream";
import type { PooledConnection } from "./connection.js";
import { acquireConnection, type Connections, isSettling } from "./connection-pool.js";
import type { Exchange, ExchangeOptions } from "./exchange.js";
import {
    bytesSent,
    fail,
    failOnConnection,
    failureEvidence,
    failWithoutConnection,
    finish,
    giveBack,
    markStart,
    receiveData,
    receiveHead,
    resume,
} from "./exchange-state.js";
import { failureCause } from "./failure-cause.js";
import { headerValue, rawHeaderText } from "./raw-headers.js";
import { detachableBody } from "./request-body.js";
import { runOneShot } from "./run-one-shot.js";
import type { Carrier, RunningExchange } from "./running-exchange.js";

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
        carrier: undefined,
        reused: false,
        bytesWrittenBefore: 0,
        bytesReadBefore: 0,
        bytesSent: 0,
        lastProgressAt: performance.now(),
        paused: false,
        headReceived: false,
        discardedBytes: 0,
        resumeAnswer: undefined,
    };
    if (needsOneShot(options)) {
        runOneShot(running);
    } else {
        dispatch(running, options.fresh);
    }
    return new ExchangeHandle(running);
};

// A class, because an object literal with accessors takes over a microsecond to create, for each request.
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

    get bodyTaken(): boolean {
        return this.running.body?.taken ?? false;
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

// The client supports neither Expect nor trailers of requests.
const needsOneShot = ({ body, headers, trailers }: ExchangeOptions): boolean =>
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
        waitOrFail(running, fresh);
        return;
    }
    const carrier = carrierOf(connection);
    carrier.current = running;
    running.carrier = carrier;
    running.connection = connection;
    running.reused = connection.socket !== undefined;
    markStart(running, connection);
    running.body = isStream(options.body) ? detachableBody(options.body) : undefined;
    connection.client.dispatch(
        {
            method: options.method,
            path: options.path,
            headers: options.headers,
            body: running.body?.stream ?? (Buffer.isBuffer(options.body) ? options.body : EMPTY_BODY),
        },
        carrier,
    );
};

// A connection whose answer has just ended becomes reusable later in this turn of the event loop.
const waitOrFail = (running: RunningExchange, fresh: boolean): void => {
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

// A connection keeps the handler of its first exchange, so that later ones allocate none.
const carriers = new WeakMap<PooledConnection, Carrier>();

const carrierOf = (connection: PooledConnection): Carrier => {
    const known = carriers.get(connection);
    if (known !== undefined) {
        return known;
    }
    const created = createCarrier(connection);
    carriers.set(connection, created);
    return created;
};

const createCarrier = (connection: PooledConnection): Carrier => {
    const carrier: Carrier = {
        current: undefined,
        onConnect: () => start(carrier.current),
        onHeaders: (statusCode, headers, resumeAnswer, statusText) => {
            const running = carrier.current;
            if (running !== undefined) {
                running.resumeAnswer = resumeAnswer;
                receiveHead(running, { statusCode, statusMessage: statusText, headers: rawHeaderText(headers) });
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
                finish(carrier.current, rawHeaderText(trailers ?? []), undefined);
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
        markStart(running, running.connection);
        running.body?.attach();
    }
};

const receiveError = (running: RunningExchange, connection: PooledConnection, error: Error): void => {
    if (running.connection !== connection) {
        return;
    }
    // The client rejects a 304 with a Content-Length, which HTTP allows: such an answer ends with its head.
    if (running.phase === "bodyless") {
        finish(running, [], "not-kept-alive");
        return;
    }
    const cause = failureCause(failureEvidence(running, connection, error));
    if (cause === "connection-lost" && isUnsentOnReused(running)) {
        giveBack(running, "closed-by-endpoint");
        dispatch(running, true);
        return;
    }
    failOnConnection(running, connection, cause, error);
};

// The endpoint closed an idle connection just before its reuse: nothing was sent, so another connection may be used.
const isUnsentOnReused = (running: RunningExchange): boolean =>
    running.reused && running.phase === "waiting" && bytesSent(running) === 0 && running.body?.taken !== true;
