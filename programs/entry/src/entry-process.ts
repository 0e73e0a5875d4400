import { randomBytes } from "node:crypto";
import { mergeArray, type Stream } from "most";
import { dumpAdmission } from "@almondusher/admission/demand";
import { closeConnections, createConnections, dumpConnections } from "@almondusher/exchange/connection-pool";
import { entityTable } from "@almondusher/fleet/entity-table";
import { emptyFleetState } from "@almondusher/fleet/fleet-state";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import { initialMembership } from "@almondusher/peer/membership";
import { createPeerClients } from "@almondusher/peer/peer-clients";
import { startPeerServer } from "@almondusher/peer/peer-server";
import { closePlatform, createPlatform } from "@almondusher/platform/create-platform";
import { removeRegistration } from "@almondusher/platform/registrations";
import { loadSecret } from "@almondusher/settings/load-settings";
import { createRendezvous } from "@almondusher/slots/rendezvous";
import { count, createCounters, listCounters } from "@almondusher/telemetry/counters";
import { signalStream, tickStream } from "@almondusher/telemetry/event-stream";
import { createLatencies, summarizeLatencies } from "@almondusher/telemetry/latencies";
import { createLogger, logEvent } from "@almondusher/telemetry/logger";
import { startOperatorServer } from "@almondusher/telemetry/operator-server";
import { startStateDumper } from "@almondusher/telemetry/state-dump";
import { type CallerServer, startCallerServer } from "./caller-server.js";
import { type EntryContext, type EntryTables, monotonicMs } from "./entry-context.js";
import type { EntrySettings } from "./entry-settings.js";
import { exchangeWithPeers, expireMembers, unregisteredPeers } from "./exchange-peers.js";
import { fleetView } from "./fleet-view.js";
import { peerHandlers } from "./peer-handlers.js";
import { pollContacts, pollHead, pollVms } from "./poll-platform.js";
import { readinessOf } from "./readiness.js";
import { startWaiting } from "./serve-request.js";
import { VERSION } from "./version.js";

const PROCESS_ID_BYTES = 6;
const CONTACT_POLL_PERIODS = 10;
const STOP_POLL_MS = 50;

/** What drives the entry; each event runs the systems that it concerns. */
type EntryEvent =
    | { readonly kind: "tick" }
    | { readonly kind: "exchange" }
    | { readonly kind: "poll-head" }
    | { readonly kind: "poll-vms" }
    | { readonly kind: "poll-contacts" }
    | { readonly kind: "signal"; readonly signal: NodeJS.Signals };

export interface EntryOptions {
    readonly settings: EntrySettings;
    readonly settingsFile: string;
}

/** Runs an entry until a signal stops it and every request in flight has ended. */
export const runEntry = async ({ settings, settingsFile }: EntryOptions): Promise<void> => {
    const entry = await createEntry({ settings, settingsFile });
    const operatorSecret = loadSecret(settingsFile, settings.operatorSecretFile);
    const peerServer = await startPeerServer({
        listen: settings.peerListen,
        secret: entry.peerSecret,
        handlers: peerHandlers(entry),
        onAccessFailure: failure => count(entry.counters, { name: `peer-${failure}` }),
        onBadMessage: () => count(entry.counters, { name: "peer-bad-messages" }),
    });
    entry.peerUrl = `http://${settings.peerListen.ip}:${peerServer.port}`;
    const dumper = startDumper(entry);
    const operatorServer = await startOperatorServer({
        listen: settings.operatorListen,
        secret: operatorSecret,
        counters: entry.counters,
        health: () => currentReadiness(entry),
        dump: () => dumper.dump(),
        metrics: () => ({
            counters: listCounters(entry.counters),
            latencies: summarizeLatencies(entry.latencies),
            gauges: [{ name: "requests-in-flight", labels: {}, value: entry.tables.requests.size }],
        }),
    });
    const callerServer = await startCallerServer(entry);
    entry.tables.phase = "serving";
    logEvent(entry.logger, { kind: "started", version: VERSION, settingsFile });
    await runEvents(entry, callerServer);
    await closeConnections(entry.connections);
    await operatorServer.close();
    await peerServer.close();
    dumper.stop();
    entry.peerClients.close();
    await closePlatform(entry.platform);
    logEvent(entry.logger, { kind: "stopped", exitCode: 0 });
};

const createEntry = async ({ settings, settingsFile }: EntryOptions): Promise<EntryContext> => {
    const processId = toId<ProcessId>(randomBytes(PROCESS_ID_BYTES).toString("hex"));
    const { timing } = settings;
    const peerSecret = loadSecret(settingsFile, settings.peerSecretFile);
    return {
        settings,
        peerSecret,
        processId,
        peerUrl: "",
        platform: createPlatform({ settings: settings.platform, settingsFile }),
        connections: createConnections({
            idleMs: timing.connectionIdleMs,
            maxAgeMs: timing.connectionAgeMs,
            nonIdempotentIdleMs: timing.nonIdempotentIdleMs,
            connectTimeoutMs: timing.connectTimeoutMs,
        }),
        peerClients: createPeerClients({ secret: peerSecret, timeoutMs: timing.peerTimeoutMs }),
        rendezvous: await createRendezvous(),
        counters: createCounters(),
        latencies: createLatencies(),
        logger: createLogger({
            program: "almondusher-entry",
            processId,
            vm: settings.vmId,
            level: settings.logLevel,
            secrets: [peerSecret],
        }),
        tables: createTables(settings),
    };
};

const createTables = (settings: EntrySettings): EntryTables => {
    const vms = entityTable<VmId, Vm>([], vm => vm.id);
    return {
        phase: "starting",
        view: fleetView({ state: emptyFleetState, vms, knownVms: vms }),
        hasState: false,
        listing: { vms, knownVms: vms },
        membership: initialMembership(settings.peers),
        unregisteredPeers: new Map(),
        registered: false,
        platformUp: true,
        platformContactAtMs: monotonicMs(),
        peerContactAtMs: monotonicMs(),
        ready: false,
        pools: new Map(),
        requests: new Map(),
        nextRequestNumber: 0,
    };
};

const startDumper = (entry: EntryContext) =>
    startStateDumper({
        program: "almondusher-entry",
        version: VERSION,
        processId: entry.processId,
        vm: entry.settings.vmId,
        revision: () => entry.tables.view.state.revision,
        sections: [
            { name: "readiness", read: () => ({ phase: entry.tables.phase, ...currentReadiness(entry) }) },
            { name: "registered", read: () => entry.tables.registered },
            { name: "peers", read: () => entry.tables.membership.peers.rows },
            { name: "contacts", read: () => entry.tables.membership.contacts.rows },
            { name: "unregisteredPeers", read: () => unregisteredPeers(entry) },
            { name: "vmList", read: () => entry.tables.listing.vms.rows },
            { name: "assignments", read: () => entry.tables.view.state.assignments.rows },
            { name: "pools", read: () => dumpPools(entry) },
            { name: "requests", read: () => dumpRequests(entry) },
            { name: "connections", read: () => dumpConnections(entry.connections) },
            { name: "platform", read: () => entry.platform.counts },
            { name: "counters", read: () => listCounters(entry.counters) },
        ],
    });

const dumpPools = (entry: EntryContext) =>
    [...entry.tables.pools.values()].map(pool => ({
        pool: pool.view.pool.name,
        vms: pool.view.vms.map(vm => vm.id),
        slots: Object.fromEntries(pool.ledger.allowed),
        inFlight: Object.fromEntries(pool.ledger.inFlight),
        admission: dumpAdmission(pool.admission),
    }));

const dumpRequests = (entry: EntryContext) =>
    [...entry.tables.requests.values()].map(({ request, phase, running, ended }) => ({
        id: request.id,
        route: request.route.name,
        phase,
        ageMs: Math.round(monotonicMs() - request.arrivedAtMs),
        vms: running.map(attempt => attempt.vm.id),
        ended,
    }));

const currentReadiness = (entry: EntryContext) => {
    const { tables, settings } = entry;
    return readinessOf({
        phase: tables.phase,
        hasState: tables.hasState,
        hasVmList: tables.listing.listedAtMs !== undefined,
        nowMs: monotonicMs(),
        lastContactMs: Math.max(tables.platformContactAtMs, tables.peerContactAtMs),
        isolationTimeoutMs: settings.timing.isolationTimeoutMs,
    });
};

const eventStream = (settings: EntrySettings): Stream<EntryEvent> => {
    const { tickMs, exchangeMs, pollMs, vmListMs } = settings.timing;
    const every = (periodMs: number, kind: Exclude<EntryEvent["kind"], "signal">): Stream<EntryEvent> =>
        tickStream(periodMs)
            .map((): EntryEvent => ({ kind }))
            .startWith({ kind });
    return mergeArray([
        signalStream(["SIGTERM", "SIGINT"]).map((signal): EntryEvent => ({ kind: "signal", signal })),
        every(tickMs, "tick"),
        every(exchangeMs, "exchange"),
        every(pollMs, "poll-head"),
        every(vmListMs, "poll-vms"),
        every(pollMs * CONTACT_POLL_PERIODS, "poll-contacts"),
    ]);
};

/** Runs the systems on each event until the process has stopped. */
const runEvents = async (entry: EntryContext, callerServer: CallerServer): Promise<void> => {
    const busy = new Set<string>();
    const once = (name: string, task: () => Promise<void>): void => {
        if (!busy.has(name)) {
            busy.add(name);
            void task().finally(() => busy.delete(name));
        }
    };
    const busyPeers = new Set<string>();
    await new Promise<void>((resolve, reject) => {
        const subscription = eventStream(entry.settings).subscribe({
            next: event => {
                switch (event.kind) {
                    case "tick":
                        runTick(entry);
                        return;
                    case "exchange":
                        exchangeWithPeers(entry, busyPeers);
                        return;
                    case "poll-head":
                        once(event.kind, () => pollHead(entry));
                        return;
                    case "poll-vms":
                        once(event.kind, () => pollVms(entry));
                        return;
                    case "poll-contacts":
                        once(event.kind, () => pollContacts(entry));
                        return;
                    case "signal":
                        if (entry.tables.phase === "serving") {
                            void stopServing(entry, callerServer, event.signal).then(() => {
                                subscription.unsubscribe();
                                resolve();
                            });
                        }
                        return;
                }
            },
            error: reject,
            complete: () => resolve(),
        });
    });
};

const runTick = (entry: EntryContext): void => {
    expireMembers(entry);
    entry.tables.pools.forEach(pool => startWaiting(entry, pool));
    updateReadiness(entry);
};

const updateReadiness = (entry: EntryContext): void => {
    const readiness = currentReadiness(entry);
    if (readiness.ready === entry.tables.ready) {
        return;
    }
    entry.tables.ready = readiness.ready;
    logEvent(
        entry.logger,
        readiness.ready
            ? { kind: "ready", revision: entry.tables.view.state.revision }
            : { kind: "not-ready", reason: readiness.reason },
    );
};

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/** Turns readiness off, waits for the balancer to move away, then for the requests in flight, however long they take. */
const stopServing = async (entry: EntryContext, callerServer: CallerServer, signal: string): Promise<void> => {
    const { tables, settings } = entry;
    logEvent(entry.logger, { kind: "stopping", signal, inFlight: tables.requests.size });
    tables.phase = "draining";
    await pause(settings.timing.stopGraceMs);
    const closed = callerServer.close();
    while (tables.requests.size > 0) {
        await pause(STOP_POLL_MS);
    }
    tables.phase = "closed";
    await closed;
    await unregister(entry);
};

// Without the removal, drains wait until the VM is off the platform's list or has a new process.
const unregister = async (entry: EntryContext): Promise<void> => {
    if (entry.tables.registered) {
        await removeRegistration(entry.platform, { vmId: entry.settings.vmId, processId: entry.processId }).catch(() =>
            count(entry.counters, { name: "failed-unregistrations" }),
        );
    }
};
