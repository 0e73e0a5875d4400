import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { PlannerSettings } from "./planner-settings.js";
import type { PlannerState } from "./planner-state.js";

/** An entry process and the VM that it runs on. */
export interface EntryProcess {
    readonly processId: ProcessId;
    readonly vm: VmId;
}

/** What an entry process last answered to the manager. */
export interface Confirmation extends EntryProcess {
    /** Revision in force in the process. */
    readonly revision: number;
    /** Number of the manager's question that this answers; rises with each question. */
    readonly round: number;
    /** Endpoint VMs on which the process has requests in flight, counted from the routing decision on. */
    readonly inFlightVms: readonly VmId[];
    /** Unregistered processes to which it has passed its state. */
    readonly passedTo: readonly EntryProcess[];
    /** Entry VMs that the process has seen on the platform's list and that have left it. */
    readonly goneEntryVms: readonly VmId[];
}

/** Measured load of a pool. */
export interface PoolLoad {
    readonly pool: PoolName;
    /** Slots in use plus requests waiting, averaged over about a minute. */
    readonly demandSlots: number;
}

/** Everything that the planner decides on. */
export interface PlanInput {
    readonly state: FleetState;
    /** The platform's list as this manager last read it. */
    readonly vms: readonly Vm[];
    /** When that read began, on the clock of `nowMs`. */
    readonly listReadAtMs: number;
    /** Entry processes registered in the table service, read after the state. */
    readonly registrations: readonly EntryProcess[];
    readonly confirmations: readonly Confirmation[];
    readonly loads: readonly PoolLoad[];
    /** Endpoint VMs that the entries find dead although the list shows them live. */
    readonly unresponsiveVms: readonly VmId[];
    readonly plannerState: PlannerState;
    /** Number of the manager's latest question to the entries. */
    readonly round: number;
    /** Milliseconds since 1970; between two plans it must advance like a monotonic clock. */
    readonly nowMs: number;
    readonly settings: PlannerSettings;
}
