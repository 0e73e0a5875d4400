import type { Urgency } from "@almondusher/fleet/urgency";

/** A queue of similar requests that one pool serves. */
export interface QueueProfile {
    readonly name: string;
    readonly urgency: Urgency;
    /** Median and sigma of the log-normal run time. */
    readonly medianRunMs: number;
    readonly sigma: number;
    /** Mean load as a share of the pool's slots. */
    readonly load: number;
    /** Caller's timeout, measured from the arrival. */
    readonly timeoutMs: number;
    /** A response is within target if its latency exceeds its run time by at most this. */
    readonly targetMs: number;
}

/** A period in which the load of one queue exceeds its usual load. */
export interface Flood {
    readonly queue: string;
    readonly fromMs: number;
    readonly toMs: number;
}

const SHORT = { medianRunMs: 50, sigma: 0.6, timeoutMs: 10_000 };
const LONG = { medianRunMs: 8_000, sigma: 0.9, timeoutMs: 600_000 };

// The loads use about 60% of the default share of each class, so that a class stays within its share without a flood.
/** Queues of a pool: one with short and one with long requests for each urgency class. */
export const defaultQueues: readonly QueueProfile[] = [
    { name: "urgent-short", urgency: "urgent", load: 0.18, targetMs: 150, ...SHORT },
    { name: "urgent-long", urgency: "urgent", load: 0.12, targetMs: 10_000, ...LONG },
    { name: "normal-short", urgency: "normal", load: 0.1, targetMs: 300, ...SHORT },
    { name: "normal-long", urgency: "normal", load: 0.08, targetMs: 30_000, ...LONG },
    { name: "deferrable-short", urgency: "deferrable", load: 0.07, targetMs: 1_000, ...SHORT },
    { name: "deferrable-long", urgency: "deferrable", load: 0.05, targetMs: 120_000, ...LONG },
];

/** Mean run time of a queue in milliseconds. */
export const meanRunMs = (queue: QueueProfile): number => queue.medianRunMs * Math.exp(queue.sigma ** 2 / 2);

/** True for queues whose requests run for seconds to minutes. */
export const isLong = (queue: QueueProfile): boolean => queue.medianRunMs >= LONG.medianRunMs;
