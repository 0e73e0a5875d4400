import { SLOWEST_CLOCK_RATE } from "@almondusher/scheduler/lease-time";
import type { LeaseRecord } from "../leases/lease-rows.js";

/**
 * Time for which each start or extension of a run grants a lease, in milliseconds. An executor ends its runs once their
 * lease has expired.
 */
export const RUN_LEASE_MS = 4000;
/**
 * How long a pool scheduler that cannot renew its lease may go on starting and extending runs, in milliseconds. During
 * a store outage no other process can take over. Together with the run leases this bridges outages of about 9 s.
 */
export const MAX_LEASE_AGE_MS = 6000;

/** What a new holder of a lease knows of the previous one. */
export interface Takeover {
    /** Record stored by the previous holder; undefined if the lease was never held before. */
    readonly predecessor: LeaseRecord | undefined;
    /**
     * True if the previous holder has certainly ended: it was an earlier process on this VM or has released the lease.
     * Also true if there was none.
     */
    readonly predecessorEnded: boolean;
    /** How long the lease was observed without a renewal by the previous holder, in milliseconds. */
    readonly unrenewedMs: number;
}

/** Determines whether a pool scheduler may start and extend runs. */
export interface LeaseStatus {
    /** Time since the process last certainly held the lease, in milliseconds. */
    readonly leaseAgeMs: number;
    /** Time since an executor last rejected a request because it has seen a higher fencing token, in milliseconds. */
    readonly sinceFencedMs: number;
}

/** Why a pool scheduler may not start and extend runs. */
export type LeaseGate = "lease-too-old" | "fenced";

/**
 * Returns why a pool scheduler may not start and extend runs; undefined if the lease was renewed recently, and after the last
 * rejection because of a higher fencing token.
 */
export const leaseGateOf = ({ leaseAgeMs, sinceFencedMs }: LeaseStatus): LeaseGate | undefined => {
    if (leaseAgeMs >= MAX_LEASE_AGE_MS) {
        return "lease-too-old";
    }
    return leaseAgeMs < sinceFencedMs ? undefined : "fenced";
};

/** True if a pool scheduler may start and extend runs. */
export const mayActOnLease = (status: LeaseStatus): boolean => leaseGateOf(status) === undefined;

/** Returns how long after a takeover runs that the previous holder started or extended may still be active. */
export const takeoverWaitMs = ({
    predecessorEnded,
    unrenewedMs,
}: Pick<Takeover, "predecessorEnded" | "unrenewedMs">): number =>
    // The previous holder may act for MAX_LEASE_AGE_MS after its last renewal, which is at least `unrenewedMs` ago.
    (predecessorEnded ? 0 : Math.max(0, MAX_LEASE_AGE_MS - unrenewedMs)) + RUN_LEASE_MS / SLOWEST_CLOCK_RATE;

// Two processes know the store's clock to within the time that its responses take.
const STORE_CLOCK_MARGIN_MS = 500;
// All earlier holders have renewed for the last time when the lease is taken over, so no wait in a lease row is longer.
const MAX_INHERITED_WAIT_MS = MAX_LEASE_AGE_MS + RUN_LEASE_MS / SLOWEST_CLOCK_RATE + STORE_CLOCK_MARGIN_MS;

/**
 * Returns how long after a takeover runs of any earlier holder may still be active. A predecessor that held the lease for a
 * short time may itself have waited for runs of those before it. A longer wait than possible, after the store's clock was set
 * back or in a row of another writer, is shortened.
 */
export const inheritedWaitMs = (takeover: Takeover, storeNowMs: number): number =>
    Math.max(
        takeoverWaitMs(takeover),
        Math.min(
            (takeover.predecessor?.inheritedRunsUntilMs ?? Number.NEGATIVE_INFINITY) - storeNowMs,
            MAX_INHERITED_WAIT_MS,
        ),
    );

/** Returns, on the store's clock, until when a successor has to wait for the runs of any earlier holder. */
export const inheritedRunsUntilMs = (takeover: Takeover, storeNowMs: number): number =>
    storeNowMs + Math.max(inheritedWaitMs(takeover, storeNowMs), takeoverWaitMs(takeover) + STORE_CLOCK_MARGIN_MS);
