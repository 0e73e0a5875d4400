import type { Change } from "@almondusher/fleet/edit";
import type { VmId } from "@almondusher/fleet/ids";

/** A VM or pool whose drain, maintenance or loan cannot proceed, and what it waits for. */
export interface WaitingDecision {
    readonly kind: "waiting";
    /** VM or pool that waits. */
    readonly subject: string;
    readonly on: "entries" | "requests" | "platform-list" | "return" | "budget" | "correlated-loss" | "spare-vms";
    /** Processes, VMs or pools that it waits for; empty if it waits for entry processes and none is known. */
    readonly names: readonly string[];
}

/** An action for the manager, or a condition to report. */
export type Decision =
    | { readonly kind: "edit"; readonly changes: readonly Change[]; readonly reason: string }
    /** Reboot the VM if its boot id is still the given one. */
    | { readonly kind: "reboot"; readonly vm: VmId; readonly bootId: string }
    | WaitingDecision;
