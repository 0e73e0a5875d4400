import { createServer } from "node:http";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { QueueMatch } from "@almondusher/jobs/configuration";
import { createAdviceClient } from "@almondusher/platform-adapter/advice-client";
import { createTableStore } from "@almondusher/platform-adapter/table-store";
import { createBoundedOutput, type BoundedOutput } from "./bounded-output.js";
import { createDecisionLog } from "./decision-log.js";
import type { DispatcherContext } from "./dispatcher-context.js";
import { createDispatcherMetrics, serveMetrics } from "./dispatcher-metrics.js";
import type { DispatcherSettings } from "./dispatcher-settings.js";
import { createEntryServer } from "./entry-server.js";
import { createExecutorRegistry } from "./executor-registry.js";
import { keepLeases, type HeldLease, type LeaseHolder, type LeaseKeeper } from "./lease-keeper.js";
import { runFleet, type FleetRunner } from "./fleet-runner.js";
import { emptyLeaseContent, leaseKey, type LeaseSubject } from "./lease-rows.js";
import { followOperator } from "./operator-feed.js";
import { countPending } from "./pending-count.js";
import { runPool, type PoolRunner } from "./pool-runner.js";

const LOG_BUFFER_CHARACTERS = 2_000_000;
const STANDARD_OUTPUT = 1;
// A process that cannot reach the store for this long asks for no new connections.
const STORE_LOST_MS = 2000;
const STORE_CHECK_MS = 300;
const EXIT_FLUSH_MS = 300;
// Left of the grace time for the exit itself.
const STOP_MARGIN_MS = 1000;

/** Runs a dispatcher until SIGTERM. */
export const runDispatcher = async (settings: DispatcherSettings): Promise<void> => {
    const output = createBoundedOutput({ descriptor: STANDARD_OUTPUT, maxBuffered: LOG_BUFFER_CHARACTERS });
    const context = createContext(settings, output);
    // The signal is handled before anything is served, so that an early stop is a graceful one.
    const stopping = new Promise<string>(resolve => {
        process.once("SIGTERM", () => resolve("SIGTERM"));
        process.once("SIGINT", () => resolve("SIGINT"));
    });
    process.on("SIGHUP", () =>
        context.log("settings-reload", { outcome: "nothing in force depends on the file after the start" }),
    );
    process.on("uncaughtException", error => {
        context.metrics.count("internal_errors");
        context.log("internal-error", { reason: error.stack ?? error.message });
    });
    context.log("started", { settings });
    const operator = followOperator(context);
    const registry = createExecutorRegistry(context);
    const advice = settings.adviceAddress === "" ? undefined : createAdviceClient(settings.adviceAddress);
    const runners = new Map<string, LeaseRunner>();
    const keeper: LeaseKeeper = keepLeases({
        context,
        subjects: () => subjectsOf(operator.configuration()?.pools),
        holder: leaseHolder(runners, lease => {
            const renewSoon = (): void => void keeper.renewNow(lease);
            switch (lease.subject.kind) {
                case "fleet":
                    return runFleet({ context, lease, operator, keeper, renewSoon });
                case "pool":
                    return runPool({ context, pool: lease.subject.pool, lease, registry, operator, advice, renewSoon });
            }
        }),
    });
    keeper.events.on("change", () => forwardEvacuations(context, keeper, runners));
    const entry = createEntryServer({
        context,
        operator,
        countPending: (match: QueueMatch) => countPending(context, keeper, match),
    });
    let stopped = false;
    const isReady = trackReadiness(context, () => !stopped && operator.configuration() !== undefined);
    const ready = createServer((unusedRequest, response) => {
        response.statusCode = isReady() ? 200 : 503;
        response.end();
    });
    listen(entry, settings.entryAddress);
    listen(ready, settings.readyAddress);
    if (settings.metricsAddress !== undefined) {
        const { host, port } = parseAddress(settings.metricsAddress);
        serveMetrics(context.metrics, host, port);
    }
    const signal = await stopping;
    stopped = true;
    context.log("stopping", { signal });
    const graceMs = settings.stopGraceSeconds * 1000 - STOP_MARGIN_MS;
    await Promise.race([
        (async () => {
            await keeper.close();
            entry.closeIdleConnections();
            await new Promise(resolve => entry.close(resolve));
        })(),
        new Promise(resolve => setTimeout(resolve, graceMs)),
    ]);
    context.log("stopped");
    await output.flush(EXIT_FLUSH_MS);
    process.exit(0);
};

const createContext = (settings: DispatcherSettings, output: BoundedOutput): DispatcherContext => {
    const vm = settings.vm as VmId;
    const processId = `${settings.vm}/${Math.floor(Math.random() * 2 ** 40).toString(36)}` as ProcessId;
    const steadyMs = (): number => performance.now();
    return {
        settings,
        vm,
        process: processId,
        steadyMs,
        metrics: createDispatcherMetrics({ log_lines_dropped: output.dropped }),
        store: createTableStore({ address: settings.storeAddress, steadyMs }),
        log: createDecisionLog({ vm, process: processId, output }),
    };
};

const subjectsOf = (
    pools: readonly { readonly name: PoolName; readonly spare: boolean }[] | undefined,
): readonly LeaseSubject[] =>
    pools === undefined
        ? []
        : [
              ...pools.filter(({ spare }) => !spare).map(({ name }): LeaseSubject => ({ kind: "pool", pool: name })),
              { kind: "fleet" },
          ];

/** What runs while a lease is held. */
type LeaseRunner = PoolRunner | FleetRunner;

const leaseHolder = (runners: Map<string, LeaseRunner>, begin: (lease: HeldLease) => LeaseRunner): LeaseHolder => ({
    begin: lease => void runners.set(leaseKey(lease.subject), begin(lease)),
    end: async lease => {
        const key = leaseKey(lease.subject);
        const runner = runners.get(key);
        runners.delete(key);
        await runner?.stop();
    },
    content: lease => runners.get(leaseKey(lease.subject))?.content() ?? lease.predecessor ?? emptyLeaseContent,
    renewed: (lease, content) => {
        const runner = runners.get(leaseKey(lease.subject));
        if (runner?.kind === "pool") {
            runner.renewed(content);
        }
    },
});

// The fleet manager names the VMs to vacate in its lease, which every process reads.
const forwardEvacuations = (
    context: DispatcherContext,
    keeper: LeaseKeeper,
    runners: ReadonlyMap<string, LeaseRunner>,
): void => {
    const evacuations = keeper.last({ kind: "fleet" })?.evacuations ?? [];
    const offsetMs = context.store.nowMs() - context.steadyMs();
    const byVm = new Map(evacuations.map(({ vm, id, byMs }) => [vm, { id, byMs: byMs - offsetMs }]));
    runners.forEach(runner => {
        if (runner.kind === "pool") {
            runner.evacuate(byVm);
        }
    });
};

const trackReadiness = (context: DispatcherContext, isServing: () => boolean): (() => boolean) => {
    let answeredAtMs = context.steadyMs();
    let last = { ...context.store.calls };
    let reachable = true;
    setInterval(() => {
        const { writes, reads, failures } = context.store.calls;
        const succeeded = writes + reads - last.writes - last.reads > failures - last.failures;
        last = { ...context.store.calls };
        const nowMs = context.steadyMs();
        answeredAtMs = succeeded ? nowMs : answeredAtMs;
        const now = nowMs - answeredAtMs < STORE_LOST_MS;
        if (now !== reachable) {
            reachable = now;
            context.log(now ? "store-regained" : "store-lost", { silentMs: Math.round(nowMs - answeredAtMs) });
        }
    }, STORE_CHECK_MS).unref();
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
