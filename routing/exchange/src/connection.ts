import { connect as connectSocket, Socket } from "node:net";
import { buildConnector, Client } from "undici";
import { parseAddress } from "./endpoint-address.js";

/** Reasons for closing a connection, which the pool counts. */
export const closeReasons = [
    "connect-failed",
    "idle-limit",
    "age-limit",
    "replaced",
    "unsolicited-bytes",
    "closed-by-endpoint",
    "not-kept-alive",
    "exchange-failed",
    "cancelled",
    "pool-closed",
] as const;

export type CloseReason = (typeof closeReasons)[number];

/** A TCP connection to an endpoint VM. It carries one exchange at a time and is never reconnected. */
export interface Connection {
    readonly id: number;
    /** IP address and port. */
    readonly address: string;
    close: () => void;
    /** Monotonic time in milliseconds. */
    readonly openedAt: number;
    /** `settling`: the exchange has ended; the connection becomes idle if no bytes follow in this event loop turn. */
    phase: "busy" | "settling" | "idle" | "closed";
    /** Undefined on a pooled connection until it is established; set from the start on an unpooled one. */
    socket: Socket | undefined;
    /** Set when a pooled connection could not be established; on an unpooled one, set until it is established. */
    connectFailed: boolean;
    /** Set when the endpoint has closed its side of the connection; a reset does not set it. */
    closedByEndpoint: boolean;
    /** Monotonic time in milliseconds of the end of the last exchange. */
    idleSince: number;
    /** Bytes received up to the end of the last exchange; any bytes beyond it while idle are unsolicited. */
    bytesReadWhenIdle: number;
}

/** A reusable connection, implemented as an undici client. */
export interface PooledConnection extends Connection {
    readonly client: Client;
}

export interface OpenConnectionOptions {
    readonly id: number;
    readonly address: string;
    /** Monotonic time in milliseconds. */
    readonly now: number;
    readonly connectTimeoutMs: number;
    readonly keepAliveInitialDelayMs: number;
    readonly idleMs: number;
    readonly maxHeadBytes: number;
    readonly onClose: (connection: PooledConnection) => void;
}

const CLIENT_IDLE_MARGIN_MS = 5_000;

/** Creates a reusable connection, which connects when the first exchange is dispatched on it. */
export const openConnection = (options: OpenConnectionOptions): PooledConnection => {
    const connect = buildConnector({
        timeout: options.connectTimeoutMs,
        keepAlive: true,
        keepAliveInitialDelay: options.keepAliveInitialDelayMs,
    });
    const connectOnlyOnce: buildConnector.connector = (target, callback) => {
        if (connection.socket !== undefined || connection.connectFailed || connection.phase === "closed") {
            // An undici client reconnects when its socket has closed, which would move an exchange to a new connection
            // without notice.
            const refuse = callback as unknown as (error: Error) => void;
            refuse(new Error("the connection was closed"));
            return;
        }
        connect(target, (...result) => {
            const [error, socket] = result;
            if (error instanceof Error) {
                connection.connectFailed = true;
            } else if (socket instanceof Socket) {
                connection.socket = socket;
                socket.once("end", () => {
                    connection.closedByEndpoint = true;
                });
                socket.once("close", () => options.onClose(connection));
            }
            callback(...result);
        });
    };
    const client = new Client(`http://${options.address}`, {
        pipelining: 1,
        // No fixed timeouts, which would abort long requests; the exchange and the entry process decide on timeouts.
        headersTimeout: 0,
        bodyTimeout: 0,
        // The pool enforces the idle limit; the client only shortens it if the endpoint sends a Keep-Alive timeout.
        keepAliveTimeout: options.idleMs + CLIENT_IDLE_MARGIN_MS,
        keepAliveMaxTimeout: options.idleMs + CLIENT_IDLE_MARGIN_MS,
        maxHeaderSize: options.maxHeadBytes,
        connect: connectOnlyOnce,
    });
    const connection: PooledConnection = {
        ...newConnection(options),
        close: () => client.destroy(noop),
        client,
    };
    return connection;
};

/** Opens a connection for a single exchange, as a socket without an undici client. */
export const openUnpooledConnection = (options: OpenConnectionOptions): Connection => {
    const socket = connectSocket({
        ...parseAddress(options.address),
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: options.keepAliveInitialDelayMs,
    });
    const connection: Connection = { ...newConnection(options), socket, close: () => socket.destroy() };
    const timer = setTimeout(() => socket.destroy(new Error("connect timeout")), options.connectTimeoutMs);
    connection.connectFailed = true;
    socket.once("connect", () => {
        connection.connectFailed = false;
        clearTimeout(timer);
    });
    socket.once("close", () => clearTimeout(timer));
    socket.once("end", () => {
        connection.closedByEndpoint = true;
    });
    return connection;
};

const noop = (): void => undefined;

const newConnection = ({ id, address, now }: OpenConnectionOptions): Connection => ({
    id,
    address,
    close: noop,
    openedAt: now,
    phase: "busy",
    socket: undefined,
    connectFailed: false,
    closedByEndpoint: false,
    idleSince: now,
    bytesReadWhenIdle: 0,
});
