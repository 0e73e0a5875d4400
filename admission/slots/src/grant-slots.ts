import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import { type MemberDemand, type SlotTarget, slotTargets } from "./slot-targets.js";
import { type MemberSlots, sumSlots } from "./vm-slots.js";

/** What the grants of a pool depend on. */
export interface GrantOptions {
    readonly vms: readonly VmId[];
    readonly slotsPerVm: number;
    readonly demands: readonly MemberDemand[];
    readonly shares: ByUrgency<number>;
    /** Slots that each member gets whatever its demand. */
    readonly reservePerMember: number;
    /** Grants of the last round, of which as many as possible stay. */
    readonly previous: readonly MemberSlots[];
}

/** Divides the slots of every VM among the members; never more than `slotsPerVm` on one VM. */
export const grantSlots = (options: GrantOptions): readonly MemberSlots[] => {
    const total = options.vms.length * options.slotsPerVm;
    const targets = slotTargets({ ...options, total });
    const kept = keepGrants(options, targets);
    return fillUp(options, targets, kept);
};

// A member that must give slots back gives those on the VM where it has the fewest, which may free a connection.
const keepGrants = (options: GrantOptions, targets: readonly SlotTarget[]): readonly MemberSlots[] => {
    const vms = new Set(options.vms);
    return targets.flatMap(({ member, slots }) => {
        const rows = options.previous.filter(row => row.member === member && vms.has(row.vm));
        return takeUpTo(
            rows.toSorted((left, right) => right.slots - left.slots),
            slots,
        );
    });
};

const takeUpTo = (rows: readonly MemberSlots[], slots: number): readonly MemberSlots[] => {
    const budget = { left: slots };
    return rows.flatMap(row => {
        const kept = Math.min(row.slots, budget.left);
        budget.left -= kept;
        return kept > 0 ? [{ ...row, slots: kept }] : [];
    });
};

interface Cell {
    readonly member: ProcessId;
    readonly vm: VmId;
    slots: number;
}

const fillUp = (
    options: GrantOptions,
    targets: readonly SlotTarget[],
    kept: readonly MemberSlots[],
): readonly MemberSlots[] => {
    const free = new Map(options.vms.map(vm => [vm, options.slotsPerVm]));
    kept.forEach(row => free.set(row.vm, (free.get(row.vm) ?? 0) - row.slots));
    const granted = targets.flatMap(({ member, slots }) => {
        const cells: Cell[] = kept.filter(row => row.member === member).map(row => ({ ...row }));
        fillMember(cells, { member, missing: slots - sumSlots(cells), free });
        return cells;
    });
    return granted.filter(cell => cell.slots > 0);
};

interface Missing {
    readonly member: ProcessId;
    readonly missing: number;
    readonly free: Map<VmId, number>;
}

// Slots on VMs that the member already uses come first; then the VMs with the most free slots, to use few of them.
const fillMember = (cells: Cell[], { member, missing, free }: Missing): void => {
    const known = new Map(cells.map(cell => [cell.vm, cell]));
    const vms = [...free.keys()].toSorted(
        (left, right) =>
            Number(known.has(right)) - Number(known.has(left)) || (free.get(right) ?? 0) - (free.get(left) ?? 0),
    );
    vms.reduce((left, vm) => {
        const count = Math.min(left, Math.max(0, free.get(vm) ?? 0));
        if (count > 0) {
            free.set(vm, (free.get(vm) ?? 0) - count);
            addToCell(cells, { member, vm, slots: count });
        }
        return left - count;
    }, missing);
};

const addToCell = (cells: Cell[], added: Cell): void => {
    const cell = cells.find(candidate => candidate.vm === added.vm);
    if (cell === undefined) {
        cells.push(added);
    } else {
        cell.slots += added.slots;
    }
};
