import { connect as connectSocket, Socket } from "node:net";
import { buildConnector, Client } from "undici";
import { parseAddress } from "./endpoint-address.js";

/** Why a connection was closed; counted by the pool. */
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

/** One of the counted reasons. */
export type CloseReason = (typeof closeReasons)[number];

/** One TCP connection to an endpoint VM; it carries one exchange at a time and is never reopened. */
export interface Connection {
    readonly id: number;
    /** IP address and port. */
    readonly address: string;
    close: () => void;
    /** Monotonic time in milliseconds. */
    readonly openedAt: number;
    phase: "busy" | "settling" | "idle" | "closed";
    /** Absent until the connection is established. */
    socket: Socket | undefined;
    /** Set when the connection could not be established. */
    connectFailed: boolean;
    /** Set when the endpoint closed or reset the connection. */
    closedByEndpoint: boolean;
    /** Monotonic time in milliseconds of the end of the last exchange. */
    idleSince: number;
    /** Bytes received until the end of the last exchange; a higher count while idle means unsolicited bytes. */
    bytesReadWhenIdle: number;
}

/** A connection that is reused, as one client. */
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

/** Creates a connection that is established with the first exchange dispatched on it. */
export const openConnection = (options: OpenConnectionOptions): PooledConnection => {
    const connect = buildConnector({
        timeout: options.connectTimeoutMs,
        keepAlive: true,
        keepAliveInitialDelay: options.keepAliveInitialDelayMs,
    });
    const connectOnce: buildConnector.connector = (target, callback) => {
        if (connection.socket !== undefined || connection.connectFailed || connection.phase === "closed") {
            // A client reconnects after its socket closed; an exchange must not move to another connection unnoticed.
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
        // Long work is never cut by a fixed timeout; the exchange and the entry decide.
        headersTimeout: 0,
        bodyTimeout: 0,
        // The pool enforces the idle limit; the client only shortens it when the endpoint asks for that.
        keepAliveTimeout: options.idleMs + CLIENT_IDLE_MARGIN_MS,
        keepAliveMaxTimeout: options.idleMs + CLIENT_IDLE_MARGIN_MS,
        maxHeaderSize: options.maxHeadBytes,
        connect: connectOnce,
    });
    const connection: PooledConnection = {
        ...newConnection(options),
        close: () => client.destroy(ignore),
        client,
    };
    return connection;
};

/** Connects a socket for a single exchange outside of any client. */
export const openOneShot = (options: OpenConnectionOptions): Connection => {
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

const ignore = (): void => undefined;

const newConnection = ({ id, address, now }: OpenConnectionOptions): Connection => ({
    id,
    address,
    close: ignore,
    openedAt: now,
    phase: "busy",
    socket: undefined,
    connectFailed: false,
    closedByEndpoint: false,
    idleSince: now,
    bytesReadWhenIdle: 0,
});
