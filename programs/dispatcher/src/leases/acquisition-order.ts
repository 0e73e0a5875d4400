import type { VmId } from "@almondusher/fleet/ids";
import { relativeCapacity, type VmCapacity } from "../fleet/vm-capacity.js";

export interface RankedVm {
    readonly vm: VmId;
    readonly capacity: VmCapacity;
    /** Number of leases that its process holds. */
    readonly heldLeases: number;
}

/** The VMs that may acquire available leases, from the point of view of one of them. */
export interface Ranking {
    readonly self: RankedVm;
    readonly others: readonly RankedVm[];
}

/** An available lease, from the point of view of a VM that may acquire it. */
export interface AcquisitionRequest extends Ranking {
    /** VM that held the lease last; undefined if it was released or never held. */
    readonly previousHolder: VmId | undefined;
    /** True if the system may be starting for the first time, so that not all VMs are known. */
    readonly neverHeld: boolean;
}

// A VM gives precedence to another one whose load under the lease would be smaller by this factor.
const CLEAR_DIFFERENCE_FACTOR = 1.5;
// Covers the interval at which an idle process reads the leases, and its write.
const PRECEDENCE_MS = 600;
const MAX_PRECEDENCE_STEPS = 2;
// Spreads several available leases over processes that do not know each other.
const DELAY_PER_HELD_LEASE_MS = 60;
// Time in which all VMs of a system that starts for the first time make themselves known.
const FIRST_START_MS = 800;

interface VmLoad {
    readonly vm: VmId;
    /** Number of leases per capacity that the VM would have after acquiring another lease. */
    readonly load: number;
}

interface Loads {
    readonly own: number;
    readonly others: readonly VmLoad[];
}

const loadsOf = ({ self, others }: Ranking): Loads => {
    const capacities = [self, ...others].map(({ capacity }) => capacity);
    const loadOf = ({ capacity, heldLeases }: RankedVm): number =>
        (heldLeases + 1) / relativeCapacity(capacity, capacities);
    return { own: loadOf(self), others: others.map(other => ({ vm: other.vm, load: loadOf(other) })) };
};

/** True if the VM has a clearly larger capacity than another one. */
export const isClearlyLarger = (vm: RankedVm, than: RankedVm): boolean => {
    const capacities = [vm.capacity, than.capacity];
    return isClearlySmaller(relativeCapacity(than.capacity, capacities), relativeCapacity(vm.capacity, capacities));
};

/** True if the load of a VM would be clearly smaller with one more lease than that of the holder is now. */
export const relievesHolder = (vm: RankedVm, holder: RankedVm): boolean => {
    const capacities = [vm.capacity, holder.capacity];
    return isClearlySmaller(
        (vm.heldLeases + 1) / relativeCapacity(vm.capacity, capacities),
        holder.heldLeases / relativeCapacity(holder.capacity, capacities),
    );
};

const isClearlySmaller = (load: number, than: number): boolean => load * CLEAR_DIFFERENCE_FACTOR <= than;

const precedingLoads = (ranking: Ranking): readonly VmLoad[] => {
    const { own, others } = loadsOf(ranking);
    return others.filter(({ load }) => isClearlySmaller(load, own));
};

/** Returns the VMs that should acquire an available lease rather than this one. */
export const precedingVms = (ranking: Ranking): readonly VmId[] => precedingLoads(ranking).map(({ vm }) => vm);

// Each group has clearly smaller loads than the next one.
const countPrecedingGroups = (ranking: Ranking): number => {
    const groupStarts = precedingLoads(ranking)
        .map(({ load }) => load)
        .sort((left, right) => left - right)
        .reduce<readonly number[]>((starts, load) => {
            const last = starts.at(-1);
            return last === undefined || isClearlySmaller(last, load) ? [...starts, load] : starts;
        }, []);
    return Math.min(groupStarts.length, MAX_PRECEDENCE_STEPS);
};

/**
 * Returns how long a process leaves an available lease to other VMs, in milliseconds: a VM with clearly more free
 * capacity gets it first if it is alive. The VM that held the lease last does not wait.
 */
export const acquisitionDelayMs = (request: AcquisitionRequest): number => {
    const { self, previousHolder, neverHeld } = request;
    if (previousHolder === self.vm) {
        return 0;
    }
    return (
        (neverHeld ? FIRST_START_MS : 0) +
        countPrecedingGroups(request) * PRECEDENCE_MS +
        self.heldLeases * DELAY_PER_HELD_LEASE_MS
    );
};

/**
 * Returns which of several available leases a process tries first, so that VMs of the same rank try different ones;
 * undefined if there is none.
 */
export const chooseLease = <Lease>(leases: readonly Lease[], ranking: Ranking): Lease | undefined =>
    leases[positionAmongEquals(ranking) % leases.length];

/** Returns how many VMs of the same rank come before this one. */
export const positionAmongEquals = (ranking: Ranking): number => {
    const { own, others } = loadsOf(ranking);
    return others.filter(({ vm, load }) => load === own && vm < ranking.self.vm).length;
};
