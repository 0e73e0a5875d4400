import { readHead, readState } from "@almondusher/platform/read-state";
import { readRegistrations, registerEntry } from "@almondusher/platform/registrations";
import { readVms } from "@almondusher/platform/vm-list";
import { addContacts } from "@almondusher/peer/membership";
import { logEvent } from "@almondusher/telemetry/logger";
import { adoptState, adoptVmList, recordUnchangedVmList } from "./adopt-state.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";

const recordPlatformStatus = (entry: EntryContext, operation: string, error: unknown): void => {
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
        recordPlatformStatus(entry, operation, undefined);
    } catch (error) {
        recordPlatformStatus(entry, operation, error);
    }
};

/** Registers this process once. Until then its peers report it as unregistered, and drains wait for it. */
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

/** Reads the head revision from the platform and adopts its state if it is newer. */
export const pollHead = (entry: EntryContext): Promise<void> =>
    callPlatform(entry, "read-head", async () => {
        const sentAtMs = monotonicMs();
        // Registers before reading the state: a drain waits only for processes that are registered, reported by a peer or
        // on a listed VM, so a drain that starts after the read might not wait for an unregistered entry.
        await registerSelf(entry);
        const head = await readHead(entry.platform);
        if (head === undefined) {
            entry.tables.hasState = true;
        } else if (head.revision > entry.tables.view.state.revision || !entry.tables.hasState) {
            adoptState(entry, await readState(entry.platform, head), "platform");
        }
        // Uses the send time: after the process was suspended, the response to an old call may have been buffered.
        entry.tables.platformContactAtMs = sentAtMs;
    });

/** Reads the VM list from the platform. */
export const pollVms = (entry: EntryContext): Promise<void> =>
    callPlatform(entry, "list-vms", async () => {
        const sentAtMs = monotonicMs();
        const listing = await readVms(entry.platform, { etag: entry.tables.vmListing.etag });
        switch (listing.kind) {
            case "unchanged":
                recordUnchangedVmList(entry, sentAtMs);
                return;
            case "list":
                adoptVmList(entry, {
                    vms: listing.vms,
                    listedAtMs: sentAtMs,
                    ...(listing.etag === undefined ? {} : { etag: listing.etag }),
                });
                return;
        }
    });

/** Reads the peer URLs of the registered entries from the platform and adds them to the contacts. */
export const pollContacts = (entry: EntryContext): Promise<void> =>
    callPlatform(entry, "read-registrations", async () => {
        const registrations = await readRegistrations(entry.platform);
        const urls = registrations.map(({ peerUrl }) => peerUrl).filter(url => url !== entry.peerUrl);
        entry.tables.membership = addContacts(entry.tables.membership, urls);
    });
