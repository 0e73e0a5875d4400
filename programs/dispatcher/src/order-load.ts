import { build, type Histogram } from "hdr-histogram-js";
import type { DispatcherMetrics } from "./dispatcher-metrics.js";

/** Requests that a pool's scheduler sent to its executors within an interval. */
interface OrderLoadSample {
    readonly sent: number;
    readonly answered: number;
    /** Requests that ended without a response; the executor may have executed them. */
    readonly unanswered: number;
    /** Requests that still wait for a response at the end of the interval. */
    readonly outstanding: number;
    /** Response times in milliseconds, without the time for which the executor was asked to wait; 0 without responses. */
    readonly responseP50Ms: number;
    readonly responseP99Ms: number;
}

/** Measures the requests of a scheduler to its executors, which show whether the path between them is congested. */
export interface OrderLoad {
    /** Sends a request and measures it. */
    readonly track: <Result extends TrackedResult>(send: () => Promise<Result>) => Promise<Result>;
    /** Returns what was measured since the last call; undefined if no request was sent and none is outstanding. */
    readonly takeSample: () => OrderLoadSample | undefined;
}

interface TrackedResult {
    readonly kind: string;
}

export interface OrderLoadOptions {
    readonly metrics: DispatcherMetrics;
    /** Monotonic clock in milliseconds. */
    readonly monotonicMs: () => number;
}

const HIGHEST_RESPONSE_MS = 60_000;
const UNANSWERED_KINDS: readonly string[] = ["unknown", "unreachable", "not-sent"];

export const createOrderLoad = ({ metrics, monotonicMs }: OrderLoadOptions): OrderLoad => {
    let outstanding = 0;
    let sent = 0;
    let unanswered = 0;
    let responses = createHistogram();
    const recordEnd = (kind: string, tookMs: number): void => {
        if (UNANSWERED_KINDS.includes(kind)) {
            unanswered++;
            metrics.count("orders_unanswered");
        } else {
            responses.recordValue(Math.min(Math.round(tookMs), HIGHEST_RESPONSE_MS));
            metrics.record("order_response", tookMs);
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
