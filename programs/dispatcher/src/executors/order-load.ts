import { build, type Histogram } from "hdr-histogram-js";
import type { OrderResult } from "@almondusher/platform-adapter/executor-client";
import type { DispatcherMetrics } from "../process/dispatcher-metrics.js";

/** Orders that a pool's scheduler sent to its executors within an interval. */
interface OrderLoadSample {
    readonly sent: number;
    readonly answered: number;
    /** Orders that ended without a response; the executor may have executed them. */
    readonly unanswered: number;
    /** Orders that still wait for a response at the end of the interval. */
    readonly outstanding: number;
    /** Response times in milliseconds; 0 without responses. */
    readonly responseP50Ms: number;
    readonly responseP99Ms: number;
}

/** Measures the orders of a scheduler to its executors, which show whether the path between them is congested. */
export interface OrderLoad {
    /** Sends an order and measures it. */
    readonly track: (send: () => Promise<OrderResult>) => Promise<OrderResult>;
    /** Returns what was measured since the last call; undefined if no order was sent and none is outstanding. */
    readonly takeSample: () => OrderLoadSample | undefined;
}

export interface OrderLoadOptions {
    readonly metrics: DispatcherMetrics;
    /** Monotonic clock in milliseconds. */
    readonly monotonicMs: () => number;
}

const HIGHEST_RESPONSE_MS = 60_000;

export const createOrderLoad = ({ metrics, monotonicMs }: OrderLoadOptions): OrderLoad => {
    let outstanding = 0;
    let sent = 0;
    let unanswered = 0;
    let responses = createHistogram();
    const recordEnd = (kind: OrderResult["kind"], tookMs: number): void => {
        switch (kind) {
            case "unknown":
            case "not-sent":
            case "other-incarnation":
                unanswered++;
                metrics.count("orders_unanswered");
                return;
            case "accepted":
            case "rejected":
                responses.recordValue(Math.min(Math.round(tookMs), HIGHEST_RESPONSE_MS));
                metrics.record("order_response", tookMs);
                return;
        }
    };
    return {
        track: async send => {
            sent++;
            outstanding++;
            const sentAtMs = monotonicMs();
            try {
                const result = await send();
                recordEnd(result.kind, monotonicMs() - sentAtMs);
                return result;
            } finally {
                outstanding--;
            }
        },
        takeSample: () => {
            if (sent === 0 && outstanding === 0 && responses.totalCount === 0) {
                return undefined;
            }
            const sample = {
                sent,
                answered: responses.totalCount,
                unanswered,
                outstanding,
                responseP50Ms: responses.getValueAtPercentile(50),
                responseP99Ms: responses.getValueAtPercentile(99),
            };
            sent = 0;
            unanswered = 0;
            responses = createHistogram();
            return sample;
        },
    };
};

const createHistogram = (): Histogram =>
    build({ highestTrackableValue: HIGHEST_RESPONSE_MS, numberOfSignificantValueDigits: 2 });
