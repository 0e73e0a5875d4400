import { count, listCounters } from "@almondusher/telemetry/counters";
import { closeConnectionPool } from "@almondusher/exchange/connection-pool";
import { startPeerServer } from "@almondusher/peer/peer-server";
import { closePlatform } from "@almondusher/platform/create-platform";
import { loadSecret } from "@almondusher/settings/load-settings";
import { signalStream } from "@almondusher/telemetry/event-stream";
import { summarizeLatencies } from "@almondusher/telemetry/latencies";
import { logEvent } from "@almondusher/telemetry/logger";
import { startOperatorServer } from "@almondusher/telemetry/operator-server";
import { statusRoute } from "@almondusher/telemetry/status-report";
import { trafficRoute } from "@almondusher/telemetry/traffic-report";
import { startCallerServer } from "./caller-server.js";
import { createEntry, type EntryOptions } from "./create-entry.js";
import { entryStatus, startDumper } from "./entry-dump.js";
import { runEventLoop } from "./entry-events.js";
import { peerHandlers } from "./peer-handlers.js";
import { currentReadiness } from "./readiness.js";
import { VERSION } from "./version.js";

/** Runs an entry until it receives SIGTERM or SIGINT and all requests in flight have ended. */
export const runEntry = async ({ settings, settingsFile }: EntryOptions): Promise<void> => {
    const signals = signalStream(["SIGTERM", "SIGINT"]);
    const entry = await createEntry({ settings, settingsFile });
    process.on("uncaughtException", entry.reportError);
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
        routes: [trafficRoute(entry.trafficLog, entry.revisionUse), statusRoute(() => entryStatus(entry))],
        onError: entry.reportError,
    });
    const callerServer = await startCallerServer(entry);
    entry.tables.phase = "serving";
    logEvent(entry.logger, { kind: "started", version: VERSION, settingsFile });
    await runEventLoop(entry, callerServer, signals);
    await closeConnectionPool(entry.connections);
    await operatorServer.close();
    await peerServer.close();
    dumper.stop();
    entry.peerClients.close();
    await closePlatform(entry.platform);
    logEvent(entry.logger, { kind: "stopped", exitCode: 0 });
};
