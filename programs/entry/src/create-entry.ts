import { randomBytes } from "node:crypto";
import { createConnectionPool } from "@almondusher/exchange/connection-pool";
import { entityTable } from "@almondusher/fleet/entity-table";
import { emptyFleetState } from "@almondusher/fleet/fleet-state";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import { initialMembership } from "@almondusher/peer/membership";
import { createPeerClients } from "@almondusher/peer/peer-clients";
import { createRunTimes } from "@almondusher/placement/run-times";
import { createVmHealth } from "@almondusher/placement/vm-health";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createPlatform } from "@almondusher/platform/create-platform";
import { loadSecret } from "@almondusher/settings/load-settings";
import { createRendezvous } from "@almondusher/slots/rendezvous";
import { createCounters } from "@almondusher/telemetry/counters";
import { createTrafficLog } from "@almondusher/telemetry/traffic-log";
import { createLatencies } from "@almondusher/telemetry/latencies";
import { createInternalErrorReporter } from "@almondusher/telemetry/internal-error-reporter";
import { createLogger } from "@almondusher/telemetry/logger";
import { createRevisionUseLog } from "@almondusher/telemetry/revision-use";
import type { EntryContext, EntryTables } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import type { EntrySettings } from "./entry-settings.js";
import { fleetView } from "./fleet-view.js";

const PROCESS_ID_BYTES = 6;
const SEED_BYTES = 4;

export interface EntryOptions {
    readonly settings: EntrySettings;
    readonly settingsFile: string;
}

/** Creates the state and the clients of an entry without opening connections. */
export const createEntry = async ({ settings, settingsFile }: EntryOptions): Promise<EntryContext> => {
    const processId = toId<ProcessId>(randomBytes(PROCESS_ID_BYTES).toString("hex"));
    const { timing } = settings;
    const peerSecret = loadSecret(settingsFile, settings.peerSecretFile);
    const counters = createCounters();
    const logger = createLogger({
        program: "almondusher-entry",
        processId,
        vm: settings.vmId,
        level: settings.logLevel,
        secrets: [peerSecret],
    });
    return {
        settings,
        peerSecret,
        processId,
        peerUrl: "",
        platform: createPlatform({ settings: settings.platform, settingsFile }),
        connections: createConnectionPool({
            idleMs: timing.connectionIdleMs,
            maxAgeMs: timing.connectionAgeMs,
            nonIdempotentIdleMs: timing.nonIdempotentIdleMs,
            connectTimeoutMs: timing.connectTimeoutMs,
        }),
        peerClients: createPeerClients({ secret: peerSecret, timeoutMs: timing.peerTimeoutMs }),
        rendezvous: await createRendezvous(),
        counters,
        latencies: createLatencies(),
        health: createVmHealth(),
        runTimes: createRunTimes(),
        random: xoroshiro128plus(randomBytes(SEED_BYTES).readInt32LE()),
        trafficLog: createTrafficLog({ process: processId }),
        revisionUse: createRevisionUseLog(),
        logger,
        reportError: createInternalErrorReporter({ counters, logger }),
        tables: createTables(settings),
    };
};

const createTables = (settings: EntrySettings): EntryTables => {
    const vms = entityTable<VmId, Vm>([], vm => vm.id);
    return {
        phase: "starting",
        view: fleetView({ state: emptyFleetState, vms, knownVms: vms, returnedVms: new Set() }),
        hasState: false,
        vmListing: { vms, knownVms: vms },
        returnedVms: new Map(),
        membership: initialMembership(settings.peers),
        unregisteredPeers: new Map(),
        isFetchingSnapshot: false,
        registered: false,
        platformUp: true,
        platformContactAtMs: monotonicMs(),
        peerContactAtMs: monotonicMs(),
        ready: false,
        pools: new Map(),
        grantorStates: new Map(),
        requests: new Map(),
        nextRequestNumber: 0,
        pendingClaimLookups: 0,
    };
};
