import type { Dispatcher } from "undici";
import type { Connection } from "./connection.js";
import type { Connections } from "./connection-pool.js";
import type { ExchangeOptions } from "./exchange.js";
import type { DetachableBody } from "./request-body.js";

/** State of an exchange between its dispatch and its end. */
export interface RunningExchange {
    readonly connections: Connections;
    readonly options: ExchangeOptions;
    /**
     * `bodyless` means that the answer ended with its head; `refused` that the failure was reported and the rest of the
     * answer is discarded.
     */
    phase: "waiting" | "body" | "bodyless" | "refused" | "done";
    body: DetachableBody | undefined;
    connection: Connection | undefined;
    /** Absent for an exchange outside of the client. */
    carrier: Carrier | undefined;
    reused: boolean;
    bytesWrittenBefore: number;
    bytesReadBefore: number;
    /** Bytes sent, valid once the connection was given back. */
    bytesSent: number;
    lastProgressAt: number;
    paused: boolean;
    headReceived: boolean;
    discardedBytes: number;
    resumeAnswer: (() => void) | undefined;
}

/** Handler of the client for all exchanges of one connection. */
export interface Carrier extends Dispatcher.DispatchHandler {
    current: RunningExchange | undefined;
}
