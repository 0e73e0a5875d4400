import { type EntityTable, entityTable } from "@almondusher/fleet/entity-table";
import type { DataCentreName, ProcessId, VmId } from "@almondusher/fleet/ids";

/** Another entry process, as it describes itself in its calls and responses. */
export interface Peer {
    readonly vmId: VmId;
    readonly processId: ProcessId;
    readonly peerUrl: string;
    readonly dataCentre: DataCentreName;
    /** Revision of the fleet state that the peer uses. */
    readonly revision: number;
    /** False until the process has written its registration to the platform. */
    readonly registered: boolean;
    /** Age of the peer's copy of the platform's VM list when it sent the message, in milliseconds. */
    readonly vmListAgeMs: number;
}

/** A peer from which a message came within the last `peerTimeoutMs`. */
export interface LivePeer extends Peer {
    /** When the last message came directly from the peer, in milliseconds of the monotonic clock. */
    readonly heardAtMs: number;
}

/** A URL to which this process sends heartbeats, whether or not a peer is known there. */
interface Contact {
    readonly url: string;
    /** True for a URL of the settings, which is never removed; false for a discovered one. */
    readonly configured: boolean;
    /** When the first of the consecutive failed calls was recorded, by the monotonic clock; absent after a success. */
    readonly failingSinceMs?: number;
}

/** The live peers of a process and the URLs at which it looks for peers. */
export interface Membership {
    readonly peers: EntityTable<VmId, LivePeer>;
    readonly contacts: EntityTable<string, Contact>;
}

/** A change of the set of live peers. `restarted` is another process on the same VM. */
export type MembershipEvent =
    | { readonly kind: "joined"; readonly peer: Peer }
    | { readonly kind: "restarted"; readonly peer: Peer }
    | { readonly kind: "left"; readonly peer: Peer };

/** The updated membership and what changed. */
export interface MembershipUpdate {
    readonly membership: Membership;
    readonly events: readonly MembershipEvent[];
}

export interface ExpiryOptions {
    readonly nowMs: number;
    /** A peer that has sent nothing for this long is removed. */
    readonly peerTimeoutMs: number;
    /** A discovered contact that has been failing for this long is removed. */
    readonly contactRetentionMs: number;
}

const peerTable = (peers: readonly LivePeer[]) => entityTable(peers, peer => peer.vmId);
const contactTable = (contacts: readonly Contact[]) => entityTable(contacts, contact => contact.url);

/** Creates a membership without peers and with the configured contacts. */
export const initialMembership = (urls: readonly string[]): Membership => ({
    peers: peerTable([]),
    contacts: contactTable(urls.map(url => ({ url, configured: true }))),
});

/** Adds URLs discovered through the platform or through peers; contacts that exist already are not changed. */
export const addContacts = (membership: Membership, urls: readonly string[]): Membership => {
    const discovered = urls.filter(url => !membership.contacts.has(url)).map(url => ({ url, configured: false }));
    return discovered.length === 0
        ? membership
        : { ...membership, contacts: contactTable([...membership.contacts.rows, ...discovered]) };
};

/** Records a call or a response that came directly from a peer with the given URL. */
export const recordPeerMessage = (membership: Membership, url: string, peer: Peer, nowMs: number): MembershipUpdate => {
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

/** Records that a call to a URL failed; the time of the first of consecutive failures is kept. */
export const recordContactFailure = (membership: Membership, url: string, nowMs: number): Membership => {
    const contact = membership.contacts.get(url);
    return contact === undefined || contact.failingSinceMs !== undefined
        ? membership
        : {
              ...membership,
              contacts: contactTable([...membership.contacts.rows, { ...contact, failingSinceMs: nowMs }]),
          };
};

const isExpiredContact = (contact: Contact, { nowMs, contactRetentionMs }: ExpiryOptions): boolean =>
    !contact.configured && contact.failingSinceMs !== undefined && nowMs - contact.failingSinceMs > contactRetentionMs;

/** Removes peers that have sent nothing for too long and discovered contacts that keep failing. */
export const removeExpired = (membership: Membership, times: ExpiryOptions): MembershipUpdate => {
    const left = membership.peers.rows.filter(peer => times.nowMs - peer.heardAtMs > times.peerTimeoutMs);
    const expired = membership.contacts.rows.filter(contact => isExpiredContact(contact, times));
    if (left.length === 0 && expired.length === 0) {
        return { membership, events: [] };
    }
    return {
        membership: {
            peers: peerTable(membership.peers.rows.filter(peer => !left.includes(peer))),
            contacts: contactTable(membership.contacts.rows.filter(contact => !expired.includes(contact))),
        },
        events: left.map(peer => ({ kind: "left", peer })),
    };
};
