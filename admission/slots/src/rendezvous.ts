import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import xxhash from "xxhash-wasm";
import type { VmSlots } from "./vm-slots.js";

/** Rendezvous hashing: every process that knows the same members finds the same owner of a key. */
export interface Rendezvous {
    /** The member with the highest hash for the key; undefined without members. */
    readonly ownerOf: (key: string, members: readonly ProcessId[]) => ProcessId | undefined;
    /** The member that divides the slots of the pool; undefined without members. */
    readonly grantorOf: (pool: PoolName, members: readonly ProcessId[]) => ProcessId | undefined;
    /** The slots of each VM that belong to `self` while no grant is in force. */
    readonly partitionSlots: (partition: Partition) => readonly VmSlots[];
}

// What the rendezvous partition of a pool depends on.
interface Partition {
    readonly vms: readonly VmId[];
    readonly slotsPerVm: number;
    readonly members: readonly ProcessId[];
    readonly self: ProcessId;
}

/** Loads the hash function. */
export const createRendezvous = async (): Promise<Rendezvous> => {
    const hash = await xxhash();
    const ownerOf = (key: string, members: readonly ProcessId[]): ProcessId | undefined =>
        members
            .map(member => ({ member, weight: hash.h32(`${key} ${member}`) }))
            .reduce<Weighted | undefined>(
                (best, next) => (best === undefined || isHeavier(next, best) ? next : best),
                undefined,
            )?.member;
    return {
        ownerOf,
        grantorOf: (pool, members) => ownerOf(`grantor ${pool}`, members),
        partitionSlots: ({ vms, slotsPerVm, members, self }) =>
            vms
                .map(vm => ({ vm, slots: countOwned({ vm, slotsPerVm }, owned => ownerOf(owned, members) === self) }))
                .filter(row => row.slots > 0),
    };
};

interface Weighted {
    readonly member: ProcessId;
    readonly weight: number;
}

// Equal hashes are decided by id, so that the order of the members does not matter.
const isHeavier = (left: Weighted, right: Weighted): boolean =>
    left.weight > right.weight || (left.weight === right.weight && left.member > right.member);

const countOwned = (
    { vm, slotsPerVm }: { readonly vm: VmId; readonly slotsPerVm: number },
    isOwned: (key: string) => boolean,
): number => Array.from({ length: slotsPerVm }, (unused, slot) => `slot ${vm} ${slot}`).filter(isOwned).length;
