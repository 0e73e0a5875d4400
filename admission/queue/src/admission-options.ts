import type { RequestId, TeamName } from "@almondusher/fleet/ids";
import type { ByUrgency, Urgency } from "@almondusher/fleet/urgency";

/** Slots that a team may use at once. */
export interface TeamQuota {
    readonly team: TeamName;
    /** Quota of the team in the whole pool. */
    readonly poolSlots: number;
    /** Part of the quota that this entry may use now. */
    readonly entrySlots: number;
}

/** Limits of one pool on one entry. */
export interface AdmissionLimits {
    /** Guaranteed least share of the granted slots for each class, 0 to 1. */
    readonly shares: ByUrgency<number>;
    /** Largest share of the slots that is kept for short requests of any class, 0 to 1. */
    readonly quickShare: number;
    /** Requests of each class that may wait. */
    readonly maxQueued: ByUrgency<number>;
    /** Teams without a row have no quota. */
    readonly quotas: readonly TeamQuota[];
    /** A request that is expected to run for at most this long may borrow the unused share of another class. */
    readonly borrowRunTimeMs: number;
}

/** A request that asks for a slot; times in milliseconds. */
export interface AdmissionRequest {
    readonly id: RequestId;
    readonly urgency: Urgency;
    readonly team: TeamName;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    /** Learned run time; absent while nothing is known, and then the request does not borrow. */
    readonly expectedRunMs?: number;
}

/** Slots of a pool as seen by one entry now. */
export interface PoolCapacity {
    /** Slots that this entry may use and that are free. */
    readonly free: number;
    /** Slots granted to this entry, free or not. */
    readonly granted: number;
    /** Slots of all serving VMs of the pool, whoever may use them. */
    readonly pool: number;
    /** Guaranteed slots of each class on this entry as the grantor divides them; absent to use the shares. */
    readonly guarantees?: ByUrgency<number>;
}

/** Causes for which admission refuses a request. */
export type AdmissionCause = "queue-full" | "deadline" | "quota" | "no-capacity";

/** Decision on a request that was offered. */
export type Offer =
    | { readonly kind: "start" }
    | { readonly kind: "queued" }
    | { readonly kind: "rejected"; readonly cause: AdmissionCause; readonly retryAfterMs: number };

/** What a round of scheduling did. */
export interface Taken {
    readonly started: readonly RequestId[];
    /** Requests whose deadline passed while they waited; they did not run. */
    readonly expired: readonly RequestId[];
    /** Requests that borrowed as short ones and still run; their learned run time is too low. */
    readonly overdue: readonly RequestId[];
}

/** Slots in use and requests waiting of one class and team. */
export interface TeamDemand {
    readonly urgency: Urgency;
    readonly team: TeamName;
    readonly running: number;
    readonly queued: number;
}
