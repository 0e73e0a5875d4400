import type { VmId } from "@almondusher/fleet/ids";
import type { LeaseRecord } from "./lease-rows.js";

/** A process that may acquire a lease, and the lease as it was last read. */
export interface LeaseCandidate {
    /** The stored lease; undefined if it was never held. */
    readonly record: Pick<LeaseRecord, "holder"> | undefined;
    readonly vm: VmId;
    /** Number of leases that the process already holds. */
    readonly heldLeases: number;
    readonly processorCores: number;
}

// Distributes leases over the processes when several are available at once. An expired lease has to be replaced soon,
// so the delay for it is shorter.
const DELAY_PER_HELD_LEASE_MS = 350;
const DELAY_PER_HELD_LEASE_AFTER_EXPIRY_MS = 60;
// Additional delay for each core by which a VM is smaller than a large one, since the work of a scheduler grows with
// its pool. It is longer for leases that were never held, as when the system is started for the first time.
const LARGE_VM_CORES = 1.5;
const DELAY_PER_MISSING_CORE_FIRST_HOLDER_MS = 1000;
const DELAY_PER_MISSING_CORE_MS = 250;

/**
 * Returns how long a process waits before it acquires an available lease, in milliseconds, so that processes with fewer
 * leases and VMs with more capacity get it first. The VM that held the lease last does not wait.
 */
export const acquisitionDelayMs = ({ record, vm, heldLeases, processorCores }: LeaseCandidate): number => {
    if (record?.holder === vm) {
        return 0;
    }
    const missingCores = Math.max(0, LARGE_VM_CORES - processorCores);
    if (record === undefined) {
        return heldLeases * DELAY_PER_HELD_LEASE_MS + missingCores * DELAY_PER_MISSING_CORE_FIRST_HOLDER_MS;
    }
    const perHeldMs = record.holder === undefined ? DELAY_PER_HELD_LEASE_MS : DELAY_PER_HELD_LEASE_AFTER_EXPIRY_MS;
    return heldLeases * perHeldMs + missingCores * DELAY_PER_MISSING_CORE_MS;
};
