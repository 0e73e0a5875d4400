import type { Urgency } from "@almondusher/fleet/urgency";

/** A queue of similar requests that one pool serves. */
export interface QueueProfile {
    readonly name: string;
    readonly urgency: Urgency;
    /** Median and spread of a log-normal run time. */
    readonly medianRunMs: number;
    readonly sigma: number;
    /** Mean load of the queue as a share of the slots of the pool. */
    readonly load: number;
    /** Time from arrival after which the caller gives up. */
    readonly timeoutMs: number;
    /** An answer is within target if it takes at most `targetMs` longer than its own run time. */
    readonly targetMs: number;
}

/** A time in which one queue floods its pool. */
export interface Flood {
    readonly queue: string;
    readonly fromMs: number;
    readonly toMs: number;
}

const SHORT = { medianRunMs: 50, sigma: 0.6, timeoutMs: 10_000 };
const LONG = { medianRunMs: 8_000, sigma: 0.9, timeoutMs: 600_000 };

// The loads use about 60% of the default share of each class, so that a class lives within its share when it is quiet.
/** Queues of a pool whose classes each have short and long work. */
export const mixedQueues: readonly QueueProfile[] = [
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
