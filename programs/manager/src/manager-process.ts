import { randomBytes } from "node:crypto";
import { mergeArray, type Stream } from "most";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { emptyFleetState } from "@almondusher/fleet/fleet-state";
import { type ProcessId, toId } from "@almondusher/fleet/ids";
import { createPeerClients } from "@almondusher/peer/peer-clients";
import { initialPlannerState } from "@almondusher/planner/planner-state";
import { closePlatform, createPlatform } from "@almondusher/platform/create-platform";
import { releaseLease } from "@almondusher/platform/manager-lease";
import { readHead, readState } from "@almondusher/platform/read-state";
import { readRegistrations } from "@almondusher/platform/registrations";
import { readVms } from "@almondusher/platform/vm-list";
import { loadSecret } from "@almondusher/settings/load-settings";
import { createCounters, listCounters } from "@almondusher/telemetry/counters";
import { containErrors } from "@almondusher/telemetry/error-reporter";
import { signalStream, tickStream } from "@almondusher/telemetry/event-stream";
import { createInternalErrorReporter } from "@almondusher/telemetry/internal-error-reporter";
import { createLogger, logEvent } from "@almondusher/telemetry/logger";
import { startOperatorServer } from "@almondusher/telemetry/operator-server";
import { statusRoute } from "@almondusher/telemetry/status-report";
import { startStateDumper } from "@almondusher/telemetry/state-dump";
import { pollEntries } from "./poll-entries.js";
import { initialDemandAverage } from "./demand-average.js";
import { renewOrTakeLease } from "./renew-or-take-lease.js";
import { type ManagerContext, monotonicUnixMs } from "./manager-context.js";
import type { ManagerSettings } from "./manager-settings.js";
import { managerStatus } from "./manager-status.js";
import { runPlan } from "./run-plan.js";
import { VERSION } from "./version.js";

const PROCESS_ID_BYTES = 6;

type ManagerEvent = { readonly kind: "tick" } | { readonly kind: "signal"; readonly signal: NodeJS.Signals };

export interface ManagerOptions {
    readonly settings: ManagerSettings;
    readonly settingsFile: string;
}

/** Runs the manager until SIGTERM or SIGINT, then completes the running tick and releases the lease. */
export const runManager = async ({ settings, settingsFile }: ManagerOptions): Promise<void> => {
    const signals = signalStream(["SIGTERM", "SIGINT"]);
    const manager = createManager({ settings, settingsFile });
    process.on("uncaughtException", manager.reportError);
    const dumper = startManagerStateDumper(manager);
    const operatorServer = await startOperatorServer({
        listen: settings.operatorListen,
        secret: loadSecret(settingsFile, settings.operatorSecretFile),
        counters: manager.counters,
        health: () => ({ ready: !manager.tables.stopping }),
        dump: () => dumper.dump(),
        metrics: () => ({ counters: listCounters(manager.counters), latencies: [], gauges: [] }),
        routes: [statusRoute(() => managerStatus(manager))],
    });
    logEvent(manager.logger, { kind: "started", version: VERSION, settingsFile });
    await processEvents(manager, signals);
    await releaseHeldLease(manager);
    await operatorServer.close();
    dumper.stop();
    manager.peerClients.close();
    await closePlatform(manager.platform);
    logEvent(manager.logger, { kind: "stopped", exitCode: 0 });
};

const createManager = ({ settings, settingsFile }: ManagerOptions): ManagerContext => {
    const processId = toId<ProcessId>(randomBytes(PROCESS_ID_BYTES).toString("hex"));
    const secret = loadSecret(settingsFile, settings.peerSecretFile);
    const counters = createCounters();
    const logger = createLogger({
        program: "almondusher-manager",
        processId,
        vm: settings.vmId,
        level: settings.logLevel,
        secrets: [secret],
    });
    return {
        settings,
        processId,
        platform: createPlatform({ settings: settings.platform, settingsFile }),
        peerClients: createPeerClients({ secret, timeoutMs: settings.timing.callTimeoutMs }),
        counters,
        logger,
        reportError: createInternalErrorReporter({ counters, logger }),
        tables: {
            role: { kind: "standby", observation: undefined },
            state: emptyFleetState,
            vms: [],
            vmListEtag: undefined,
            listReadAtMs: 0,
            registrations: [],
            confirmations: new Map(),
            unregistered: [],
            unresponsiveVms: [],
            demand: initialDemandAverage,
            plannerState: initialPlannerState,
            round: 0,
            lastDecisions: [],
            lastRefusal: undefined,
            lastTickAtMs: undefined,
            isPlatformAvailable: true,
            stopping: false,
        },
    };
};

const startManagerStateDumper = (manager: ManagerContext) =>
    startStateDumper({
        program: "almondusher-manager",
        version: VERSION,
        processId: manager.processId,
        vm: manager.settings.vmId,
        revision: () => manager.tables.state.revision,
        sections: [
            { name: "role", read: () => manager.tables.role },
            { name: "decisions", read: () => manager.tables.lastDecisions },
            { name: "lastRefusal", read: () => manager.tables.lastRefusal },
            { name: "lastTickAtMs", read: () => manager.tables.lastTickAtMs },
            {
                name: "drains",
                read: () => manager.tables.state.assignments.rows.filter(row => row.phase.kind !== "serving"),
            },
            { name: "registrations", read: () => manager.tables.registrations },
            { name: "confirmations", read: () => [...manager.tables.confirmations.values()] },
            { name: "demand", read: () => manager.tables.demand.loads },
            { name: "planner", read: () => manager.tables.plannerState },
            { name: "platform", read: () => manager.platform.counts },
            { name: "counters", read: () => listCounters(manager.counters) },
        ],
    });

const eventStream = (settings: ManagerSettings, signals: Stream<NodeJS.Signals>): Stream<ManagerEvent> =>
    mergeArray([
        signals.map((signal): ManagerEvent => ({ kind: "signal", signal })),
        tickStream(settings.timing.tickMs).map((): ManagerEvent => ({ kind: "tick" })),
    ]);

const processEvents = (manager: ManagerContext, signals: Stream<NodeJS.Signals>): Promise<void> =>
    new Promise((resolve, reject) => {
        let runningTick: Promise<void> | undefined;
        const subscription = eventStream(manager.settings, signals).subscribe({
            next: containErrors(manager.reportError, (event: ManagerEvent) => {
                switch (event.kind) {
                    case "tick":
                        runningTick ??= tick(manager).finally(() => (runningTick = undefined));
                        return;
                    case "signal":
                        manager.tables.stopping = true;
                        logEvent(manager.logger, { kind: "stopping", signal: event.signal });
                        subscription.unsubscribe();
                        void (runningTick ?? Promise.resolve()).then(resolve);
                        return;
                }
            }),
            error: reject,
            complete: () => resolve(),
        });
    });

/**
 * Renews or takes the lease and, as the active manager, reads the fleet state, the registrations and the VM list, polls
 * the entries and executes a plan. A failure ends the tick; the next tick continues with the in-memory state as it is.
 */
const tick = async (manager: ManagerContext): Promise<void> => {
    try {
        const lease = await renewOrTakeLease(manager);
        if (lease !== undefined) {
            await refreshTables(manager);
            await pollEntries(manager);
            await runPlan(manager, lease);
            manager.tables.lastTickAtMs = Date.now();
        }
        updatePlatformStatus(manager, undefined);
    } catch (error) {
        updatePlatformStatus(manager, error);
    }
};

const refreshTables = async ({ platform, tables }: ManagerContext): Promise<void> => {
    const head = await readHead(platform);
    if (head !== undefined && head.revision !== tables.state.revision) {
        tables.state = await readState(platform, head);
    }
    // Registrations are read after the state: an entry process registers before it reads the state, so a process that
    // is missing from the registrations reads the state later and finds every drain of `tables.state` in it.
    tables.registrations = await readRegistrations(platform);
    await refreshVms({ platform, tables });
};

const refreshVms = async ({ platform, tables }: Pick<ManagerContext, "platform" | "tables">): Promise<void> => {
    const startedAtMs = monotonicUnixMs();
    const listing = await readVms(platform, { etag: tables.vmListEtag });
    tables.listReadAtMs = startedAtMs;
    if (listing.kind === "list") {
        tables.vms = listing.vms;
        tables.vmListEtag = listing.etag;
    }
};

const updatePlatformStatus = (manager: ManagerContext, error: unknown): void => {
    const { tables } = manager;
    if (error === undefined) {
        if (!tables.isPlatformAvailable) {
            logEvent(manager.logger, { kind: "platform-up", downMs: Date.now() - (tables.lastTickAtMs ?? Date.now()) });
        }
        tables.isPlatformAvailable = true;
    } else if (!(error instanceof FleetError)) {
        manager.reportError(error);
    } else if (tables.isPlatformAvailable) {
        tables.isPlatformAvailable = false;
        logEvent(manager.logger, { kind: "platform-down", operation: "tick", reason: error.message });
    }
};

// Lets a standby take the lease at once. Errors are ignored: a lease that is not released expires.
const releaseHeldLease = async (manager: ManagerContext): Promise<void> => {
    const { role } = manager.tables;
    if (role.kind === "active") {
        await releaseLease(manager.platform, { lease: role.lease }).catch(() => undefined);
    }
};
