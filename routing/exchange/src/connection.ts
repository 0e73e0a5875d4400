import { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import type { Carrier } from "./running-exchange.js";

/** Why a connection was closed; counted by the pool. */
export const closeReasons = [
    "connect-failed",
    "idle-limit",
    "age-limit",
    "replaced",
    "unsolicited-bytes",
    "closed-by-endpoint",
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
    readonly client: Client;
    /** Monotonic time in milliseconds. */
    readonly openedAt: number;
    phase: "busy" | "settling" | "idle" | "closed";
    /** Absent until the connection is established. */
    socket: Socket | undefined;
    /** Set when the connection could not be established. */
    connectFailed: boolean;
    /** Monotonic time in milliseconds of the end of the last exchange. */
    idleSince: number;
    /** Bytes received until the end of the last exchange; a higher count while idle means unsolicited bytes. */
    bytesReadWhenIdle: number;
    /** Handles the exchanges of this connection; created with the first one, so that later ones allocate none. */
    carrier: Carrier | undefined;
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
    readonly onClose: (connection: Connection) => void;
}

/** Creates a connection that is established with the first exchange dispatched on it. */
export const openConnection = (options: OpenConnectionOptions): Connection => {
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
                socket.once("close", () => options.onClose(connection));
            }
            callback(...result);
        });
    };
    const connection: Connection = {
        id: options.id,
        address: options.address,
        client: new Client(`http://${options.address}`, {
            pipelining: 1,
            // Long work is never cut by a fixed timeout; the exchange and the entry decide.
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: options.idleMs,
            keepAliveMaxTimeout: options.idleMs,
            maxHeaderSize: options.maxHeadBytes,
            connect: connectOnce,
        }),
        openedAt: options.now,
        phase: "busy",
        socket: undefined,
        connectFailed: false,
        idleSince: options.now,
        bytesReadWhenIdle: 0,
        carrier: undefined,
    };
    return connection;
};
