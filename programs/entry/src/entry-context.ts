import type { EntityTable } from "@almondusher/fleet/entity-table";
import type { PoolName, ProcessId, RequestId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { ConnectionPool } from "@almondusher/exchange/connection-pool";
import type { Membership, Peer } from "@almondusher/peer/membership";
import type { PeerClients } from "@almondusher/peer/peer-clients";
import type { Platform } from "@almondusher/platform/create-platform";
import type { RunTimes } from "@almondusher/placement/run-times";
import type { VmHealth } from "@almondusher/placement/vm-health";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Rendezvous } from "@almondusher/slots/rendezvous";
import type { Counters } from "@almondusher/telemetry/counters";
import type { TrafficLog } from "@almondusher/telemetry/traffic-log";
import type { Latencies } from "@almondusher/telemetry/latencies";
import type { ErrorReporter } from "@almondusher/telemetry/error-reporter";
import type { Logger } from "@almondusher/telemetry/logger";
import type { RevisionUseLog } from "@almondusher/telemetry/revision-use";
import type { GrantorState } from "./grantor-state.js";
import type { EntrySettings } from "./entry-settings.js";
import type { FleetView } from "./fleet-view.js";
import type { PoolRuntime } from "./pool-runtime.js";
import type { ActiveRequest } from "./active-request.js";

/** The latest VM list of the platform known to this process. */
interface VmListing {
    readonly vms: EntityTable<VmId, Vm>;
    /** Latest row of every VM that was ever listed, including VMs that are no longer listed. */
    readonly knownVms: EntityTable<VmId, Vm>;
    readonly etag?: string;
    /**
     * Monotonic time at which the list was requested from the platform, in milliseconds, estimated from the age of the list
     * if a peer sent it; undefined before the first list.
     */
    readonly listedAtMs?: number;
}

/** Lifecycle phase of the process. */
export type EntryPhase = "starting" | "serving" | "draining" | "closed";

/** In-memory state of the process, updated by the event handlers. */
export interface EntryTables {
    phase: EntryPhase;
    view: FleetView;
    /** False until a fleet state has been received from the platform or a peer. */
    hasState: boolean;
    vmListing: VmListing;
    /** VMs whose return to service this process observed, with the monotonic time in milliseconds. */
    readonly returnedVms: Map<VmId, number>;
    membership: Membership;
    /** Unregistered processes that fetched a snapshot from this process, by VM. */
    readonly unregisteredPeers: Map<VmId, Peer>;
    /** True while a snapshot is being fetched from a peer. */
    isFetchingSnapshot: boolean;
    registered: boolean;
    platformUp: boolean;
    /** Monotonic send time of the latest answered read of the head revision, in milliseconds; initially the start time. */
    platformContactAtMs: number;
    peerContactAtMs: number;
    ready: boolean;
    readonly pools: Map<PoolName, PoolRuntime>;
    /** State of the pools for which this process is the grantor. */
    readonly grantorStates: Map<PoolName, GrantorState>;
    readonly requests: Map<RequestId, ActiveRequest>;
    nextRequestNumber: number;
    /** Number of claim lookups that wait for the platform. */
    pendingClaimLookups: number;
}

/** Settings, clients and state that the functions of the entry share. */
export interface EntryContext {
    readonly settings: EntrySettings;
    readonly peerSecret: string;
    readonly processId: ProcessId;
    /** URL of this process's peer port. */
    peerUrl: string;
    readonly platform: Platform;
    readonly connections: ConnectionPool;
    readonly peerClients: PeerClients;
    readonly rendezvous: Rendezvous;
    readonly counters: Counters;
    readonly latencies: Latencies;
    readonly health: VmHealth;
    readonly runTimes: RunTimes;
    readonly random: RandomGenerator;
    readonly trafficLog: TrafficLog;
    readonly revisionUse: RevisionUseLog;
    readonly logger: Logger;
    /** Counts and logs an unexpected error. */
    readonly reportError: ErrorReporter;
    readonly tables: EntryTables;
}
