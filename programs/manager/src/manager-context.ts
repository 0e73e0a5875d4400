import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { PeerClients } from "@almondusher/peer/peer-clients";
import type { Decision } from "@almondusher/planner/decision";
import type { Confirmation } from "@almondusher/planner/plan-input";
import type { PlannerState } from "@almondusher/planner/planner-state";
import type { Platform } from "@almondusher/platform/create-platform";
import type { HeldLease } from "@almondusher/platform/manager-lease";
import type { LeaseObservation } from "@almondusher/platform/observe-lease";
import type { Registration } from "@almondusher/platform/registrations";
import type { Counters } from "@almondusher/telemetry/counters";
import type { Logger } from "@almondusher/telemetry/logger";
import type { PoolDemandAverage } from "./demand-average.js";
import type { ManagerSettings } from "./manager-settings.js";

/** Whether this process acts or stands by. */
type ManagerRole =
    | { readonly kind: "standby"; readonly observation: LeaseObservation | undefined }
    | { readonly kind: "active"; readonly lease: HeldLease };

/** An entry process and the URL that it is asked at. */
export interface EntryContact {
    readonly vmId: VmId;
    readonly processId: ProcessId;
    readonly peerUrl: string;
}

/** The tables of the manager. */
interface ManagerTables {
    role: ManagerRole;
    state: FleetState;
    vms: readonly Vm[];
    vmListEtag: string | undefined;
    /** When the last read of the VM list began, on the clock of `wallClockMs`. */
    listReadAtMs: number;
    registrations: readonly Registration[];
    /** Last answer of each entry process, by process. */
    readonly confirmations: Map<ProcessId, Confirmation>;
    /** Unregistered entries that a registered one has named. */
    unregistered: readonly EntryContact[];
    unresponsive: readonly VmId[];
    demand: PoolDemandAverage;
    plannerState: PlannerState;
    /** Number of the latest question to the entries. */
    round: number;
    /** Decisions of the last plan, for the state dump. */
    lastDecisions: readonly Decision[];
    /** Why the last edit was refused; absent after an accepted one. */
    lastRefusal: string | undefined;
    /** Wall clock of the last complete tick, in milliseconds since 1970. */
    lastTickAtMs: number | undefined;
    platformUp: boolean;
    stopping: boolean;
}

/** Everything that the functions of the manager work on. */
export interface ManagerContext {
    readonly settings: ManagerSettings;
    readonly processId: ProcessId;
    readonly platform: Platform;
    readonly peerClients: PeerClients;
    readonly counters: Counters;
    readonly logger: Logger;
    readonly tables: ManagerTables;
}

/** Whole milliseconds since 1970, as rows of the fleet state hold them; never steps back while the process runs. */
export const wallClockMs = (): number => Math.floor(performance.timeOrigin + performance.now());
