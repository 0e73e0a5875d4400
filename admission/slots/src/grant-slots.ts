import type { VmId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import { type MemberDemand, type SlotTarget, slotTargets } from "./slot-targets.js";
import { type MemberSlots, sumSlots } from "./vm-slots.js";

/** What the division of a pool's slots depends on. */
export interface GrantOptions {
    readonly vms: readonly VmId[];
    readonly slotsPerVm: number;
    readonly demands: readonly MemberDemand[];
    /** Slots with a request in flight; they stay with their member. */
    readonly inUse: readonly MemberSlots[];
    /** Guaranteed slots of each class in the whole pool. */
    readonly guarantees: ByUrgency<number>;
    /** Slots that each member gets whatever its demand. */
    readonly reservePerMember: number;
    /** Slots that may move in one round although nobody waits for them. */
    readonly maxSpareMoves: number;
    /** Counts up over time; what cannot be divided evenly goes to other members in each turn. */
    readonly turn: number;
    /** Result of the last round, of which as much as possible stays. */
    readonly previous: readonly MemberSlots[];
}

/** A division of the slots of a pool. */
export interface Division {
    readonly rows: readonly MemberSlots[];
    readonly targets: readonly SlotTarget[];
}

/** Divides the slots of every VM among the members; never more than `slotsPerVm` on one VM. */
export const grantSlots = (options: GrantOptions): Division => {
    const previous = options.demands.map(({ member }) =>
        sumSlots(options.previous.filter(row => row.member === member)),
    );
    const targets = slotTargets({ ...options, total: options.vms.length * options.slotsPerVm, previous });
    const free: FreeSlots = new Map(options.vms.map(vm => [vm, options.slotsPerVm]));
    const kept = targets.map(target => keepCells(options, target, free));
    kept.forEach(({ cells, target }) => fillCells(cells, target, free));
    return { rows: kept.flatMap(({ cells }) => [...cells.values()]), targets };
};

type FreeSlots = Map<VmId, number>;

interface Cell extends MemberSlots {
    slots: number;
}

interface MemberCells {
    readonly target: SlotTarget;
    readonly cells: Map<VmId, Cell>;
}

// A member keeps first what it uses, then what it has where it has the most: giving up the smallest parts lets it
// close connections.
const keepCells = (options: GrantOptions, target: SlotTarget, free: FreeSlots): MemberCells => {
    const cells = new Map<VmId, Cell>();
    const isOwn = (row: MemberSlots): boolean => row.member === target.member;
    const inUse = options.inUse.filter(isOwn);
    const rest = options.previous.filter(isOwn).map(row => ({
        ...row,
        slots: row.slots - sumSlots(inUse.filter(({ vm }) => vm === row.vm)),
    }));
    [inUse, rest]
        .flatMap(rows => rows.toSorted((left, right) => right.slots - left.slots))
        .forEach(row => takeSlots(cells, { ...row, slots: Math.min(row.slots, missingOf(cells, target)) }, free));
    return { target, cells };
};

// First no VM gets more than half of the slots of a member, so that a failed VM leaves it some; then any does.
const fillCells = (cells: Map<VmId, Cell>, target: SlotTarget, free: FreeSlots): void => {
    const half = Math.ceil(target.slots / 2);
    [half, target.slots].forEach(limit => {
        vmsToFill(cells, free).forEach(vm => {
            const room = limit - (cells.get(vm)?.slots ?? 0);
            takeSlots(cells, { member: target.member, vm, slots: Math.min(room, missingOf(cells, target)) }, free);
        });
    });
};

const missingOf = (cells: Map<VmId, Cell>, target: SlotTarget): number => target.slots - sumSlots([...cells.values()]);

// VMs that the member already uses come first, then those with the most free slots, to use few of them.
const vmsToFill = (cells: Map<VmId, Cell>, free: FreeSlots): readonly VmId[] =>
    [...free]
        .filter(([, slots]) => slots > 0)
        .toSorted(
            ([leftVm, left], [rightVm, right]) =>
                Number(cells.has(rightVm)) - Number(cells.has(leftVm)) || right - left,
        )
        .map(([vm]) => vm);

const takeSlots = (cells: Map<VmId, Cell>, wanted: MemberSlots, free: FreeSlots): void => {
    const left = free.get(wanted.vm) ?? 0;
    const slots = Math.min(wanted.slots, left);
    if (slots <= 0) {
        return;
    }
    free.set(wanted.vm, left - slots);
    const cell = cells.get(wanted.vm);
    if (cell === undefined) {
        cells.set(wanted.vm, { ...wanted, slots });
    } else {
        cell.slots += slots;
    }
};
