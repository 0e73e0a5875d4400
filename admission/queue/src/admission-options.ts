import type { RequestId, TeamName } from "@almondusher/fleet/ids";
import type { ByUrgency, Urgency } from "@almondusher/fleet/urgency";

/** Slots that a team may use at once. */
export interface TeamQuota {
    readonly team: TeamName;
    /** Quota of the team in the whole pool. */
    readonly poolSlots: number;
    /** Share of the quota that this entry may use now. */
    readonly entrySlots: number;
}

/** Limits of one pool on one entry. */
export interface AdmissionLimits {
    /** Guaranteed minimum share of the granted slots for each class, 0 to 1. */
    readonly shares: ByUrgency<number>;
    /** Maximum share of the slots that is reserved for short requests of any class, 0 to 1. */
    readonly quickShare: number;
    /** Maximum number of queued requests of each class. */
    readonly maxQueued: ByUrgency<number>;
    /** Quotas by team; teams that are not listed have none. */
    readonly quotas: readonly TeamQuota[];
    /** Requests expected to run for at most this long are short: they may borrow unused slots of other classes. */
    readonly borrowRunTimeMs: number;
}

/** A request for a slot; times in milliseconds. */
export interface AdmissionRequest {
    readonly id: RequestId;
    readonly urgency: Urgency;
    readonly team: TeamName;
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    /** Run time estimated from earlier requests; a request without an estimate does not borrow. */
    readonly expectedRunMs?: number;
}

/** Current slots of a pool as seen by one entry. */
export interface PoolCapacity {
    /** Free slots among those granted to this entry. */
    readonly free: number;
    /** Slots granted to this entry, whether free or in use. */
    readonly granted: number;
    /** Slots of all serving VMs of the pool, for all entries. */
    readonly pool: number;
    /** Guaranteed slots of each class on this entry, as set by the grantor; computed from the shares if absent. */
    readonly guarantees?: ByUrgency<number>;
}

/** Causes for which admission rejects a request. */
export type AdmissionRejectionCause = "queue-full" | "deadline" | "quota" | "no-capacity";

/** Admission decision on a request. */
export type AdmissionDecision =
    | { readonly kind: "start" }
    | { readonly kind: "queued" }
    | { readonly kind: "rejected"; readonly cause: AdmissionRejectionCause; readonly retryAfterMs: number };

/** Result of a scheduling round. */
export interface SchedulingResult {
    readonly started: readonly RequestId[];
    /** Requests removed from the queue because they could no longer start in time; they did not run. */
    readonly expired: readonly RequestId[];
    /** Requests that borrowed a slot as short ones and have run for too long; their estimated run time is too low. */
    readonly overdue: readonly RequestId[];
}

/** Running and queued requests of one team in one class. */
export interface TeamDemand {
    readonly urgency: Urgency;
    readonly team: TeamName;
    readonly running: number;
    readonly queued: number;
}
