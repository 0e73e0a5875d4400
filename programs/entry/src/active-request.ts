import type { IncomingMessage, ServerResponse } from "node:http";
import type { VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import type { Exchange } from "@almondusher/exchange/exchange";
import type { Claim } from "@almondusher/platform/claim";
import type { CallerRequest } from "./caller-request.js";
import type { PoolRuntime } from "./pool-runtime.js";
import type { ReplayBody } from "./replay-body.js";

/** One attempt to get a response from one VM; occupies a slot of the VM until it ends. */
export interface Attempt {
    readonly vm: Vm;
    readonly startedAtMs: number;
    /** Undefined until the request is handed to a connection. */
    exchange?: Exchange;
}

/** Outcome of an attempt that ended without a response. */
export interface EndedAttempt {
    readonly vm: VmId;
    readonly verdict: Verdict;
    readonly cause: Cause;
}

/** Stage of a request between its arrival and its end. */
export type RequestPhase =
    "queued" | "claiming" | "sending" | "waiting-for-slot" | "backing-off" | "answering" | "done";

/** A request that is being served. */
export interface ActiveRequest {
    readonly request: CallerRequest;
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly pool: PoolRuntime;
    /** Fleet revision in effect when the request arrived. */
    readonly revision: number;
    readonly body: ReplayBody | undefined;
    phase: RequestPhase;
    /** True while the caller waits for 100 Continue. */
    expectsContinue: boolean;
    claim: Claim | undefined;
    /** True once this entry has acquired the claim; from then on its own attempts determine the verdict. */
    claimed: boolean;
    /** Attempts in progress; more than one only while a hedge is running. */
    running: Attempt[];
    ended: EndedAttempt[];
    /** True from the probe that precedes a hedge; reset by a retry and when the hedge cannot be sent. */
    hedged: boolean;
    /** Monotonic time from which a hedge that could not be sent may be tried again, in milliseconds. */
    nextHedgeAtMs: number;
    /** True if the response being relayed is a server error. */
    serverError: boolean;
    /**
     * Monotonic time from which the run time of an overdue request is measured, in milliseconds: its arrival, so the time
     * in the queue is included.
     */
    startedAtMs: number;
}
