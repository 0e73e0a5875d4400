import type { PoolCapacity } from "@almondusher/admission/admission-options";
import type { VmId } from "@almondusher/fleet/ids";
import {
    createSlotLedger,
    freeSlots,
    freeSlotsOfPool,
    grantedSlots,
    guaranteedSlots,
    releaseSlot,
    reserveSlot,
    type SlotLedger,
} from "@almondusher/slots/slot-ledger";
import type { Random } from "./random.js";

/** What one entry knows about the slots of the pool, and how it chooses a VM. */
export interface SlotView {
    readonly capacity: () => PoolCapacity;
    /** Chooses a VM for one request and counts it there; undefined if no slot seems free. */
    readonly take: () => VmId | undefined;
    readonly giveBack: (vm: VmId) => void;
    readonly noteRefusal: (vm: VmId) => void;
}

/** Slots of the VMs of a pool. */
export interface PoolSize {
    readonly vms: readonly VmId[];
    readonly slotsPerVm: number;
}

/** Slots by ledger: an entry uses only those that belong to it. */
export const ledgerView = (
    size: PoolSize,
    clock: { readonly now: () => number },
): SlotView & { readonly ledger: SlotLedger } => {
    const ledger = createSlotLedger();
    const mostFree = (): VmId | undefined =>
        size.vms.reduce<VmId | undefined>(
            (best, vm) => (freeSlots(ledger, vm) > (best === undefined ? 0 : freeSlots(ledger, best)) ? vm : best),
            undefined,
        );
    return {
        ledger,
        capacity: () => {
            const guarantees = guaranteedSlots(ledger, clock.now());
            const capacity = {
                free: freeSlotsOfPool(ledger),
                granted: grantedSlots(ledger),
                pool: size.vms.length * size.slotsPerVm,
            };
            return guarantees === undefined ? capacity : { ...capacity, guarantees };
        },
        take: () => {
            const vm = mostFree();
            return vm !== undefined && reserveSlot(ledger, vm) ? vm : undefined;
        },
        giveBack: vm => releaseSlot(ledger, vm),
        noteRefusal: () => undefined,
    };
};

/** A view by load reports: the load that the other entries had when they last reported, and the entry's own. */
export interface LoadView extends SlotView {
    readonly ownLoad: () => ReadonlyMap<VmId, number>;
    readonly noteReport: (from: number, load: ReadonlyMap<VmId, number>) => void;
}

/** Baseline: the less loaded of two random VMs, by load reports of the other entries. */
export const loadView = (size: PoolSize, { random, entries }: { random: Random; entries: number }): LoadView => {
    const own = new Map<VmId, number>();
    const reports = new Map<number, ReadonlyMap<VmId, number>>();
    const refused = new Set<VmId>();
    const others = (vm: VmId): number => [...reports.values()].reduce((sum, report) => sum + (report.get(vm) ?? 0), 0);
    const freeOn = (vm: VmId): number =>
        refused.has(vm) ? 0 : Math.max(0, size.slotsPerVm - (own.get(vm) ?? 0) - others(vm));
    const total = size.vms.length * size.slotsPerVm;
    const choose = (): VmId | undefined => {
        const open = size.vms.filter(vm => freeOn(vm) > 0);
        const [first, second] = [
            open[random.below(Math.max(1, open.length))],
            open[random.below(Math.max(1, open.length))],
        ];
        return first !== undefined && second !== undefined && freeOn(second) > freeOn(first) ? second : first;
    };
    return {
        capacity: () => {
            const free = size.vms.reduce((sum, vm) => sum + freeOn(vm), 0);
            const ownTotal = [...own.values()].reduce((sum, load) => sum + load, 0);
            return { free, granted: Math.max(Math.floor(total / entries), free + ownTotal), pool: total };
        },
        take: () => {
            const vm = choose();
            if (vm !== undefined) {
                own.set(vm, (own.get(vm) ?? 0) + 1);
            }
            return vm;
        },
        giveBack: vm => own.set(vm, Math.max(0, (own.get(vm) ?? 0) - 1)),
        noteRefusal: vm => refused.add(vm),
        ownLoad: () => new Map(own),
        noteReport: (from, load) => {
            reports.set(from, load);
            refused.clear();
        },
    };
};
