import { mergeArray, type Stream } from "most";
import { retrySettlements } from "@almondusher/platform/claims";
import { removeRegistration } from "@almondusher/platform/registrations";
import { count } from "@almondusher/telemetry/counters";
import { containErrors } from "@almondusher/telemetry/error-reporter";
import { tickStream } from "@almondusher/telemetry/event-stream";
import { logEvent } from "@almondusher/telemetry/logger";
import type { CallerServer } from "./caller-server.js";
import type { EntryContext } from "./entry-context.js";
import type { EntrySettings } from "./entry-settings.js";
import { exchangeWithPeers, expireMembers } from "./exchange-peers.js";
import { refreshVmHealth } from "./place-request.js";
import { pollContacts, pollHead, pollVms } from "./poll-platform.js";
import { currentReadiness } from "./readiness.js";
import { expireGrants, reportDuePools } from "./slot-grants.js";
import { startWaitingRequests } from "./serve-request.js";
import { watchAttempts } from "./watch-attempts.js";

const HEAD_POLLS_PER_CONTACT_POLL = 10;
const HEAD_POLLS_PER_CLAIM_SETTLEMENT = 2;
const STOP_POLL_MS = 50;

/** Event of the main loop of the entry. */
type EntryEvent =
    | { readonly kind: "tick" }
    | { readonly kind: "exchange" }
    | { readonly kind: "poll-head" }
    | { readonly kind: "poll-vms" }
    | { readonly kind: "poll-contacts" }
    | { readonly kind: "settle-claims" }
    | { readonly kind: "signal"; readonly signal: NodeJS.Signals };

const eventStream = (settings: EntrySettings, signals: Stream<NodeJS.Signals>): Stream<EntryEvent> => {
    const { tickMs, exchangeMs, pollMs, vmListMs } = settings.timing;
    const every = (periodMs: number, kind: Exclude<EntryEvent["kind"], "signal">): Stream<EntryEvent> =>
        tickStream(periodMs)
            .map((): EntryEvent => ({ kind }))
            .startWith({ kind });
    return mergeArray([
        signals.map((signal): EntryEvent => ({ kind: "signal", signal })),
        every(tickMs, "tick"),
        every(exchangeMs, "exchange"),
        every(pollMs, "poll-head"),
        every(vmListMs, "poll-vms"),
        every(pollMs * HEAD_POLLS_PER_CONTACT_POLL, "poll-contacts"),
        every(pollMs * HEAD_POLLS_PER_CLAIM_SETTLEMENT, "settle-claims"),
    ]);
};

/** Handles events until the process has shut down. */
export const runEventLoop = async (
    entry: EntryContext,
    callerServer: CallerServer,
    signals: Stream<NodeJS.Signals>,
): Promise<void> => {
    const running = new Set<string>();
    const runExclusively = (name: string, task: () => Promise<void>): void => {
        if (!running.has(name)) {
            running.add(name);
            void task()
                .catch(entry.reportError)
                .finally(() => running.delete(name));
        }
    };
    const urlsInExchange = new Set<string>();
    await new Promise<void>((resolve, reject) => {
        const subscription = eventStream(entry.settings, signals).subscribe({
            // An error in `next` would end the stream, and with it the process.
            next: containErrors(entry.reportError, (event: EntryEvent) => {
                switch (event.kind) {
                    case "tick":
                        runTick(entry);
                        return;
                    case "exchange":
                        exchangeWithPeers(entry, urlsInExchange);
                        return;
                    case "poll-head":
                        runExclusively(event.kind, () => pollHead(entry));
                        return;
                    case "poll-vms":
                        runExclusively(event.kind, () => pollVms(entry));
                        return;
                    case "poll-contacts":
                        runExclusively(event.kind, () => pollContacts(entry));
                        return;
                    case "settle-claims":
                        runExclusively(event.kind, () => retrySettlements(entry.platform).then(() => undefined));
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
            }),
            error: reject,
            complete: () => resolve(),
        });
    });
};

const runTick = (entry: EntryContext): void => {
    expireMembers(entry);
    watchAttempts(entry);
    expireGrants(entry);
    reportDuePools(entry);
    entry.tables.pools.forEach(pool => {
        refreshVmHealth(entry, pool);
        startWaitingRequests(entry, pool);
    });
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

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Reports the entry as not ready, waits for the load balancer to send traffic elsewhere, then waits without a time
 * limit for the requests in flight.
 */
const stopServing = async (entry: EntryContext, callerServer: CallerServer, signal: string): Promise<void> => {
    const { tables, settings } = entry;
    logEvent(entry.logger, { kind: "stopping", signal, inFlight: tables.requests.size });
    tables.phase = "draining";
    await sleep(settings.timing.stopGraceMs);
    const closed = callerServer.close();
    while (tables.requests.size > 0) {
        await sleep(STOP_POLL_MS);
    }
    tables.phase = "closed";
    await closed;
    await unregister(entry);
};

// If the registration remained, drains would wait for this process until the platform no longer lists its VM or a new
// process has registered for the VM.
const unregister = async (entry: EntryContext): Promise<void> => {
    if (entry.tables.registered) {
        await removeRegistration(entry.platform, { vmId: entry.settings.vmId, processId: entry.processId }).catch(() =>
            count(entry.counters, { name: "failed-unregistrations" }),
        );
    }
};
