import type { PoolName } from "@almondusher/fleet/ids";
import type { QueueName } from "./ids.js";

/** How long the advice service takes for a queue whose executors it chooses. */
export interface AdviceTerms {
    readonly decideMs: number;
    readonly perExecutorMs: number;
    readonly validMs: number;
}

/** A queue of jobs. */
export interface Queue {
    readonly name: QueueName;
    readonly host: string;
    /** Path prefix in front of the job id, with a slash at its end. */
    readonly prefix: string;
    readonly pool: PoolName;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly maxAttempts: number;
    /** A job is on time within this multiple of its longest chain of work plus `graceMs`. */
    readonly stretch: number;
    readonly graceMs: number;
    readonly timeoutMs: number;
    readonly advice: AdviceTerms | undefined;
}

/** What the configuration says of a pool of executors. */
interface PoolPolicy {
    readonly name: PoolName;
    /** Executors of the pool reject what does not fit. */
    readonly enforcesCapacity: boolean;
    /** VMs of the pool are powered off until they are moved to another pool. */
    readonly spare: boolean;
}

/** Limits of requests to the entries. */
interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly pools: readonly PoolPolicy[];
    readonly limits: RequestLimits;
}

/** What a path says below the prefix of its queue; an empty rest names the queue itself. */
export interface QueueMatch {
    readonly queue: Queue;
    readonly rest: string;
}

/** Finds the queue with the longest prefix of the path on a host. */
export const findQueue = (configuration: Configuration, host: string, path: string): QueueMatch | undefined => {
    const matches = configuration.queues.filter(queue => queue.host === host && path.startsWith(queue.prefix));
    const queue = matches.reduce<Queue | undefined>(
        (best, candidate) => (best === undefined || candidate.prefix.length > best.prefix.length ? candidate : best),
        undefined,
    );
    return queue === undefined ? undefined : { queue, rest: path.slice(queue.prefix.length) };
};
