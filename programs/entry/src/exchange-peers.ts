import { z } from "zod";
import type { VmId } from "@almondusher/fleet/ids";
import { parseSnapshot } from "@almondusher/fleet/fleet-state";
import { vmSchema } from "@almondusher/fleet/vm";
import {
    addContacts,
    removeExpired,
    recordPeerMessage,
    type MembershipEvent,
    type MembershipUpdate,
    recordContactFailure,
    type Peer,
} from "@almondusher/peer/membership";
import { memberFields, readMember, readMembers } from "@almondusher/peer/peer-schema";
import { logEvent } from "@almondusher/telemetry/logger";
import { adoptState, adoptVmList, recomputePartitions } from "./adopt-state.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";

const UNKNOWN_VM_LIST_AGE_MS = 0xffff_ffff;
// A VM list older than this many polling periods means that the platform does not respond to this process.
const STALE_VM_LIST_PERIODS = 2;

const vmListSchema = z.array(vmSchema);

/** Age of the VM list of this process, in milliseconds. */
export const vmListAgeMs = ({ tables }: EntryContext): number =>
    tables.vmListing.listedAtMs === undefined
        ? UNKNOWN_VM_LIST_AGE_MS
        : Math.min(UNKNOWN_VM_LIST_AGE_MS, Math.round(monotonicMs() - tables.vmListing.listedAtMs));

/** Returns the peer record of this process, which it sends with its calls and responses. */
export const selfPeer = (entry: EntryContext): Peer => ({
    vmId: entry.settings.vmId,
    processId: entry.processId,
    peerUrl: entry.peerUrl,
    dataCentre: entry.settings.dataCentre,
    revision: entry.tables.hasState ? entry.tables.view.state.revision : 0,
    registered: entry.tables.registered,
    vmListAgeMs: vmListAgeMs(entry),
});

const logMembership = (entry: EntryContext, event: MembershipEvent): void => {
    const { peer } = event;
    switch (event.kind) {
        case "joined":
        case "restarted":
            logEvent(entry.logger, { kind: "member-joined", member: peer.processId, memberVm: peer.vmId });
            return;
        case "left":
            logEvent(entry.logger, {
                kind: "member-left",
                member: peer.processId,
                memberVm: peer.vmId,
                reason: "no response within peerTimeoutMs",
            });
            return;
    }
};

const applyMembershipUpdate = (entry: EntryContext, update: MembershipUpdate): void => {
    entry.tables.membership = update.membership;
    update.events.forEach(event => logMembership(entry, event));
    if (update.events.length > 0) {
        recomputePartitions(entry);
    }
};

/** Removes peers without a response for `peerTimeoutMs`, and discovered URLs that failed for `contactRetentionMs`. */
export const expireMembers = (entry: EntryContext): void => {
    const { peerTimeoutMs, contactRetentionMs } = entry.settings.timing;
    applyMembershipUpdate(
        entry,
        removeExpired(entry.tables.membership, { nowMs: monotonicMs(), peerTimeoutMs, contactRetentionMs }),
    );
};

/** Starts an exchange with every known peer URL, except those with an exchange still running. */
export const exchangeWithPeers = (entry: EntryContext, urlsInExchange: Set<string>): void => {
    const urls = entry.tables.membership.contacts.rows
        .map(contact => contact.url)
        .filter(url => url !== entry.peerUrl && !urlsInExchange.has(url));
    urls.forEach(url => {
        urlsInExchange.add(url);
        void exchangeWithPeer(entry, url).finally(() => urlsInExchange.delete(url));
    });
};

const exchangeWithPeer = async (entry: EntryContext, url: string): Promise<void> => {
    const client = entry.peerClients.clientFor(url);
    const sentAtMs = monotonicMs();
    try {
        const response = await client.calls.exchange({ sender: memberFields(selfPeer(entry)) });
        const peer = readMember(response.responder);
        recordPeerResponse(entry, url, peer);
        const learnedUrls = readMembers(response.members).map(member => member.peerUrl);
        entry.tables.membership = addContacts(
            entry.tables.membership,
            learnedUrls.filter(other => other !== entry.peerUrl),
        );
        await fetchNewerSnapshot(entry, url, peer);
        if (peer.processId !== entry.processId) {
            // Uses the send time: after the process was suspended, the response to an old call may have been buffered.
            entry.tables.peerContactAtMs = Math.max(entry.tables.peerContactAtMs, sentAtMs);
        }
    } catch {
        entry.tables.membership = recordContactFailure(entry.tables.membership, url, monotonicMs());
        // The connection may be dead although new connections would work.
        client.disconnect();
    }
};

/** Updates the membership with a peer that has responded. */
const recordPeerResponse = (entry: EntryContext, url: string, peer: Peer): void => {
    if (peer.processId === entry.processId) {
        return;
    }
    applyMembershipUpdate(entry, recordPeerMessage(entry.tables.membership, url, peer, monotonicMs()));
    if (peer.registered && entry.tables.unregisteredPeers.get(peer.vmId)?.processId === peer.processId) {
        entry.tables.unregisteredPeers.delete(peer.vmId);
    }
};

const shouldFetchState = (entry: EntryContext, peer: Peer): boolean =>
    peer.revision > entry.tables.view.state.revision || (!entry.tables.hasState && peer.revision > 0);

const shouldFetchVmList = (entry: EntryContext, peer: Peer): boolean => {
    const age = vmListAgeMs(entry);
    return age > STALE_VM_LIST_PERIODS * entry.settings.timing.vmListMs && peer.vmListAgeMs < age / 2;
};

/** Fetches a snapshot from a peer that has a newer state or VM list. */
const fetchNewerSnapshot = async (entry: EntryContext, url: string, peer: Peer): Promise<void> => {
    if (entry.tables.isFetchingSnapshot || (!shouldFetchState(entry, peer) && !shouldFetchVmList(entry, peer))) {
        return;
    }
    // Fetches from one peer at a time: after an edit, all peers have the newer state at about the same time.
    entry.tables.isFetchingSnapshot = true;
    try {
        await fetchSnapshot(entry, url);
    } finally {
        entry.tables.isFetchingSnapshot = false;
    }
};

const fetchSnapshot = async (entry: EntryContext, url: string): Promise<void> => {
    const client = entry.peerClients.clientFor(url);
    const response = await client.calls.getSnapshot({ sender: memberFields(selfPeer(entry)) });
    if (response.vmListAgeMs < vmListAgeMs(entry)) {
        const vms = vmListSchema.parse(JSON.parse(response.vmList));
        adoptVmList(entry, { vms, listedAtMs: monotonicMs() - response.vmListAgeMs });
    }
    if (response.snapshot !== "") {
        adoptState(entry, parseSnapshot(response.snapshot), "peer");
    }
};

/** Returns the peers that fetched a snapshot from this process and are not known to have registered since. */
export const unregisteredPeers = (entry: EntryContext): readonly Peer[] => [...entry.tables.unregisteredPeers.values()];

/** Records a peer that fetches a snapshot from this process, if the peer is not registered yet; drains wait for it. */
export const trackUnregisteredPeer = (entry: EntryContext, peer: Peer): void => {
    if (!peer.registered) {
        const peers: Map<VmId, Peer> = entry.tables.unregisteredPeers;
        peers.set(peer.vmId, peer);
    }
};

/** Adds a calling peer to the contacts only; it becomes a member once it responds to a call of this process. */
export const addPeerContact = (entry: EntryContext, peer: Peer): void => {
    if (peer.processId !== entry.processId) {
        entry.tables.membership = addContacts(entry.tables.membership, [peer.peerUrl]);
    }
};
