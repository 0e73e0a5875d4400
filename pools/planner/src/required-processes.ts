import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { Confirmation, EntryProcess } from "./plan-input.js";

/** An entry process that must confirm a drain: a known process, or any process on a VM whose process is unknown. */
export type RequiredEntry =
    | { readonly kind: "process"; readonly processId: ProcessId; readonly vm: VmId }
    | { readonly kind: "any-on-vm"; readonly vm: VmId };

export interface RequiredProcessesOptions {
    readonly registrations: readonly EntryProcess[];
    /** VMs on the platform's list. */
    readonly vms: readonly Vm[];
    readonly confirmations: readonly Confirmation[];
    /** Entry VMs that this manager has ever seen on the platform's list. */
    readonly seenEntryVms: readonly VmId[];
}

/** Returns the entry processes that must confirm a drain, by the rules of design section 2.5. */
export const requiredProcesses = (options: RequiredProcessesOptions): readonly RequiredEntry[] => {
    const registered = new Map(options.registrations.map(entry => [entry.vm, entry]));
    const listed = options.vms.filter(vm => vm.role === "entry").map(vm => vm.id);
    // The list lags behind, so a VM that was never listed may be new. Only a VM that was listed before can have left.
    const removedCandidates = [
        ...options.seenEntryVms,
        ...options.confirmations.flatMap(confirmation => confirmation.goneEntryVms),
    ];
    const gone = new Set(removedCandidates.filter(vm => !listed.includes(vm)));
    const reported = options.confirmations
        .flatMap(confirmation => confirmation.passedTo)
        .filter(entry => !registered.has(entry.vm) || registered.get(entry.vm)?.processId === entry.processId);
    const processes = new Map([...options.registrations, ...reported].map(entry => [entry.processId, entry]));
    // A reported process on a VM with a different registered process needs no confirmation of its own. If it is the
    // older of the two, it has terminated. If it is newer, the registered process cannot confirm, so the drain waits.
    const known = [...processes.values()].filter(entry => !gone.has(entry.vm));
    const coveredVms = new Set(known.map(entry => entry.vm));
    return [
        ...known.map(entry => ({ kind: "process" as const, processId: entry.processId, vm: entry.vm })),
        ...listed.filter(vm => !coveredVms.has(vm)).map(vm => ({ kind: "any-on-vm" as const, vm })),
    ];
};
