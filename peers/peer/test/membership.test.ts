import assert from "node:assert/strict";
import { test } from "node:test";
import { type DataCentreName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import {
    addContacts,
    removeExpired,
    recordPeerMessage,
    initialMembership,
    recordContactFailure,
    type Peer,
} from "../src/membership.js";

const URL = "http://127.0.0.1:9";
const TIMES = { peerTimeoutMs: 2000, contactRetentionMs: 10_000 };

const peerOf = (processId: string): Peer => ({
    vmId: toId<VmId>("entry-2"),
    processId: toId<ProcessId>(processId),
    peerUrl: URL,
    dataCentre: toId<DataCentreName>("vannes"),
    revision: 1,
    registered: true,
    vmListAgeMs: 0,
});

test("reports a peer as joined, as restarted when its process id changes, and as left after the timeout", () => {
    const joined = recordPeerMessage(initialMembership([]), URL, peerOf("a"), 0);
    const restarted = recordPeerMessage(joined.membership, URL, peerOf("b"), 100);
    const left = removeExpired(restarted.membership, { nowMs: 2101, ...TIMES });
    assert.deepEqual(
        [joined, restarted, left].flatMap(update => update.events.map(event => event.kind)),
        ["joined", "restarted", "left"],
    );
    assert.equal(left.membership.peers.rows.length, 0);
});

test("removes a discovered contact that keeps failing and keeps a configured one", () => {
    const known = addContacts(initialMembership(["http://127.0.0.1:1"]), [URL]);
    const failing = recordContactFailure(recordContactFailure(known, URL, 0), "http://127.0.0.1:1", 0);
    const after = removeExpired(failing, { nowMs: 10_001, ...TIMES }).membership;
    assert.deepEqual(
        after.contacts.rows.map(contact => contact.url),
        ["http://127.0.0.1:1"],
    );
});
