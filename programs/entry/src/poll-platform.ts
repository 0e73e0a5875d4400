import { readHead, readState } from "@almondusher/platform/read-state";
import { readRegistrations, registerEntry } from "@almondusher/platform/registrations";
import { readVms } from "@almondusher/platform/vm-list";
import { addContacts } from "@almondusher/peer/membership";
import { logEvent } from "@almondusher/telemetry/logger";
import { adoptState, adoptVms, confirmVms } from "./adopt-state.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";

const reportPlatform = (entry: EntryContext, operation: string, error: unknown): void => {
    const { tables } = entry;
    if (error === undefined) {
        if (!tables.platformUp) {
            logEvent(entry.logger, { kind: "platform-up", downMs: monotonicMs() - tables.platformContactAtMs });
        }
        tables.platformUp = true;
    } else if (tables.platformUp) {
        tables.platformUp = false;
        const reason = error instanceof Error ? error.message : "unknown error";
        logEvent(entry.logger, { kind: "platform-down", operation, reason });
    }
};

const callPlatform = async (entry: EntryContext, operation: string, call: () => Promise<void>): Promise<void> => {
    try {
        await call();
        reportPlatform(entry, operation, undefined);
    } catch (error) {
        reportPlatform(entry, operation, error);
    }
};

/** Registers this process once; until then it counts as unregistered, and drains wait for it through its peers. */
const registerSelf = async (entry: EntryContext): Promise<void> => {
    if (entry.tables.registered) {
        return;
    }
    await registerEntry(entry.platform, {
        vmId: entry.settings.vmId,
        processId: entry.processId,
        peerUrl: entry.peerUrl,
        dataCentre: entry.settings.dataCentre,
        startedAt: new Date().toISOString(),
    });
    entry.tables.registered = true;
};

/** Learns the latest revision from the platform. */
export const pollHead = (entry: EntryContext): Promise<void> =>
    callPlatform(entry, "read-head", async () => {
        const askedAtMs = monotonicMs();
        // The registration goes first: an entry that reads the state before would miss a drain that skips it.
        await registerSelf(entry);
        const head = await readHead(entry.platform);
        if (head === undefined) {
            entry.tables.hasState = true;
        } else if (head.revision > entry.tables.view.state.revision || !entry.tables.hasState) {
            adoptState(entry, await readState(entry.platform, head), "platform");
        }
        // The time of the question counts: after a freeze the answer to an earlier one may be waiting.
        entry.tables.platformContactAtMs = askedAtMs;
    });

/** Learns the VM list from the platform. */
export const pollVms = (entry: EntryContext): Promise<void> =>
    callPlatform(entry, "list-vms", async () => {
        const sentAtMs = monotonicMs();
        const listing = await readVms(entry.platform, { etag: entry.tables.listing.etag });
        switch (listing.kind) {
            case "unchanged":
                confirmVms(entry, sentAtMs);
                return;
            case "list":
                adoptVms(entry, {
                    vms: listing.vms,
                    listedAtMs: sentAtMs,
                    ...(listing.etag === undefined ? {} : { etag: listing.etag }),
                });
                return;
        }
    });

/** Learns the peer URLs of the registered entries from the platform. */
export const pollContacts = (entry: EntryContext): Promise<void> =>
    callPlatform(entry, "read-registrations", async () => {
        const registrations = await readRegistrations(entry.platform);
        const urls = registrations.map(({ peerUrl }) => peerUrl).filter(url => url !== entry.peerUrl);
        entry.tables.membership = addContacts(entry.tables.membership, urls);
    });
