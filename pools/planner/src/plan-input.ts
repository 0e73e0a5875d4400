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

/** Latest status response of an entry process to the manager. */
export interface Confirmation extends EntryProcess {
    /** Revision that the process applies. */
    readonly revision: number;
    /** Number of the status poll that this responds to; increases with each poll. */
    readonly round: number;
    /** Endpoint VMs on which the process has requests in flight, including routed requests that are not yet sent. */
    readonly inFlightVms: readonly VmId[];
    /** Unregistered processes to which it has passed its fleet state. */
    readonly passedTo: readonly EntryProcess[];
    /** Entry VMs that the process has seen on the platform's list and that are no longer on it. */
    readonly goneEntryVms: readonly VmId[];
}

/** Measured load of a pool in slots. */
export interface PoolLoad {
    readonly pool: PoolName;
    /** Slots in use plus queued requests, averaged over about a minute. */
    readonly demandSlots: number;
}

/** Input of one planning run. */
export interface PlanInput {
    readonly state: FleetState;
    /** The platform's list as this manager last read it. */
    readonly vms: readonly Vm[];
    /** Time at which that read began, on the clock of `nowMs`. */
    readonly listReadAtMs: number;
    /** Entry processes registered in the table service; must be read after the state. */
    readonly registrations: readonly EntryProcess[];
    readonly confirmations: readonly Confirmation[];
    readonly loads: readonly PoolLoad[];
    /** Endpoint VMs that the platform lists as live but the entry processes cannot reach. */
    readonly unresponsiveVms: readonly VmId[];
    readonly plannerState: PlannerState;
    /** Number of the manager's latest status poll of the entry processes. */
    readonly round: number;
    /** Milliseconds since the Unix epoch; must advance monotonically between planning runs. */
    readonly nowMs: number;
    readonly settings: PlannerSettings;
}
