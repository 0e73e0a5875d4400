import type { ExchangeFailure } from "@almondusher/exchange/exchange";
import type { ActiveRequest } from "./active-request.js";

/** Action after an attempt that ended without a response. */
export type RetryDecision = "ask-again-later" | "retry-within-budget" | "give-up";

export interface RetryContext {
    readonly active: Pick<ActiveRequest, "request" | "ended" | "body">;
    readonly failure: ExchangeFailure;
    /** Monotonic time in milliseconds. */
    readonly nowMs: number;
    /** Maximum number of attempts of a request, excluding refusals by a full endpoint. */
    readonly maxAttempts: number;
}

const MAX_REFUSALS = 10;

/**
 * Decides whether to send another attempt. A request is sent again only if it is idempotent or certainly has not run.
 * A refusal by a full endpoint does not count against the retry budget: the request has not run, and the cause is that
 * two entries briefly hold the same slot, which the next grants correct.
 */
export const decideRetry = ({ active, failure, nowMs, maxAttempts }: RetryContext): RetryDecision => {
    const { request, ended, body } = active;
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
