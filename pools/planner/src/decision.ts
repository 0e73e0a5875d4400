import type { Change } from "@almondusher/fleet/edit";
import type { VmId } from "@almondusher/fleet/ids";

/** Something that cannot proceed, and the names of what it waits for. */
export interface Waiting {
    readonly kind: "waiting";
    /** VM or pool that waits. */
    readonly subject: string;
    readonly on: "entries" | "requests" | "platform-list" | "return" | "budget" | "correlated-loss" | "spare-vms";
    /** Processes, VMs or pools waited for; empty if no entry process is known at all. */
    readonly names: readonly string[];
}

/** What the manager is to do next. */
export type Decision =
    | { readonly kind: "edit"; readonly changes: readonly Change[]; readonly reason: string }
    /** Reboot the VM if it still runs the given boot. */
    | { readonly kind: "reboot"; readonly vm: VmId; readonly bootId: string }
    | Waiting;
