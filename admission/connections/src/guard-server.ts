import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createByteCollector } from "./byte-collector.js";
import type { ClientLimits } from "./client-limits.js";

/** Why a connection was closed. */
type LimitReason = "too-many-connections" | "too-much-held" | "slow-head" | "stalled-body" | "unread-answer";

export interface GuardOptions {
    readonly limits: ClientLimits;
    /** Times that clients have been promised; a longer one takes precedence over that of the limits. */
    readonly promised?: () => PromisedTimes | undefined;
    /** Called at most once a second for each reason, with the number of connections closed since. */
    readonly report: (reason: LimitReason, closed: number) => void;
}

interface PromisedTimes {
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** Body of a request. */
type ReceivedBody =
    | { readonly kind: "whole"; readonly text: string }
    | { readonly kind: "too-large" }
    /** The connection ended before the body did. */
    | { readonly kind: "left" };

/** Keeps the connections of a server within limits. */
export interface ServerGuard {
    /** Wraps a handler so that at most `requestsInWork` requests of a connection are handled at once, in order. */
    readonly inTurn: (handle: RequestListener) => RequestListener;
    /** Reads the body of a request that is in turn; what it holds counts. */
    readonly receiveBody: (request: IncomingMessage, maxBytes: number) => Promise<ReceivedBody>;
}

interface GuardedConnection {
    readonly socket: Socket;
    /** Requests that are handled and not fully answered. */
    inWork: number;
    /** Requests whose body has not fully arrived. */
    unfinished: IncomingMessage | undefined;
    readonly waiting: (() => void)[];
    /** Bytes that were received and not parsed yet. */
    unparsed: Buffer[];
    /** Passes bytes to the server's parser. */
    readonly parse: (bytes: Buffer) => void;
    isParsing: boolean;
    heldBytes: number;
    /** Whether a request was answered on it. */
    served: boolean;
    lastMoveMs: number;
    /** Bytes received when its last request had arrived. */
    bytesAtRest: number;
    lastBytesRead: number;
    lastPendingBytes: number;
    lastBytesWritten: number;
    headMs: number;
    bodyStallMs: number;
    answerStallMs: number;
}

// A block as received can hold thousands of requests, which the parser would turn into objects at once: it gets a slice
// at a time, and the next one when the connection's requests are in work.
const HEAD_SLICE_BYTES = 1024;
const BODY_SLICE_BYTES = 16_384;
// Bytes of heads parsed in one turn of the event loop, over all connections: what connections closed meanwhile have held
// is released only after it.
const TURN_BYTES = 65_536;
// What a parsed request and its response cost on the heap.
const REQUEST_BYTES = 4096;
const SWEEP_INTERVAL_MS = 1000;
// Limits the time that a sweep adds: after a pause of the process, what arrived meanwhile has not been read yet.
const MAX_SWEEP_STEP_MS = 2 * SWEEP_INTERVAL_MS;
// A client may end a request with an empty line too much, which begins no head.
const MIN_HEAD_BYTES = 5;
// Weight of a connection that has just moved, so that its size still counts.
const LEAST_REST_MS = 100;
const REQUEST_TIMEOUT_RESPONSE = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/** Guards a server that is not listening yet; its handlers must be wrapped with `inTurn`. */
export const guardServer = (server: Server, { limits, promised, report }: GuardOptions): ServerGuard => {
    // In the order of their last move, the longest ago first.
    const connections = new Map<Socket, GuardedConnection>();
    const closed = new Map<LimitReason, number>();
    let heldBytes = 0;

    const closeFor = (reason: LimitReason, connection: GuardedConnection, farewell = ""): void => {
        closed.set(reason, (closed.get(reason) ?? 0) + 1);
        const { socket } = connection;
        forget(connection);
        if (farewell === "") {
            socket.destroy();
        } else {
            socket.end(farewell, () => socket.destroy());
        }
    };
    const forget = (connection: GuardedConnection): void => {
        if (connections.delete(connection.socket)) {
            heldBytes -= connection.heldBytes;
            connection.waiting.length = 0;
            connection.unparsed = [];
            deferred.delete(connection);
        }
    };
    const move = (connection: GuardedConnection): void => {
        connection.lastMoveMs = performance.now();
        if (connections.delete(connection.socket)) {
            connections.set(connection.socket, connection);
        }
    };
    const hold = (connection: GuardedConnection, bytes: number): void => {
        if (!connections.has(connection.socket)) {
            return;
        }
        connection.heldBytes += bytes;
        heldBytes += bytes;
        while (heldBytes > limits.heldBytes) {
            const heaviest = findHeaviest([...connections.values()]);
            if (heaviest === undefined) {
                return;
            }
            closeFor("too-much-held", heaviest);
        }
    };

    const start = (
        connection: GuardedConnection,
        request: IncomingMessage,
        response: ServerResponse,
        handle: RequestListener,
    ): void => {
        connection.inWork += 1;
        const heldBefore = REQUEST_BYTES;
        response.once("close", () => {
            connection.inWork -= 1;
            connection.served = true;
            connection.bytesAtRest = connection.socket.bytesRead;
            hold(connection, -(heldBefore + takeBodyBytes(request)));
            move(connection);
            // In a later turn, so that other connections come in between.
            setImmediate(startNext, connection);
        });
        handle(request, response);
    };
    const startNext = (connection: GuardedConnection): void => {
        while (connection.inWork < limits.requestsInWork && connection.waiting.length > 0) {
            connection.waiting.shift()?.();
        }
        feed(connection);
    };
    const deferred = new Set<GuardedConnection>();
    let turnBytes = 0;
    const nextTurn = (): void => {
        turnBytes = 0;
        const due = [...deferred];
        deferred.clear();
        due.forEach(feed);
    };
    // Takes from the bytes of a turn; the connection goes on in the next one if they are used up.
    const takeTurn = (connection: GuardedConnection): boolean => {
        if (turnBytes >= TURN_BYTES) {
            deferred.add(connection);
            return false;
        }
        if (turnBytes === 0) {
            setImmediate(nextTurn);
        }
        turnBytes += HEAD_SLICE_BYTES;
        return true;
    };
    const feed = (connection: GuardedConnection): void => {
        const { socket } = connection;
        // The parser can't be entered again from what it calls.
        if (connection.isParsing) {
            return;
        }
        while (connections.has(socket) && canTake(connection)) {
            const [block] = connection.unparsed;
            if (block === undefined) {
                socket.resume();
                return;
            }
            const isInBody = hasUnfinished(connection);
            if (!isInBody && !takeTurn(connection)) {
                break;
            }
            const bytes = Math.min(block.length, isInBody ? BODY_SLICE_BYTES : HEAD_SLICE_BYTES);
            connection.unparsed[0] = block.subarray(bytes);
            if (bytes === block.length) {
                connection.unparsed.shift();
                hold(connection, -block.buffer.byteLength);
            }
            connection.isParsing = true;
            connection.parse(block.subarray(0, bytes));
            connection.isParsing = false;
            if (hasLostParser(socket)) {
                forget(connection);
            }
        }
        if (connection.unparsed.length > 0) {
            socket.pause();
        }
    };
    const bodies = new WeakMap<IncomingMessage, { bytes: number }>();
    const takeBodyBytes = (request: IncomingMessage): number => {
        const bytes = bodies.get(request)?.bytes ?? 0;
        bodies.delete(request);
        return bytes;
    };

    server.on("connection", socket => {
        const connection = newConnection(socket);
        if (connections.size >= limits.connections) {
            const idle = findIdle(connections.values());
            if (idle === undefined) {
                closeFor("too-many-connections", connection);
                return;
            }
            closeFor("too-many-connections", idle);
        }
        connections.set(socket, connection);
        socket.removeAllListeners("data");
        socket.on("data", block => {
            connection.unparsed.push(block);
            hold(connection, block.buffer.byteLength);
            feed(connection);
        });
        socket.on("resume", () => feed(connection));
        socket.once("close", () => forget(connection));
    });
    // The server's own timeouts also end connections on which nothing has begun, and bodies that go on.
    server.headersTimeout = 0;
    server.requestTimeout = 0;

    let sweptAtMs = performance.now();
    const sweep = setInterval(() => {
        const nowMs = performance.now();
        const stepMs = Math.min(nowMs - sweptAtMs, MAX_SWEEP_STEP_MS);
        sweptAtMs = nowMs;
        const { headerTimeoutMs = 0, idleTimeoutMs = 0 } = promised?.() ?? {};
        const timeouts = {
            headTimeoutMs: Math.max(limits.headTimeoutMs, headerTimeoutMs),
            stallTimeoutMs: Math.max(limits.stallTimeoutMs, idleTimeoutMs),
        };
        [...connections.values()].forEach(connection => {
            const reason = findStall(connection, stepMs, timeouts);
            if (reason !== undefined) {
                closeFor(reason, connection, reason === "slow-head" ? REQUEST_TIMEOUT_RESPONSE : "");
            }
        });
        closed.forEach((count, reason) => report(reason, count));
        closed.clear();
    }, SWEEP_INTERVAL_MS);
    sweep.unref();
    server.once("close", () => clearInterval(sweep));

    return {
        inTurn: handle => (request, response) => {
            const connection = connections.get(request.socket);
            if (connection === undefined) {
                // Closed for a limit while requests that had been read with it were still being parsed.
                return;
            }
            move(connection);
            trackArrival(connection, request);
            if (!request.complete) {
                request.on("resume", () => feed(connection));
            }
            hold(connection, REQUEST_BYTES);
            if (connection.inWork < limits.requestsInWork && connection.waiting.length === 0) {
                start(connection, request, response, handle);
            } else {
                connection.waiting.push(() => start(connection, request, response, handle));
            }
        },
        receiveBody: (request, maxBytes) =>
            new Promise(resolve => {
                const connection = connections.get(request.socket);
                if (connection === undefined) {
                    resolve({ kind: "left" });
                    return;
                }
                const collector = createByteCollector();
                const body = { bytes: 0 };
                bodies.set(request, body);
                request.on("data", (part: Buffer) => {
                    connection.lastMoveMs = performance.now();
                    if (collector.length() + part.length > maxBytes) {
                        collector.clear();
                        hold(connection, -takeBodyBytes(request));
                        request.removeAllListeners("data");
                        resolve({ kind: "too-large" });
                        return;
                    }
                    collector.append(part);
                    const grownBytes = collector.capacity() - body.bytes;
                    body.bytes += grownBytes;
                    if (grownBytes > 0) {
                        hold(connection, grownBytes);
                    }
                });
                request.once("end", () => resolve({ kind: "whole", text: collector.bytes().toString() }));
                request.once("error", () => undefined);
                request.once("close", () => {
                    collector.clear();
                    resolve({ kind: "left" });
                });
            }),
    };
};

// The server listens for the data of a connection before anyone else; the guard comes in between.
const newConnection = (socket: Socket, parsers = socket.listeners("data")): GuardedConnection => ({
    socket,
    inWork: 0,
    unfinished: undefined,
    waiting: [],
    unparsed: [],
    isParsing: false,
    parse: bytes => parsers.forEach(parser => void parser.call(socket, bytes)),
    heldBytes: 0,
    served: false,
    lastMoveMs: performance.now(),
    bytesAtRest: 0,
    lastBytesRead: 0,
    lastPendingBytes: 0,
    lastBytesWritten: 0,
    headMs: 0,
    bodyStallMs: 0,
    answerStallMs: 0,
});

const trackArrival = (connection: GuardedConnection, request: IncomingMessage): void => {
    connection.unfinished = request;
    connection.bytesAtRest = connection.socket.bytesRead;
    connection.headMs = 0;
    connection.bodyStallMs = 0;
};

const hasUnfinished = ({ unfinished }: GuardedConnection): boolean => unfinished?.complete === false;

// After CONNECT or an upgrade the connection is no longer the server's, and its parser serves another one.
const hasLostParser = (socket: Socket & { readonly parser?: unknown }): boolean =>
    (socket.parser ?? undefined) === undefined;

// While requests wait or the body's reader has paused, more would only pile up.
const canTake = ({ waiting, unfinished }: GuardedConnection): boolean =>
    waiting.length === 0 && !(unfinished?.complete === false && unfinished.readableFlowing === false);

const isIdle = (connection: GuardedConnection): boolean =>
    connection.inWork === 0 &&
    connection.waiting.length === 0 &&
    connection.unparsed.length === 0 &&
    !hasUnfinished(connection);

// Among idle connections those that never had a request go first: clients that come back keep theirs. With none idle,
// one whose request has not arrived in full goes.
const findIdle = (connections: Iterable<GuardedConnection>): GuardedConnection | undefined => {
    const all = [...connections];
    return (
        all.find(connection => !connection.served && isIdle(connection)) ??
        all.find(isIdle) ??
        all.find(connection => hasUnfinished(connection) && connection.inWork <= 1)
    );
};

// What holds most and has moved least: the product lets a large body that goes on pass before a smaller one that has
// stopped. Connections whose requests have all arrived are closed only if there are no others.
const findHeaviest = (connections: readonly GuardedConnection[]): GuardedConnection | undefined => {
    const nowMs = performance.now();
    const weigh = ({ heldBytes, lastMoveMs }: GuardedConnection): number =>
        heldBytes * (nowMs - lastMoveMs + LEAST_REST_MS);
    const heaviestOf = (candidates: readonly GuardedConnection[]): GuardedConnection | undefined =>
        candidates.reduce<GuardedConnection | undefined>(
            (best, connection) => (best === undefined || weigh(connection) > weigh(best) ? connection : best),
            undefined,
        );
    return (
        heaviestOf(
            connections.filter(
                connection => hasUnfinished(connection) || connection.inWork === 0 || connection.waiting.length > 0,
            ),
        ) ?? heaviestOf(connections.filter(connection => connection.heldBytes > 0))
    );
};

const findStall = (
    connection: GuardedConnection,
    stepMs: number,
    { headTimeoutMs, stallTimeoutMs }: Pick<ClientLimits, "headTimeoutMs" | "stallTimeoutMs">,
): LimitReason | undefined => {
    const { socket } = connection;
    const hasReceived = socket.bytesRead !== connection.lastBytesRead;
    const hasSent =
        socket.writableLength !== connection.lastPendingBytes || socket.bytesWritten !== connection.lastBytesWritten;
    connection.lastBytesRead = socket.bytesRead;
    connection.lastPendingBytes = socket.writableLength;
    connection.lastBytesWritten = socket.bytesWritten;
    if (!isIdle(connection)) {
        connection.bytesAtRest = socket.bytesRead;
    }
    const isInHead = isIdle(connection) && socket.bytesRead - connection.bytesAtRest >= MIN_HEAD_BYTES;
    connection.headMs = isInHead ? connection.headMs + stepMs : 0;
    // While the process itself does not read, the client can't go on.
    const isBodyAtRest = hasUnfinished(connection) && !hasReceived && !socket.isPaused();
    connection.bodyStallMs = isBodyAtRest ? connection.bodyStallMs + stepMs : 0;
    connection.answerStallMs = socket.writableLength > 0 && !hasSent ? connection.answerStallMs + stepMs : 0;
    if (connection.headMs > headTimeoutMs) {
        return "slow-head";
    }
    if (connection.bodyStallMs > stallTimeoutMs) {
        return "stalled-body";
    }
    return connection.answerStallMs > stallTimeoutMs ? "unread-answer" : undefined;
};
