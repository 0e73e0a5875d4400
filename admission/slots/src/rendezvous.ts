import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import xxhash from "xxhash-wasm";
import type { VmSlots } from "./vm-slots.js";

/** Rendezvous hashing: all processes with the same view of the members choose the same owner of a key. */
export interface Rendezvous {
    /** The member with the highest hash for the key; undefined without members. */
    readonly ownerOf: (key: string, members: readonly ProcessId[]) => ProcessId | undefined;
    /** The member that allocates the slots of the pool; undefined without members. */
    readonly grantorOf: (pool: PoolName, members: readonly ProcessId[]) => ProcessId | undefined;
    /** The slots of each VM that `self` may use while it has no valid grant. */
    readonly partitionSlots: (partition: Partition) => readonly VmSlots[];
}

// The slots of a pool, which `partitionSlots` divides among its members by rendezvous hashing.
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

// Ties are broken by id, so that the result does not depend on the order of the members.
const isHeavier = (left: Weighted, right: Weighted): boolean =>
    left.weight > right.weight || (left.weight === right.weight && left.member > right.member);

const countOwned = (
    { vm, slotsPerVm }: { readonly vm: VmId; readonly slotsPerVm: number },
    isOwned: (key: string) => boolean,
): number => Array.from({ length: slotsPerVm }, (unused, slot) => `slot ${vm} ${slot}`).filter(isOwned).length;
