import type { VmId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import { type MemberDemand, type SlotTarget, slotTargets } from "./slot-targets.js";
import { type MemberSlots, sumSlots } from "./vm-slots.js";

/** Slots of a pool, demand of its members and result of the last round, from which the slots are allocated. */
export interface AllocationOptions {
    readonly vms: readonly VmId[];
    readonly slotsPerVm: number;
    readonly demands: readonly MemberDemand[];
    /** Slots with a request in flight; their members keep them. */
    readonly inUse: readonly MemberSlots[];
    /** Guaranteed slots of each class in the whole pool. */
    readonly guarantees: ByUrgency<number>;
    /** Slots that each member gets regardless of its demand. */
    readonly reservePerMember: number;
    /** Idle slots that may move between members in one round. */
    readonly maxIdleMoves: number;
    /** Increases over time; each rotation gives the remainder of an uneven division to different members. */
    readonly rotation: number;
    /** Result of the last round, which changes as little as possible. */
    readonly previous: readonly MemberSlots[];
}

/** Result of `allocateSlots`: the slots of each member on each VM, and the targets that they implement. */
export interface SlotAllocation {
    readonly rows: readonly MemberSlots[];
    readonly targets: readonly SlotTarget[];
}

/** Allocates the slots of every VM to the members, at most `slotsPerVm` on each VM. */
export const allocateSlots = (options: AllocationOptions): SlotAllocation => {
    const previous = options.demands.map(({ member }) =>
        sumSlots(options.previous.filter(row => row.member === member)),
    );
    const targets = slotTargets({ ...options, total: options.vms.length * options.slotsPerVm, previous });
    const free: FreeSlots = new Map(options.vms.map(vm => [vm, options.slotsPerVm]));
    const kept = targets.map(target => keepSlots(options, target, free));
    kept.forEach(({ byVm, target }) => fillSlots(byVm, target, free));
    return { rows: kept.flatMap(({ byVm }) => [...byVm.values()]), targets };
};

type FreeSlots = Map<VmId, number>;

interface MutableMemberSlots extends MemberSlots {
    slots: number;
}

interface MemberAllocation {
    readonly target: SlotTarget;
    readonly byVm: Map<VmId, MutableMemberSlots>;
}

// A member keeps the slots that are in use first, then its previous slots, on the VMs with the most of them first:
// giving up its last slots on a VM lets it close its connections there.
const keepSlots = (options: AllocationOptions, target: SlotTarget, free: FreeSlots): MemberAllocation => {
    const byVm = new Map<VmId, MutableMemberSlots>();
    const isOwn = (row: MemberSlots): boolean => row.member === target.member;
    const inUse = options.inUse.filter(isOwn);
    const rest = options.previous.filter(isOwn).map(row => ({
        ...row,
        slots: row.slots - sumSlots(inUse.filter(({ vm }) => vm === row.vm)),
    }));
    [inUse, rest]
        .flatMap(rows => rows.toSorted((left, right) => right.slots - left.slots))
        .forEach(row => takeSlots(byVm, { ...row, slots: Math.min(row.slots, missingOf(byVm, target)) }, free));
    return { target, byVm };
};

// The first pass puts at most half of a member's slots on any one VM, so that the member keeps some when a VM fails;
// the second pass has no such limit.
const fillSlots = (byVm: Map<VmId, MutableMemberSlots>, target: SlotTarget, free: FreeSlots): void => {
    const half = Math.ceil(target.slots / 2);
    [half, target.slots].forEach(limit => {
        vmsByPreference(byVm, free).forEach(vm => {
            const room = limit - (byVm.get(vm)?.slots ?? 0);
            takeSlots(byVm, { member: target.member, vm, slots: Math.min(room, missingOf(byVm, target)) }, free);
        });
    });
};

const missingOf = (byVm: Map<VmId, MutableMemberSlots>, target: SlotTarget): number =>
    target.slots - sumSlots([...byVm.values()]);

// VMs that the member already uses come first, then those with the most free slots, so that a member's slots are on
// few VMs.
const vmsByPreference = (byVm: Map<VmId, MutableMemberSlots>, free: FreeSlots): readonly VmId[] =>
    [...free]
        .filter(([, slots]) => slots > 0)
        .toSorted(
            ([leftVm, left], [rightVm, right]) => Number(byVm.has(rightVm)) - Number(byVm.has(leftVm)) || right - left,
        )
        .map(([vm]) => vm);

const takeSlots = (byVm: Map<VmId, MutableMemberSlots>, wanted: MemberSlots, free: FreeSlots): void => {
    const left = free.get(wanted.vm) ?? 0;
    const slots = Math.min(wanted.slots, left);
    if (slots <= 0) {
        return;
    }
    free.set(wanted.vm, left - slots);
    const allocation = byVm.get(wanted.vm);
    if (allocation === undefined) {
        byVm.set(wanted.vm, { ...wanted, slots });
    } else {
        allocation.slots += slots;
    }
};
