import type { EntityTable } from "@almondusher/fleet/entity-table";
import type { PoolName, ProcessId, RequestId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { Connections } from "@almondusher/exchange/connection-pool";
import type { Membership, Peer } from "@almondusher/peer/membership";
import type { PeerClients } from "@almondusher/peer/peer-clients";
import type { Platform } from "@almondusher/platform/create-platform";
import type { RunTimes } from "@almondusher/placement/run-times";
import type { VmHealth } from "@almondusher/placement/vm-health";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Rendezvous } from "@almondusher/slots/rendezvous";
import type { Counters } from "@almondusher/telemetry/counters";
import type { FailureLog } from "@almondusher/telemetry/failure-log";
import type { Latencies } from "@almondusher/telemetry/latencies";
import type { Logger } from "@almondusher/telemetry/logger";
import type { RevisionUse } from "@almondusher/telemetry/revision-use";
import type { Grantor } from "./grantor.js";
import type { EntrySettings } from "./entry-settings.js";
import type { FleetView } from "./fleet-view.js";
import type { PoolRuntime } from "./pool-runtime.js";
import type { RequestFlow } from "./request-flow.js";

/** The platform's VM list as this process last learned it. */
interface VmListing {
    readonly vms: EntityTable<VmId, Vm>;
    /** The last row of every VM that was ever listed. */
    readonly knownVms: EntityTable<VmId, Vm>;
    readonly etag?: string;
    /** Monotonic time at which the platform gave the list, in milliseconds; undefined before the first. */
    readonly listedAtMs?: number;
}

/** Where the process is in its life. */
export type EntryPhase = "starting" | "serving" | "draining" | "closed";

/** The tables of the process, which the systems change on each event. */
export interface EntryTables {
    phase: EntryPhase;
    view: FleetView;
    /** False until a state was taken from the platform or a peer. */
    hasState: boolean;
    listing: VmListing;
    /** VMs that came back to service while this process watched, with the monotonic time in milliseconds. */
    readonly returnedVms: Map<VmId, number>;
    membership: Membership;
    /** Unregistered processes that took their state from this one, by VM. */
    readonly unregisteredPeers: Map<VmId, Peer>;
    /** True while a snapshot of a peer is on its way. */
    isCatchingUp: boolean;
    registered: boolean;
    platformUp: boolean;
    /** Monotonic times of the last contact, in milliseconds. */
    platformContactAtMs: number;
    peerContactAtMs: number;
    ready: boolean;
    readonly pools: Map<PoolName, PoolRuntime>;
    /** Pools whose slots this process divides. */
    readonly grantors: Map<PoolName, Grantor>;
    readonly requests: Map<RequestId, RequestFlow>;
    nextRequestNumber: number;
    /** Lookups of claims that wait for the platform. */
    lookups: number;
}

/** Everything that the functions of the entry work on. */
export interface EntryContext {
    readonly settings: EntrySettings;
    readonly peerSecret: string;
    readonly processId: ProcessId;
    /** URL of the own peer port. */
    peerUrl: string;
    readonly platform: Platform;
    readonly connections: Connections;
    readonly peerClients: PeerClients;
    readonly rendezvous: Rendezvous;
    readonly counters: Counters;
    readonly latencies: Latencies;
    readonly health: VmHealth;
    readonly runTimes: RunTimes;
    readonly random: RandomGenerator;
    readonly failureLog: FailureLog;
    readonly revisionUse: RevisionUse;
    readonly logger: Logger;
    readonly tables: EntryTables;
}
