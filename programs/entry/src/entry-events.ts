import { mergeArray, type Stream } from "most";
import { retrySettlements } from "@almondusher/platform/claims";
import { removeRegistration } from "@almondusher/platform/registrations";
import { count } from "@almondusher/telemetry/counters";
import { tickStream } from "@almondusher/telemetry/event-stream";
import { logEvent } from "@almondusher/telemetry/logger";
import type { CallerServer } from "./caller-server.js";
import type { EntryContext } from "./entry-context.js";
import type { EntrySettings } from "./entry-settings.js";
import { exchangeWithPeers, expireMembers } from "./exchange-peers.js";
import { refreshStandings } from "./place-request.js";
import { pollContacts, pollHead, pollVms } from "./poll-platform.js";
import { currentReadiness } from "./readiness.js";
import { expireGrants, reportDuePools } from "./share-slots.js";
import { startWaiting } from "./serve-request.js";
import { watchAttempts } from "./watch-attempts.js";

const CONTACT_POLL_PERIODS = 10;
const SETTLE_PERIODS = 2;
const STOP_POLL_MS = 50;

/** What drives the entry; each event runs the systems that it concerns. */
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
        every(pollMs * CONTACT_POLL_PERIODS, "poll-contacts"),
        every(pollMs * SETTLE_PERIODS, "settle-claims"),
    ]);
};

/** Runs the systems on each event until the process has stopped. */
export const runEvents = async (
    entry: EntryContext,
    callerServer: CallerServer,
    signals: Stream<NodeJS.Signals>,
): Promise<void> => {
    const busy = new Set<string>();
    const once = (name: string, task: () => Promise<void>): void => {
        if (!busy.has(name)) {
            busy.add(name);
            void task().finally(() => busy.delete(name));
        }
    };
    const busyPeers = new Set<string>();
    await new Promise<void>((resolve, reject) => {
        const subscription = eventStream(entry.settings, signals).subscribe({
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
                    case "settle-claims":
                        once(event.kind, () => retrySettlements(entry.platform).then(() => undefined));
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
    watchAttempts(entry);
    expireGrants(entry);
    reportDuePools(entry);
    entry.tables.pools.forEach(pool => {
        refreshStandings(entry, pool);
        startWaiting(entry, pool);
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
