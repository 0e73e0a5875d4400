import type { ExchangeFailure } from "@almondusher/exchange/exchange";
import type { RequestFlow } from "./request-flow.js";

/** What to do after an attempt that got no answer. */
export type RetryDecision = "ask-again-later" | "retry-within-budget" | "give-up";

export interface RetryQuestion {
    readonly flow: Pick<RequestFlow, "request" | "ended" | "body">;
    readonly failure: ExchangeFailure;
    /** Monotonic time in milliseconds. */
    readonly nowMs: number;
    /** Attempts of one request at most, refusals not counted. */
    readonly maxAttempts: number;
}

const MAX_REFUSALS = 10;

/**
 * Decides on another attempt. Only work that is idempotent or that certainly has not run is sent again. A full endpoint
 * has run nothing: two entries held the same slot for a moment, which the next grants end, so that it costs no budget.
 */
export const decideRetry = ({ flow, failure, nowMs, maxAttempts }: RetryQuestion): RetryDecision => {
    const { request, ended, body } = flow;
    const refusals = ended.filter(({ cause }) => cause === "endpoint-refused").length;
    const isSafe = failure.verdict === "not-run" || request.idempotent;
    if (!isSafe || nowMs >= request.deadlineAtMs || body?.canReplay() === false) {
        return "give-up";
    }
    if (failure.cause === "endpoint-refused") {
        return refusals <= MAX_REFUSALS ? "ask-again-later" : "give-up";
    }
    return ended.length - refusals < maxAttempts ? "retry-within-budget" : "give-up";
};
