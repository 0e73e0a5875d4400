import { type EntityTable, entityTable } from "@almondusher/fleet/entity-table";
import type { DataCentreName, ProcessId, VmId } from "@almondusher/fleet/ids";

/** Another entry process that has answered an exchange. */
export interface Peer {
    readonly vmId: VmId;
    readonly processId: ProcessId;
    readonly peerUrl: string;
    readonly dataCentre: DataCentreName;
    readonly revision: number;
    /** False until the process has written its registration to the platform. */
    readonly registered: boolean;
    /** Age of the peer's copy of the platform's VM list when it answered, in milliseconds. */
    readonly vmListAgeMs: number;
}

/** A peer and when it was last heard from directly, in milliseconds of the monotonic clock. */
export interface HeardPeer extends Peer {
    readonly heardAtMs: number;
}

/** A URL to exchange with, and since when it has not answered. */
interface Contact {
    readonly url: string;
    /** Configured contacts are never dropped. */
    readonly configured: boolean;
    readonly failingSinceMs?: number;
}

/** The live peers of a process and the URLs that it tries. */
export interface Membership {
    readonly peers: EntityTable<VmId, HeardPeer>;
    readonly contacts: EntityTable<string, Contact>;
}

/** What changed in the membership. */
export type MembershipEvent =
    | { readonly kind: "joined"; readonly peer: Peer }
    | { readonly kind: "restarted"; readonly peer: Peer }
    | { readonly kind: "left"; readonly peer: Peer };

/** A membership after a step, with what changed. */
export interface MembershipStep {
    readonly membership: Membership;
    readonly events: readonly MembershipEvent[];
}

export interface MembershipTimes {
    readonly nowMs: number;
    /** A peer not heard from for this long has left. */
    readonly peerTimeoutMs: number;
    /** A learned contact that has failed for this long is dropped. */
    readonly contactRetentionMs: number;
}

const peerTable = (peers: readonly HeardPeer[]) => entityTable(peers, peer => peer.vmId);
const contactTable = (contacts: readonly Contact[]) => entityTable(contacts, contact => contact.url);

/** A membership that knows only the configured contacts. */
export const initialMembership = (urls: readonly string[]): Membership => ({
    peers: peerTable([]),
    contacts: contactTable(urls.map(url => ({ url, configured: true }))),
});

/** Adds URLs learned from the platform or from peers; known ones stay as they are. */
export const addContacts = (membership: Membership, urls: readonly string[]): Membership => {
    const learned = urls.filter(url => !membership.contacts.has(url)).map(url => ({ url, configured: false }));
    return learned.length === 0
        ? membership
        : { ...membership, contacts: contactTable([...membership.contacts.rows, ...learned]) };
};

/** Records a direct answer of a peer at the given URL. */
export const hearPeer = (membership: Membership, url: string, peer: Peer, nowMs: number): MembershipStep => {
    const known = membership.peers.get(peer.vmId);
    const contact: Contact = { url, configured: membership.contacts.get(url)?.configured ?? false };
    const next: Membership = {
        peers: peerTable([...membership.peers.rows, { ...peer, heardAtMs: nowMs }]),
        contacts: contactTable([...membership.contacts.rows, contact]),
    };
    if (known === undefined) {
        return { membership: next, events: [{ kind: "joined", peer }] };
    }
    return { membership: next, events: known.processId === peer.processId ? [] : [{ kind: "restarted", peer }] };
};

/** Records that a URL did not answer. */
export const missPeer = (membership: Membership, url: string, nowMs: number): Membership => {
    const contact = membership.contacts.get(url);
    return contact === undefined || contact.failingSinceMs !== undefined
        ? membership
        : {
              ...membership,
              contacts: contactTable([...membership.contacts.rows, { ...contact, failingSinceMs: nowMs }]),
          };
};

const isStale = (contact: Contact, { nowMs, contactRetentionMs }: MembershipTimes): boolean =>
    !contact.configured && contact.failingSinceMs !== undefined && nowMs - contact.failingSinceMs > contactRetentionMs;

/** Removes peers that were silent for too long and learned contacts that keep failing. */
export const expirePeers = (membership: Membership, times: MembershipTimes): MembershipStep => {
    const left = membership.peers.rows.filter(peer => times.nowMs - peer.heardAtMs > times.peerTimeoutMs);
    const stale = membership.contacts.rows.filter(contact => isStale(contact, times));
    if (left.length === 0 && stale.length === 0) {
        return { membership, events: [] };
    }
    return {
        membership: {
            peers: peerTable(membership.peers.rows.filter(peer => !left.includes(peer))),
            contacts: contactTable(membership.contacts.rows.filter(contact => !stale.includes(contact))),
        },
        events: left.map(peer => ({ kind: "left", peer })),
    };
};
