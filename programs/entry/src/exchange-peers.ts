import { z } from "zod";
import type { VmId } from "@almondusher/fleet/ids";
import { parseSnapshot } from "@almondusher/fleet/fleet-state";
import { vmSchema } from "@almondusher/fleet/vm";
import {
    addContacts,
    expirePeers,
    hearPeer,
    type MembershipEvent,
    type MembershipStep,
    missPeer,
    type Peer,
} from "@almondusher/peer/membership";
import { memberFields, readMember, readMembers } from "@almondusher/peer/peer-schema";
import { logEvent } from "@almondusher/telemetry/logger";
import { adoptState, adoptVms, refreshSlots } from "./adopt-state.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";

const UNKNOWN_AGE_MS = 0xffff_ffff;
// A list that is older than this many polling periods means that the platform does not answer this process.
const STALE_LIST_PERIODS = 2;

const vmListSchema = z.array(vmSchema);

/** Age of the VM list of this process, in milliseconds. */
export const vmListAgeMs = ({ tables }: EntryContext): number =>
    tables.listing.listedAtMs === undefined
        ? UNKNOWN_AGE_MS
        : Math.min(UNKNOWN_AGE_MS, Math.round(monotonicMs() - tables.listing.listedAtMs));

/** This process as its peers see it. */
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
                reason: "no answer",
            });
            return;
    }
};

const applyStep = (entry: EntryContext, step: MembershipStep): void => {
    entry.tables.membership = step.membership;
    step.events.forEach(event => logMembership(entry, event));
    if (step.events.length > 0) {
        refreshSlots(entry);
    }
};

/** Removes peers that have not answered for too long. */
export const expireMembers = (entry: EntryContext): void => {
    const { peerTimeoutMs, contactRetentionMs } = entry.settings.timing;
    applyStep(entry, expirePeers(entry.tables.membership, { nowMs: monotonicMs(), peerTimeoutMs, contactRetentionMs }));
};

/** Exchanges with every known peer URL once; calls that are still running are not repeated. */
export const exchangeWithPeers = (entry: EntryContext, busy: Set<string>): void => {
    const urls = entry.tables.membership.contacts.rows
        .map(contact => contact.url)
        .filter(url => url !== entry.peerUrl && !busy.has(url));
    urls.forEach(url => {
        busy.add(url);
        void exchangeWith(entry, url).finally(() => busy.delete(url));
    });
};

const exchangeWith = async (entry: EntryContext, url: string): Promise<void> => {
    const client = entry.peerClients.clientFor(url);
    const askedAtMs = monotonicMs();
    try {
        const answer = await client.calls.exchange({ sender: memberFields(selfPeer(entry)) });
        const peer = readMember(answer.responder);
        hear(entry, url, peer);
        const learned = readMembers(answer.members).map(member => member.peerUrl);
        entry.tables.membership = addContacts(
            entry.tables.membership,
            learned.filter(other => other !== entry.peerUrl),
        );
        await catchUp(entry, url, peer);
        if (peer.processId !== entry.processId) {
            // The time of the question counts: after a freeze the answer to an earlier one may be waiting.
            entry.tables.peerContactAtMs = Math.max(entry.tables.peerContactAtMs, askedAtMs);
        }
    } catch {
        entry.tables.membership = missPeer(entry.tables.membership, url, monotonicMs());
        // A connection may be silent for good while new ones work.
        client.reconnect();
    }
};

/** Records a peer that has answered, or that has called. */
const hear = (entry: EntryContext, url: string, peer: Peer): void => {
    if (peer.processId === entry.processId) {
        return;
    }
    applyStep(entry, hearPeer(entry.tables.membership, url, peer, monotonicMs()));
    if (peer.registered && entry.tables.unregisteredPeers.get(peer.vmId)?.processId === peer.processId) {
        entry.tables.unregisteredPeers.delete(peer.vmId);
    }
};

const needsState = (entry: EntryContext, peer: Peer): boolean =>
    peer.revision > entry.tables.view.state.revision || (!entry.tables.hasState && peer.revision > 0);

const needsVms = (entry: EntryContext, peer: Peer): boolean => {
    const age = vmListAgeMs(entry);
    return age > STALE_LIST_PERIODS * entry.settings.timing.vmListMs && peer.vmListAgeMs < age / 2;
};

/** Takes a newer state or VM list from a peer that has one. */
const catchUp = async (entry: EntryContext, url: string, peer: Peer): Promise<void> => {
    if (entry.tables.isCatchingUp || (!needsState(entry, peer) && !needsVms(entry, peer))) {
        return;
    }
    // One peer is enough; after an edit all of them have the newer state at about the same time.
    entry.tables.isCatchingUp = true;
    try {
        await takeSnapshot(entry, url);
    } finally {
        entry.tables.isCatchingUp = false;
    }
};

const takeSnapshot = async (entry: EntryContext, url: string): Promise<void> => {
    const client = entry.peerClients.clientFor(url);
    const answer = await client.calls.getSnapshot({ sender: memberFields(selfPeer(entry)) });
    if (answer.vmListAgeMs < vmListAgeMs(entry)) {
        const vms = vmListSchema.parse(JSON.parse(answer.vmList));
        adoptVms(entry, { vms, listedAtMs: monotonicMs() - answer.vmListAgeMs });
    }
    if (answer.snapshot !== "") {
        adoptState(entry, parseSnapshot(answer.snapshot), "peer");
    }
};

/** Peers that took their state from this process and are not known to be registered or gone. */
export const unregisteredPeers = (entry: EntryContext): readonly Peer[] => [...entry.tables.unregisteredPeers.values()];

/** Remembers a process that takes its state from this one before it is registered. */
export const rememberUnregistered = (entry: EntryContext, peer: Peer): void => {
    if (!peer.registered) {
        const peers: Map<VmId, Peer> = entry.tables.unregisteredPeers;
        peers.set(peer.vmId, peer);
    }
};

/** Records a call of a peer; only its own answers prove that it can be reached. */
export const noteCaller = (entry: EntryContext, peer: Peer): void => {
    if (peer.processId !== entry.processId) {
        entry.tables.membership = addContacts(entry.tables.membership, [peer.peerUrl]);
    }
};
