import { SLOWEST_CLOCK_RATE } from "@almondusher/scheduler/lease-time";
import type { HeldLease } from "./lease-manager.js";

/** Length of the leases of runs in milliseconds. */
export const RUN_LEASE_MS = 4000;
/**
 * A holder that cannot renew its lease extends and starts runs for this long, in milliseconds, since in an outage of
 * the store nobody can succeed it. With the leases of its runs it bridges outages of about 9 s.
 */
export const MAX_LEASE_AGE_MS = 6000;

/** What decides whether a holder may start and extend runs. */
export interface LeaseStatus {
    /** Time since the lease was surely held, in milliseconds. */
    readonly leaseAgeMs: number;
    /** Time since an executor answered that it knows a later holder, in milliseconds. */
    readonly sinceFencedMs: number;
}

/** True while a holder may act: its lease was renewed lately, and since an executor last named a later holder. */
export const mayActOnLease = ({ leaseAgeMs, sinceFencedMs: fencedAgoMs }: LeaseStatus): boolean =>
    leaseAgeMs < MAX_LEASE_AGE_MS && leaseAgeMs < fencedAgoMs;

/** Time after a takeover until every run that the former holder could have started or extended has ended. */
export const takeoverWaitMs = ({
    predecessorEnded,
    unrenewedMs,
}: Pick<HeldLease, "predecessorEnded" | "unrenewedMs">): number =>
    // It counts from the former holder's last renewal, which is at least as old as its row was seen unchanged.
    (predecessorEnded ? 0 : Math.max(0, MAX_LEASE_AGE_MS - unrenewedMs)) + RUN_LEASE_MS / SLOWEST_CLOCK_RATE;
