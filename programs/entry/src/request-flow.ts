import type { IncomingMessage, ServerResponse } from "node:http";
import type { VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";
import type { Exchange } from "@almondusher/exchange/exchange";
import type { Claim } from "@almondusher/platform/claim";
import type { CallerRequest } from "./caller-request.js";
import type { PoolRuntime } from "./pool-runtime.js";
import type { ReplayBody } from "./replay-body.js";

/** One try to get the answer from one VM; holds a slot of the VM while it exists. */
export interface Attempt {
    readonly vm: Vm;
    readonly startedAtMs: number;
    /** Absent until the request is given to the connection. */
    exchange?: Exchange;
}

/** How an attempt that ended without an answer ended. */
export interface EndedAttempt {
    readonly vm: VmId;
    readonly verdict: Verdict;
    readonly cause: Cause;
}

/** Where a request is between its arrival and its end. */
export type FlowPhase = "queued" | "claiming" | "sending" | "waiting-for-slot" | "backing-off" | "answering" | "done";

/** A request that is being served. */
export interface RequestFlow {
    readonly request: CallerRequest;
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly pool: PoolRuntime;
    /** Revision in force when the request arrived. */
    readonly revision: number;
    readonly body: ReplayBody | undefined;
    phase: FlowPhase;
    /** True while the caller waits for 100 Continue. */
    expectsContinue: boolean;
    claim: Claim | undefined;
    /** True once this entry has held the claim; the attempts then tell whether the request ran. */
    claimed: boolean;
    /** Attempts that run; a second one only while a hedge runs. */
    running: Attempt[];
    ended: EndedAttempt[];
    /** True from the probe for a second attempt on. */
    hedged: boolean;
    /** Monotonic time of the next try for a second attempt that could not be sent, in milliseconds. */
    hedgeAgainAtMs: number;
    /** True if the answer that is passed on is a server error. */
    serverError: boolean;
    /** Monotonic time at which the current phase of sending began, in milliseconds. */
    startedAtMs: number;
}
