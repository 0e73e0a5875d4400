import type { PoolName } from "@almondusher/fleet/ids";
import type { KeyDigest, QueueName, TenantName } from "./ids.js";
import type { Resources } from "./job.js";
import type { QueueTerms } from "./queue-terms.js";

/** A queue of jobs. */
export interface Queue extends QueueTerms {
    readonly name: QueueName;
    readonly host: string;
    /** Path prefix before the job id, with a trailing slash. */
    readonly prefix: string;
    readonly pool: PoolName;
    readonly timeoutMs: number;
    /** True if calls need no key, also where the configuration has tenants. */
    readonly isPublic: boolean;
}

/** Submits jobs with keys of its own, and shares the executors of all pools with the other tenants. */
export interface Tenant {
    readonly name: TenantName;
    readonly keys: readonly KeyDigest[];
    /** Share of the executors when they are full, relative to the weights of the other tenants. */
    readonly weight: number;
    /** What the tenant's tasks may use at the same time on the executors of all pools; 0 for no limit. */
    readonly cap: Resources;
}

/** Configuration of a pool of executors. */
interface ExecutorPoolConfiguration {
    readonly name: PoolName;
    /** True if the executors of the pool reject tasks that exceed their capacity. */
    readonly enforcesCapacity: boolean;
    /** True if the VMs of the pool are powered off until they are moved to another pool. */
    readonly spare: boolean;
}

/** Limits of requests to the entries. */
interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** An entry of a tenant that could not be decoded; its keys do not work. */
export interface SkippedTenant {
    /** Position in the configuration, from 0. */
    readonly index: number;
    /** What is wrong and where; contains no key. */
    readonly reason: string;
}

/** One version of the operator's configuration. */
export interface Configuration {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly pools: readonly ExecutorPoolConfiguration[];
    readonly limits: RequestLimits;
    readonly tenants: readonly Tenant[];
    readonly skippedTenants: readonly SkippedTenant[];
}

/** True if calls need a key, except for public queues. It holds also if all entries of tenants were skipped. */
export const requiresKeys = ({ tenants, skippedTenants }: Configuration): boolean =>
    tenants.length > 0 || skippedTenants.length > 0;

/** A queue and the rest of the path after its prefix; an empty rest refers to the queue itself. */
export interface QueueMatch {
    readonly queue: Queue;
    readonly rest: string;
}

/** Finds the queue of a host with the longest prefix that matches the path. */
export const findQueue = (configuration: Configuration, host: string, path: string): QueueMatch | undefined => {
    const matches = configuration.queues.filter(queue => queue.host === host && path.startsWith(queue.prefix));
    const queue = matches.reduce<Queue | undefined>(
        (best, candidate) => (best === undefined || candidate.prefix.length > best.prefix.length ? candidate : best),
        undefined,
    );
    return queue === undefined ? undefined : { queue, rest: path.slice(queue.prefix.length) };
};
