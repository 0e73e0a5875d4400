import type { RunNumbers } from "@almondusher/scheduler/run-numbers";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import type { LeaseSubject } from "./lease-rows.js";
import type { Takeover } from "../executors/run-leases.js";

/** A lease that this process holds. */
export interface HeldLease extends Takeover {
    readonly subject: LeaseSubject;
    /** Fencing token. */
    readonly epoch: number;
    /** The run numbers that this process may give; unused for the lease of the fleet. */
    readonly runNumbers: RunNumbers;
    /**
     * Time on the store's clock until which runs of earlier holders may be active on executors that this one has not asked,
     * in milliseconds; stored in the lease for the next holder.
     */
    readonly inheritedRunsUntilMs: number;
    /** Monotonic time at which the last confirmed renewal was sent, in milliseconds. */
    renewedAtMs: number;
    /** Unix time at which the last confirmed renewal was sent, in milliseconds. */
    renewedWallMs: number;
    /** Version of the lease row that the next renewal expects. */
    version: number;
    /** Set when another process has acquired the lease, or when this one has ended its work to release it. */
    lost: boolean;
}

// A pool lease that has not changed for this long may be acquired by another process.
export const POOL_LEASE_DURATION_MS = 2000;
// The platform requires at least this much time between orders for a VM from two successive holders.
export const FLEET_LEASE_DURATION_MS = 3300;

/**
 * Returns the time since this process last certainly held the lease, in milliseconds.
 * The monotonic clock stops while a VM is suspended, so the wall clock is used as well. If the wall clock jumps ahead,
 * the holder only has to wait for its next renewal.
 */
export const leaseAgeMs = (
    { renewedAtMs, renewedWallMs }: HeldLease,
    context: Pick<DispatcherContext, "monotonicMs">,
): number => Math.max(context.monotonicMs() - renewedAtMs, Date.now() - renewedWallMs);

// From this fraction of the lease duration after the last renewal, another process may hold the lease.
const SAFE_LEASE_FRACTION = 0.8;

/** True if no other process can have acquired the pool lease. */
export const isPoolLeaseSafe = (lease: HeldLease, context: Pick<DispatcherContext, "monotonicMs">): boolean =>
    !lease.lost && leaseAgeMs(lease, context) < POOL_LEASE_DURATION_MS * SAFE_LEASE_FRACTION;

/**
 * Returns the latest known time at which this process certainly held the pool lease, in milliseconds of the monotonic clock.
 */
export const poolLeaseHeldAtMs = (lease: HeldLease, context: Pick<DispatcherContext, "monotonicMs">): number => {
    // Read before the check, since the process may be paused after it.
    const nowMs = context.monotonicMs();
    return isPoolLeaseSafe(lease, context) ? nowMs : lease.renewedAtMs;
};
