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
import type { ErrorReporter } from "@almondusher/telemetry/error-reporter";
import type { Logger } from "@almondusher/telemetry/logger";
import type { PoolDemandAverage } from "./demand-average.js";
import type { ManagerSettings } from "./manager-settings.js";

/** Whether this process holds the manager lease or is a standby. */
type ManagerRole =
    | { readonly kind: "standby"; readonly observation: LeaseObservation | undefined }
    | { readonly kind: "active"; readonly lease: HeldLease };

/** An entry process and the URL for calls to it. */
export interface EntryContact {
    readonly vmId: VmId;
    readonly processId: ProcessId;
    readonly peerUrl: string;
}

/** Mutable in-memory state of the manager. */
interface ManagerTables {
    role: ManagerRole;
    state: FleetState;
    vms: readonly Vm[];
    vmListEtag: string | undefined;
    /** Start of the last read of the VM list, on the clock of `monotonicUnixMs`. */
    listReadAtMs: number;
    registrations: readonly Registration[];
    /** Latest response of each entry process: its revision and the draining VMs on which it has requests in flight. */
    readonly confirmations: Map<ProcessId, Confirmation>;
    /** Entry processes without a registration that other entry processes have reported. */
    unregistered: readonly EntryContact[];
    /** VMs that more than half of the answering entries reported as unresponsive. */
    unresponsiveVms: readonly VmId[];
    demand: PoolDemandAverage;
    plannerState: PlannerState;
    /** Number of the latest poll of the entries. */
    round: number;
    /** Decisions of the last plan, for the state dump and the status report, and to log only waits that are new. */
    lastDecisions: readonly Decision[];
    /** Why the last edit was refused; undefined once an edit has been accepted. */
    lastRefusal: string | undefined;
    /** Wall-clock time of the last complete tick, in milliseconds since 1970. */
    lastTickAtMs: number | undefined;
    isPlatformAvailable: boolean;
    stopping: boolean;
}

/** Settings, clients and state that the functions of the manager share. */
export interface ManagerContext {
    readonly settings: ManagerSettings;
    readonly processId: ProcessId;
    readonly platform: Platform;
    readonly peerClients: PeerClients;
    readonly counters: Counters;
    readonly logger: Logger;
    /** Counts and logs an unexpected error. */
    readonly reportError: ErrorReporter;
    readonly tables: ManagerTables;
}

/**
 * Whole milliseconds since 1970, the format of times in the fleet state, from a clock that never steps back while the
 * process runs.
 */
export const monotonicUnixMs = (): number => Math.floor(performance.timeOrigin + performance.now());
