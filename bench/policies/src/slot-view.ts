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

/** An entry's knowledge of the pool's slots and its choice of VMs. */
export interface SlotView {
    readonly capacity: () => PoolCapacity;
    /** Chooses a VM for a request and reserves a slot on it; undefined if no free slot is known. */
    readonly reserve: () => VmId | undefined;
    readonly release: (vm: VmId) => void;
    readonly recordRefusal: (vm: VmId) => void;
}

/** VMs of a pool and the slots on each. */
export interface PoolSize {
    readonly vms: readonly VmId[];
    readonly slotsPerVm: number;
}

/** View based on a slot ledger: an entry uses only the slots granted to it. */
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
        reserve: () => {
            const vm = mostFree();
            return vm !== undefined && reserveSlot(ledger, vm) ? vm : undefined;
        },
        release: vm => releaseSlot(ledger, vm),
        recordRefusal: () => undefined,
    };
};

/** View based on load reports: the last reported load of the other entries plus the entry's own. */
export interface LoadView extends SlotView {
    readonly ownLoad: () => ReadonlyMap<VmId, number>;
    readonly recordReport: (from: number, load: ReadonlyMap<VmId, number>) => void;
}

/** Baseline: power of two choices, the less loaded of two random VMs according to load reports. */
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
        reserve: () => {
            const vm = choose();
            if (vm !== undefined) {
                own.set(vm, (own.get(vm) ?? 0) + 1);
            }
            return vm;
        },
        release: vm => own.set(vm, Math.max(0, (own.get(vm) ?? 0) - 1)),
        recordRefusal: vm => refused.add(vm),
        ownLoad: () => new Map(own),
        recordReport: (from, load) => {
            reports.set(from, load);
            refused.clear();
        },
    };
};
