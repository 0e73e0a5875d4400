import type { VmId } from "@almondusher/fleet/ids";
import type { LeaseRecord } from "./lease-rows.js";

/** A process that finds a lease free. */
export interface LeaseCandidate {
    /** The lease as last read; undefined if nobody has held it yet. */
    readonly record: Pick<LeaseRecord, "holder"> | undefined;
    readonly vm: VmId;
    /** Leases that the process holds already. */
    readonly heldLeases: number;
    readonly processorCores: number;
}

// Spreads the leases over the processes when several are free at once; a lapsed one is taken sooner.
const DELAY_PER_HELD_LEASE_MS = 350;
const DELAY_PER_HELD_LEASE_AFTER_EXPIRY_MS = 60;
// What a VM waits for each core that it has less than a large one, since the work of a scheduler grows with its pool.
const LARGE_VM_CORES = 1.5;
const DELAY_PER_MISSING_CORE_UNHELD_MS = 1000;
const DELAY_PER_MISSING_CORE_MS = 250;

/** Time in milliseconds that a process leaves a free lease to others, so that VMs with more capacity get it. */
export const acquisitionDelayMs = ({ record, vm, heldLeases, processorCores }: LeaseCandidate): number => {
    if (record?.holder === vm) {
        return 0;
    }
    const missingCores = Math.max(0, LARGE_VM_CORES - processorCores);
    if (record === undefined) {
        return heldLeases * DELAY_PER_HELD_LEASE_MS + missingCores * DELAY_PER_MISSING_CORE_UNHELD_MS;
    }
    const perHeldMs = record.holder === undefined ? DELAY_PER_HELD_LEASE_MS : DELAY_PER_HELD_LEASE_AFTER_EXPIRY_MS;
    return heldLeases * perHeldMs + missingCores * DELAY_PER_MISSING_CORE_MS;
};
