import { EXPIRY_MARGIN_MS, haveOwnLeasesExpired, SLOWEST_CLOCK_RATE } from "./lease-time.js";
import type { Executor, LostRequests, PoolTables } from "./pool-tables.js";
import { MAX_ORDER_DELAY_MS } from "./undelivered-starts.js";

/** No request without a response. */
export const NO_LOST_REQUESTS: LostRequests = {
    leaseSentAtMs: Number.NEGATIVE_INFINITY,
    acknowledgementSentAtMs: Number.NEGATIVE_INFINITY,
};

/**
 * Records a request that got no response, with when its contents were sent; undefined for one that it did not have. A
 * request that is under way when its executor ends counts as ended with it.
 */
export const recordUnansweredRequest = (executor: Executor, contents: Partial<LostRequests>): void => {
    const sent = { ...NO_LOST_REQUESTS, ...contents };
    if (Math.max(sent.leaseSentAtMs, sent.acknowledgementSentAtMs) >= executor.incarnationSinceMs) {
        executor.unansweredRequests = later(executor.unansweredRequests, sent);
    }
};

/**
 * Records that the incarnation has answered a request, so that those without a response before it were lost on their way.
 */
export const recordAnsweredRequest = (executor: Executor, sentAtMs: number): void => {
    const { leaseSentAtMs, acknowledgementSentAtMs } = executor.unansweredRequests;
    if (Math.max(leaseSentAtMs, acknowledgementSentAtMs) < sentAtMs) {
        executor.lostRequests = later(executor.lostRequests, executor.unansweredRequests);
        executor.unansweredRequests = NO_LOST_REQUESTS;
    }
};

const later = (left: LostRequests, right: LostRequests): LostRequests => ({
    leaseSentAtMs: Math.max(left.leaseSentAtMs, right.leaseSentAtMs),
    acknowledgementSentAtMs: Math.max(left.acknowledgementSentAtMs, right.acknowledgementSentAtMs),
});

/** True while an acknowledgement for a former incarnation may make the executor discard ends that were not read. */
export const mayDiscardUnreadEnds = ({ formerRequests }: Executor, nowMs: number): boolean =>
    nowMs < formerRequests.acknowledgementSentAtMs + MAX_ORDER_DELAY_MS;

/** True once no lease can keep a run of the executor active any more, even on the slowest clock. */
export const haveLeasesExpired = ({ maxLeaseMs }: PoolTables, executor: Executor, nowMs: number): boolean =>
    haveOwnLeasesExpired(executor, nowMs) && haveFormerLeasesExpired(executor, maxLeaseMs, nowMs);

const haveFormerLeasesExpired = ({ formerRequests }: Executor, maxLeaseMs: number, nowMs: number): boolean =>
    nowMs > formerRequests.leaseSentAtMs + MAX_ORDER_DELAY_MS + maxLeaseMs / SLOWEST_CLOCK_RATE + EXPIRY_MARGIN_MS;
