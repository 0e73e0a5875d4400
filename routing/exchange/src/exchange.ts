import type { Readable } from "node:stream";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";

/** Head of the final response; headers are a raw list of names and values. */
interface ResponseHead {
    readonly statusCode: number;
    readonly statusMessage: string;
    readonly headers: string[];
}

/** Why an exchange failed, and whether the endpoint may have run the request. */
export interface ExchangeFailure {
    readonly verdict: Verdict;
    readonly cause: Cause;
    readonly message: string;
}

/** Handler for the events of one exchange; either onEnd or onFailure is called exactly once. */
export interface ExchangeHandler {
    /** Called for each informational response, such as 102 or 103. */
    onInformation: (statusCode: number, headers: string[]) => void;
    onHead: (head: ResponseHead) => void;
    /** Returns false to pause the response until `resume` is called. */
    onData: (chunk: Buffer) => boolean;
    onEnd: (trailers: string[]) => void;
    onFailure: (failure: ExchangeFailure) => void;
}

/** Limits of one exchange. */
interface ExchangeLimits {
    /** Maximum number of connections of this process to the address. */
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
     * A buffer can be sent again in further attempts. A stream is read only after the connection is established and is
     * never destroyed: if the exchange ends before the stream, the stream stays paused, and its owner discards the rest
     * or closes it.
     */
    readonly body: Readable | Buffer | undefined;
    /** Returns the trailers of a streamed body as a raw list of names and values; called after the body has ended. */
    readonly trailers?: () => readonly string[];
    /** Requires a connection that is new or was last used within `nonIdempotentIdleMs`. */
    readonly fresh: boolean;
    /** Requires a connection that has not carried a request yet. */
    readonly unused?: boolean;
    /** Value of the almondusher-request-id header of the request; a response with a different one is rejected. */
    readonly requestId?: string;
    /** Also rejects a response without an almondusher-request-id header. */
    readonly requiresEcho?: boolean;
    readonly handler: ExchangeHandler;
    readonly limits: ExchangeLimits;
}

/** A running exchange, with the state that shows what was sent and received. */
export interface Exchange {
    /** Resumes the response after onData returned false. */
    resume: () => void;
    /** Ends the exchange with the cause `cancelled` and closes its connection. */
    cancel: () => void;
    /** Bytes of the request that were written to the socket. */
    readonly bytesSent: number;
    /** True once the head of the request was written to the socket. */
    readonly headSent: boolean;
    /** True once a byte of a streamed body was read from its source. */
    readonly bodyConsumed: boolean;
    /** Monotonic time in milliseconds of the last progress: start, body bytes sent or response bytes received. */
    readonly lastProgressAt: number;
    /** True once the head of the final response was received. */
    readonly headReceived: boolean;
    /**
     * True while the caller has paused the response or has not provided the rest of the body. The endpoint cannot make
     * progress in this state.
     */
    readonly waitsForCaller: boolean;
}
