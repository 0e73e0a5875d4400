import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { Confirmation, EntryProcess } from "./plan-input.js";

/** An entry that must confirm a drain: a known process, or whichever process runs on a VM. */
export type RequiredEntry =
    | { readonly kind: "process"; readonly processId: ProcessId; readonly vm: VmId }
    | { readonly kind: "any-on-vm"; readonly vm: VmId };

export interface RequiredProcessesOptions {
    readonly registrations: readonly EntryProcess[];
    /** The platform's list. */
    readonly vms: readonly Vm[];
    readonly confirmations: readonly Confirmation[];
    /** Entry VMs that the manager has seen on the list at any time. */
    readonly seenEntryVms: readonly VmId[];
}

/** The entries that must confirm a drain, by the rules of design section 2.5. */
export const requiredProcesses = (options: RequiredProcessesOptions): readonly RequiredEntry[] => {
    const registered = new Map(options.registrations.map(entry => [entry.vm, entry]));
    const listed = options.vms.filter(vm => vm.role === "entry").map(vm => vm.id);
    // A VM that has never been listed may be too new for a lagging list; only one that was listed can have gone.
    const left = [...options.seenEntryVms, ...options.confirmations.flatMap(confirmation => confirmation.goneEntryVms)];
    const gone = new Set(left.filter(vm => !listed.includes(vm)));
    const named = options.confirmations
        .flatMap(confirmation => confirmation.passedTo)
        .filter(entry => !registered.has(entry.vm) || registered.get(entry.vm)?.processId === entry.processId);
    const processes = new Map([...options.registrations, ...named].map(entry => [entry.processId, entry]));
    // A named process on a VM with another registration needs no confirmation of its own: if it is the older one it
    // has terminated, and if it is the newer one the registered process cannot confirm and the drain waits.
    const known = [...processes.values()].filter(entry => !gone.has(entry.vm));
    const covered = new Set(known.map(entry => entry.vm));
    return [
        ...known.map(entry => ({ kind: "process" as const, processId: entry.processId, vm: entry.vm })),
        ...listed.filter(vm => !covered.has(vm)).map(vm => ({ kind: "any-on-vm" as const, vm })),
    ];
};
