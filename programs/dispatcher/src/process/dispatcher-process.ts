import { createServer } from "node:http";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { QueueMatch } from "@almondusher/jobs/configuration";
import { createAdviceClient } from "@almondusher/platform-adapter/advice-client";
import { createTableStore } from "@almondusher/platform-adapter/table-store";
import type { VmEvacuation } from "@almondusher/scheduler/pool-tables";
import { createBoundedOutput, type BoundedOutput } from "./bounded-output.js";
import { containErrors, createErrorReporter } from "./contain-errors.js";
import { createDecisionLog } from "./decision-log.js";
import type { DispatcherContext } from "./dispatcher-context.js";
import { createDispatcherMetrics } from "./dispatcher-metrics.js";
import type { DispatcherSettings } from "./dispatcher-settings.js";
import { guardClients } from "./guard-clients.js";
import { createEntryServer } from "../entry/entry-server.js";
import { createExecutorRegistry } from "../executors/executor-registry.js";
import { serveMetrics } from "./serve-metrics.js";
import { monitorLateness } from "./lateness-monitor.js";
import type { HeldLease } from "../leases/held-lease.js";
import { createLeaseManager, type LeaseHolder, type LeaseManager } from "../leases/lease-manager.js";
import { startFleetManager, type FleetManager } from "../fleet/fleet-manager.js";
import { emptyLeaseContent, leaseKey, type LeaseSubject } from "../leases/lease-rows.js";
import { followOperatorTable } from "../operator/operator-feed.js";
import { countPending } from "../entry/pending-count.js";
import { startPoolScheduler, type PoolScheduler } from "../pool/pool-scheduler.js";
import { withoutMarks } from "../executors/unread-executors.js";

const MAX_BUFFERED_LOG_CHARACTERS = 2_000_000;
const STDOUT_DESCRIPTOR = 1;
// A process that could not reach the store for this long reports itself as not ready, so that it gets no new
// connections.
const STORE_LOST_AFTER_MS = 2000;
const STORE_CHECK_INTERVAL_MS = 300;
const EXIT_FLUSH_TIMEOUT_MS = 300;
// Part of the grace period that is reserved for the exit itself.
const STOP_MARGIN_MS = 1000;

/** Runs a dispatcher until SIGTERM or SIGINT, then exits the process. */
export const runDispatcher = async (settings: DispatcherSettings): Promise<void> => {
    const output = createBoundedOutput({ descriptor: STDOUT_DESCRIPTOR, maxBuffered: MAX_BUFFERED_LOG_CHARACTERS });
    const context = createContext(settings, output);
    // Signal handlers are installed before anything is served, so that an early stop is graceful as well.
    const stopSignal = new Promise<string>(resolve => {
        process.once("SIGTERM", () => resolve("SIGTERM"));
        process.once("SIGINT", () => resolve("SIGINT"));
    });
    process.on("SIGHUP", () =>
        context.log("settings-reload", {
            outcome: "ignored: settings are read only at startup; restart the process to apply changes",
        }),
    );
    process.on("uncaughtException", createErrorReporter({ context, part: "process" }));
    context.log("started", { settings });
    monitorLateness({ context });
    const operator = followOperatorTable(context);
    const registry = createExecutorRegistry(context);
    const advice = settings.adviceAddress === "" ? undefined : createAdviceClient(settings.adviceAddress);
    const services = new Map<string, LeaseService>();
    const leases: LeaseManager = createLeaseManager({
        context,
        subjects: () => leaseSubjectsOf(operator.configuration()?.pools),
        holder: createLeaseHolder(services, lease => {
            const requestRenewal = (): void => void leases.renew(lease);
            switch (lease.subject.kind) {
                case "fleet":
                    return startFleetManager({ context, lease, operator, leases, requestRenewal });
                case "pool":
                    return withEvacuations(
                        startPoolScheduler({
                            context,
                            pool: lease.subject.pool,
                            lease,
                            registry,
                            operator,
                            advice,
                            division: () => leases.lastRecord({ kind: "fleet" })?.allowances,
                            requestRenewal,
                        }),
                        readEvacuations(context, leases),
                    );
            }
        }),
    });
    leases.events.on(
        "change",
        containErrors({ context, part: "evacuations" }, () => forwardEvacuations(context, leases, services)),
    );
    const entryServer = createEntryServer({
        context,
        operator,
        countPending: ({ queue }: QueueMatch) =>
            countPending({ context, published: leases.lastRecord({ kind: "pool", pool: queue.pool }), queue }),
    });
    let stopped = false;
    const isReady = trackReadiness(context, () => !stopped && operator.configuration() !== undefined);
    const readinessServer = createServer();
    const readinessGuard = guardClients(readinessServer, { context, listener: "readiness" });
    readinessServer.on(
        "request",
        readinessGuard.inTurn((unusedRequest, response) => {
            response.statusCode = isReady() ? 200 : 503;
            response.end();
        }),
    );
    listen(entryServer, settings.entryAddress);
    listen(readinessServer, settings.readyAddress);
    if (settings.metricsAddress !== undefined) {
        const { host, port } = parseAddress(settings.metricsAddress);
        serveMetrics(context, host, port);
    }
    const signal = await stopSignal;
    stopped = true;
    context.log("stopping", { signal });
    const graceMs = settings.stopGraceSeconds * 1000 - STOP_MARGIN_MS;
    await Promise.race([
        (async () => {
            await leases.close();
            entryServer.closeIdleConnections();
            await new Promise(resolve => entryServer.close(resolve));
        })(),
        new Promise(resolve => setTimeout(resolve, graceMs)),
    ]);
    context.log("stopped");
    await output.flush(EXIT_FLUSH_TIMEOUT_MS);
    process.exit(0);
};

const createContext = (settings: DispatcherSettings, output: BoundedOutput): DispatcherContext => {
    const vm = settings.vm as VmId;
    const processId = `${settings.vm}/${Math.floor(Math.random() * 2 ** 40).toString(36)}` as ProcessId;
    const monotonicMs = (): number => performance.now();
    return {
        settings,
        vm,
        process: processId,
        monotonicMs,
        metrics: createDispatcherMetrics({ log_lines_dropped: output.dropped }),
        store: createTableStore({ address: settings.storeAddress, monotonicMs: monotonicMs }),
        log: createDecisionLog({ vm, process: processId, output }),
    };
};

const leaseSubjectsOf = (
    pools: readonly { readonly name: PoolName; readonly spare: boolean }[] | undefined,
): readonly LeaseSubject[] =>
    pools === undefined
        ? []
        : [
              ...pools.filter(({ spare }) => !spare).map(({ name }): LeaseSubject => ({ kind: "pool", pool: name })),
              { kind: "fleet" },
          ];

/** A service that runs while its lease is held. */
type LeaseService = PoolScheduler | FleetManager;

const createLeaseHolder = (
    services: Map<string, LeaseService>,
    start: (lease: HeldLease) => LeaseService,
): LeaseHolder => ({
    begin: lease => void services.set(leaseKey(lease.subject), start(lease)),
    end: async lease => {
        const key = leaseKey(lease.subject);
        const service = services.get(key);
        services.delete(key);
        await service?.stop();
    },
    content: lease =>
        services.get(leaseKey(lease.subject))?.leaseContent() ?? {
            ...(lease.predecessor ?? emptyLeaseContent),
            executors: withoutMarks(lease.predecessor?.executors ?? []),
            inheritedRunsUntilMs: lease.inheritedRunsUntilMs,
        },
    renewed: (lease, content) => {
        const service = services.get(leaseKey(lease.subject));
        if (service?.kind === "pool") {
            service.onLeaseRenewed(content);
        }
    },
    isStuck: lease => {
        const service = services.get(leaseKey(lease.subject));
        return service?.kind === "pool" && service.isStuck();
    },
});

// Passes the VMs to evacuate to the pool schedulers of this process.
const forwardEvacuations = (
    context: DispatcherContext,
    leases: LeaseManager,
    services: ReadonlyMap<string, LeaseService>,
): void => {
    const evacuations = readEvacuations(context, leases);
    services.forEach(service => {
        if (service.kind === "pool") {
            service.setEvacuations(evacuations);
        }
    });
};

// A scheduler that starts knows the evacuations before it starts any run.
const withEvacuations = (scheduler: PoolScheduler, evacuations: ReadonlyMap<VmId, VmEvacuation>): PoolScheduler => {
    scheduler.setEvacuations(evacuations);
    return scheduler;
};

// The fleet manager stores the VMs to evacuate in its lease, which every process reads.
const readEvacuations = (context: DispatcherContext, leases: LeaseManager): ReadonlyMap<VmId, VmEvacuation> => {
    const evacuations = leases.lastRecord({ kind: "fleet" })?.evacuations ?? [];
    const offsetMs = context.store.nowMs() - context.monotonicMs();
    return new Map(evacuations.map(({ vm, id, byMs }) => [vm, { id, byMs: byMs - offsetMs }]));
};

const trackReadiness = (context: DispatcherContext, isServing: () => boolean): (() => boolean) => {
    let lastSuccessAtMs = context.monotonicMs();
    let lastCalls = { ...context.store.calls };
    let reachable = true;
    setInterval(() => {
        const { writes, reads, failures } = context.store.calls;
        const succeeded = writes + reads - lastCalls.writes - lastCalls.reads > failures - lastCalls.failures;
        lastCalls = { ...context.store.calls };
        const nowMs = context.monotonicMs();
        lastSuccessAtMs = succeeded ? nowMs : lastSuccessAtMs;
        const isReachable = nowMs - lastSuccessAtMs < STORE_LOST_AFTER_MS;
        if (isReachable !== reachable) {
            reachable = isReachable;
            context.log(isReachable ? "store-regained" : "store-lost", {
                silentMs: Math.round(nowMs - lastSuccessAtMs),
            });
        }
    }, STORE_CHECK_INTERVAL_MS).unref();
    return () => isServing() && reachable;
};

const parseAddress = (address: string): { readonly host: string; readonly port: number } => {
    const [host = "", port = "0"] = address.split(":");
    return { host, port: Number(port) };
};

const listen = (server: ReturnType<typeof createServer>, address: string): void => {
    const { host, port } = parseAddress(address);
    server.listen(port, host);
};
