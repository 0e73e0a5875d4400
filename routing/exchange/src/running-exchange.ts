import type { Dispatcher } from "undici";
import type { Connection } from "./connection.js";
import type { ConnectionPool } from "./connection-pool.js";
import type { ExchangeOptions } from "./exchange.js";
import type { DetachableBody } from "./request-body.js";

/** State of an exchange from its dispatch to its end. */
export interface RunningExchange {
    readonly connections: ConnectionPool;
    readonly options: ExchangeOptions;
    /**
     * `bodyless`: the response ends with its head. `refused`: the failure was reported, and the rest of the response is
     * discarded.
     */
    phase: "waiting" | "body" | "bodyless" | "refused" | "done";
    body: DetachableBody | undefined;
    connection: Connection | undefined;
    /** Undefined for an exchange on an unpooled connection. */
    connectionHandler: ConnectionHandler | undefined;
    reused: boolean;
    bytesWrittenBefore: number;
    bytesReadBefore: number;
    /** Bytes sent; valid once the connection was released or closed. */
    bytesSent: number;
    lastProgressAt: number;
    paused: boolean;
    headReceived: boolean;
    discardedBytes: number;
    resumeResponse: (() => void) | undefined;
}

/** Dispatch handler for all exchanges of one pooled connection. */
export interface ConnectionHandler extends Dispatcher.DispatchHandler {
    current: RunningExchange | undefined;
}
