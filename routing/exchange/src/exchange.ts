import type { Readable } from "node:stream";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";

/** Head of the final answer; headers are a raw list of names and values. */
interface AnswerHead {
    readonly statusCode: number;
    readonly statusMessage: string;
    readonly headers: string[];
}

/** Why an exchange failed and whether the request may have run. */
export interface ExchangeFailure {
    readonly verdict: Verdict;
    readonly cause: Cause;
    readonly message: string;
}

/** Receives the events of one exchange; exactly one of onEnd and onFailure is called, once. */
export interface ExchangeHandler {
    /** An informational answer such as 102 or 103. */
    onInformation: (statusCode: number, headers: string[]) => void;
    onHead: (head: AnswerHead) => void;
    /** Returns false to pause until `resume`. */
    onData: (chunk: Buffer) => boolean;
    onEnd: (trailers: string[]) => void;
    onFailure: (failure: ExchangeFailure) => void;
}

/** Limits of one exchange. */
interface ExchangeLimits {
    /** Connections that this process may hold to the address. */
    readonly connections: number;
}

/** One request to an endpoint VM. */
export interface ExchangeOptions {
    /** IP address and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Raw list of names and values without hop-by-hop headers. */
    readonly headers: string[];
    /**
     * A buffer can serve further attempts. A stream is read only once the connection is established and is never
     * destroyed: if the exchange ends before the stream, it is left paused and its owner discards or closes the rest.
     */
    readonly body: Readable | Buffer | undefined;
    /** Trailers of a streamed body, read once it has ended; a raw list of names and values. */
    readonly trailers?: () => readonly string[];
    /** Demands a connection that is new or was used within `nonIdempotentIdleMs`. */
    readonly fresh: boolean;
    /** Demands a connection that has carried no request. */
    readonly unused?: boolean;
    /** Value of the request's almondusher-request-id header; an answer that names another one is rejected. */
    readonly requestId?: string;
    /** Rejects also an answer that names no request. */
    readonly requiresEcho?: boolean;
    readonly handler: ExchangeHandler;
    readonly limits: ExchangeLimits;
}

/** A running exchange and the evidence of what was sent. */
export interface Exchange {
    /** Continues after onData returned false. */
    resume: () => void;
    /** Ends the exchange with the cause `cancelled` and closes its connection. */
    cancel: () => void;
    /** Bytes of the request that were handed to the socket. */
    readonly bytesSent: number;
    /** True once the head of the request was handed to the socket. */
    readonly headSent: boolean;
    /** True once a byte of a streamed body was read from its source. */
    readonly bodyTaken: boolean;
    /** Monotonic time in milliseconds of the last sign of progress: start, body sent, or bytes of the answer. */
    readonly lastProgressAt: number;
    /** True once the head of the final answer has arrived. */
    readonly headReceived: boolean;
    /** True while the answer is paused or the body waits for its source, so that silence says nothing about the endpoint. */
    readonly waitsForCaller: boolean;
}
