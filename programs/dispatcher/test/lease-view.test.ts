import assert from "node:assert/strict";
import { test } from "node:test";
import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { emptyLeaseContent, encodeLease, LEASE_TABLE, leaseRow } from "../src/leases/lease-rows.js";
import { createLeaseView, type LeaseView } from "../src/leases/lease-view.js";

type Reading = Awaited<ReturnType<TableStore["read"]>>;

const row = (key: string, version: number): Row => ({
    ...leaseRow(key),
    version,
    deleted: false,
    value: encodeLease({
        ...emptyLeaseContent,
        holder: undefined,
        process: undefined,
        epoch: version,
        runNumbersUpTo: undefined,
    }),
});

const rows = (version: number, changed: readonly Row[]): Reading => ({
    kind: "rows",
    rows: changed,
    version,
    nowMs: 0,
    truncated: false,
});

interface ScriptedStore {
    nowMs: number;
    reads: number;
    reading: Reading;
    changes: Reading;
    readonly followedFrom: number[];
}

const scripted = (): { readonly script: ScriptedStore; readonly view: LeaseView } => {
    const script: ScriptedStore = { nowMs: 0, reads: 0, reading: rows(0, []), changes: rows(0, []), followedFrom: [] };
    const view = createLeaseView({
        candidates: { observe: () => undefined, invalidate: () => undefined },
        monotonicMs: () => script.nowMs,
        store: {
            read: () => {
                script.reads++;
                return Promise.resolve(script.reading);
            },
            changes: ({ after }) => {
                script.followedFrom.push(after);
                return Promise.resolve(script.changes);
            },
        },
    });
    return { script, view };
};

test("a renewal resets the time for which a lease is unchanged, so that a live holder is not replaced", async () => {
    const { script, view } = scripted();
    script.reading = rows(5, [row("a", 5)]);
    script.changes = rows(5, []);
    assert.equal(await view.refresh(["a"]), "changed");
    script.nowMs = 400;
    assert.equal(await view.refresh(["a"]), "unchanged");
    assert.equal(view.observation("a")?.unchangedMs, 400);
    script.changes = rows(6, [row("a", 6)]);
    await view.refresh(["a"]);
    assert.equal(view.observation("a")?.unchangedMs, 0);
    assert.equal(script.reads, 1);
});

test("the time of a store outage does not count as time without a renewal", async () => {
    const { script, view } = scripted();
    script.reading = rows(5, [row("a", 5)]);
    script.changes = rows(5, []);
    await view.refresh(["a"]);
    script.changes = { kind: "failed", reason: "status 503" };
    script.nowMs = 3000;
    assert.equal(await view.refresh(["a"]), "failed");
    script.changes = rows(5, []);
    script.nowMs = 6000;
    await view.refresh(["a"]);
    assert.equal(view.observation("a")?.unchangedMs, 0);
});

test("leases are read again after the change history is lost, and a newly configured lease is read once", async () => {
    const { script, view } = scripted();
    script.reading = rows(5, [row("a", 5)]);
    script.changes = { kind: "history-lost" };
    assert.equal(await view.refresh(["a"]), "failed");
    script.changes = rows(9, [row("a", 9)]);
    await view.refresh(["a"]);
    assert.equal(script.reads, 2);
    script.reading = rows(9, []);
    await view.refresh(["a", "b"]);
    assert.equal(script.reads, 3);
    assert.equal(view.observation("a")?.version, 9);
    assert.equal(view.observation("b"), undefined);
});

test("an older row never replaces a newer one", () => {
    const { view } = scripted();
    view.observe([row("a", 7)]);
    view.observe([row("a", 6)]);
    assert.equal(view.observation("a")?.version, 7);
});

test("each lease has its own partition, so that renewals do not wait for each other", () => {
    const parts = ["fleet", "pool/a", "pool/b"].map(key => leaseRow(key));
    assert.equal(new Set(parts.map(({ part }) => part)).size, parts.length);
    assert.ok(parts.every(({ table }) => table === LEASE_TABLE));
});

// Between two polls of the leases, the rows of candidates and leases can exceed one answer.
test("a truncated list of changes does not make a lease look unchanged whose renewal it does not contain", async () => {
    const { script, view } = scripted();
    script.reading = rows(5, [row("a", 5), row("b", 5)]);
    script.changes = rows(5, []);
    await view.refresh(["a", "b"]);
    script.nowMs = 1000;
    script.changes = { ...rows(6, [row("b", 6)]), truncated: true } as Reading;
    assert.equal(await view.refresh(["a", "b"]), "changed");
    assert.equal(view.observation("a")?.unchangedMs, 0);
    assert.equal(view.observation("b")?.version, 6);
    script.nowMs = 1200;
    script.changes = rows(7, []);
    await view.refresh(["a", "b"]);
    assert.equal(view.observation("a")?.unchangedMs, 1200, "now all changes since the first read are known");
});

// At a start and after a loss of the history, each lease is read. If some answers are lost, they hardly ever all succeed.
test("leases that were read are not read again because the reading of another one failed", async () => {
    const keys = Array.from({ length: 20 }, (unused, index) => `pool/${index}`);
    const readsOf = new Map<string, number>();
    let calls = 0;
    const view = createLeaseView({
        candidates: { observe: () => undefined, invalidate: () => undefined },
        monotonicMs: () => 0,
        store: {
            read: ({ part }) => {
                if (calls++ % 2 === 0) {
                    return Promise.resolve({ kind: "failed", reason: "no answer within 900 ms", unanswered: true });
                }
                readsOf.set(part, (readsOf.get(part) ?? 0) + 1);
                const key = keys.find(candidate => leaseRow(candidate).part === part);
                return Promise.resolve(rows(4 + calls, key === undefined ? [] : [row(key, 4)]));
            },
            changes: ({ after }) => Promise.resolve(rows(after, [])),
        },
    });
    let refreshed = await view.refresh(keys);
    // Half of the remaining reads are answered each time.
    for (let polls = 1; polls < 6 && !keys.every(view.isFollowed); polls++) {
        refreshed = await view.refresh(keys);
    }
    assert.equal(refreshed, "changed");
    assert.deepEqual([...readsOf.values()], Array(keys.length).fill(1));
    assert.ok(keys.every(key => view.observation(key)?.version === 4));
});

test("changes are followed from the oldest of the reads, also if these are in several polls", async () => {
    const { script, view } = scripted();
    script.reading = rows(5, [row("a", 5)]);
    script.changes = { kind: "failed", reason: "status 503" };
    await view.refresh(["a"]);
    script.reading = { kind: "failed", reason: "status 503" };
    assert.equal(await view.refresh(["a", "b"]), "failed");
    script.reading = rows(8, [row("b", 8)]);
    await view.refresh(["a", "b"]);
    assert.deepEqual(script.followedFrom, [5, 5, 5]);
});

// Longer than the view waits for the reads of rows.
const MAX_WAIT_MS = 2000;

/** A view whose reads and changes are answered by hand. */
const deferred = () => {
    const answers = new Map<string, (reading: Reading) => void>();
    const calls: string[] = [];
    const answerOf = (call: string): Promise<Reading> => {
        calls.push(call);
        return new Promise(resolve => answers.set(call, resolve));
    };
    const view = createLeaseView({
        candidates: { observe: () => undefined, invalidate: () => undefined },
        monotonicMs: () => 0,
        store: {
            read: ({ part }) => answerOf(`read ${part}`),
            changes: ({ after }) => answerOf(`changes ${after}`),
        },
    });
    const answer = async (call: string, reading: Reading): Promise<void> => {
        const endMs = performance.now() + MAX_WAIT_MS;
        while (!answers.has(call) && performance.now() < endMs) {
            await new Promise(setImmediate);
        }
        assert.ok(answers.has(call), `no call "${call}" after ${calls.join()}`);
        answers.get(call)?.(reading);
        answers.delete(call);
    };
    return { view, calls, answer };
};

// A renewal between the two versions would be missed, and the lease taken from its live holder.
test("changes of a row that was read late are followed from its reading, not from the later changes of others", async () => {
    const { view, calls, answer } = deferred();
    const first = view.refresh(["a", "b"]);
    await answer("read lease/a", rows(5, [row("a", 5)]));
    await answer("changes 5", rows(20, []));
    assert.equal(await first, "changed");
    assert.deepEqual([view.isFollowed("a"), view.isFollowed("b")], [true, false]);
    const second = view.refresh(["a", "b"]);
    // Answered while changes are being read, which begin after this version.
    await answer("read lease/b", rows(8, [row("b", 8)]));
    await answer("changes 20", rows(30, []));
    await second;
    assert.equal(view.isFollowed("b"), false, "its changes from 8 to 20 were not read");
    const third = view.refresh(["a", "b"]);
    await answer("changes 8", rows(30, [row("b", 9)]));
    await third;
    assert.equal(view.isFollowed("b"), true);
    assert.equal(view.observation("b")?.version, 9);
    assert.deepEqual(calls, ["read lease/a", "read lease/b", "changes 5", "changes 20", "changes 8"]);
});

test("a lease is not followed before it was read, and one without a row is followed afterwards", async () => {
    const { script, view } = scripted();
    script.reading = { kind: "failed", reason: "no answer", unanswered: true };
    assert.equal(await view.refresh(["a"]), "failed");
    assert.equal(view.isFollowed("a"), false);
    script.reading = rows(5, []);
    await view.refresh(["a"]);
    assert.equal(view.isFollowed("a"), true);
    assert.equal(view.observation("a"), undefined);
});

test("a lease that cannot be read is followed from its next renewal on", async () => {
    const { script, view } = scripted();
    script.reading = rows(5, []);
    await view.refresh(["a"]);
    script.reading = { kind: "failed", reason: "no answer", unanswered: true };
    await view.refresh(["a", "b"]);
    assert.equal(view.isFollowed("b"), false);
    script.changes = rows(6, [row("b", 6)]);
    await view.refresh(["a", "b"]);
    assert.equal(view.isFollowed("b"), true);
    script.changes = rows(6, []);
    script.nowMs = 400;
    await view.refresh(["a", "b"]);
    assert.equal(view.observation("b")?.unchangedMs, 400);
    assert.equal(script.reads, 3, "read although it is followed");
});

test("a lease does not become older after a loss of the history until it was read again", async () => {
    const { script, view } = scripted();
    script.reading = rows(5, [row("a", 5)]);
    await view.refresh(["a"]);
    script.changes = { kind: "history-lost" };
    await view.refresh(["a"]);
    assert.equal(view.isFollowed("a"), false);
    script.reading = rows(9, []);
    script.changes = rows(9, []);
    script.nowMs = 400;
    await view.refresh(["b"]);
    assert.equal(view.observation("a")?.unchangedMs, 0);
});

/** A lease expires after 2 s; a scheduler whose predecessor has failed waits at most 10.6 s for that one's runs. */
const MAX_EXPIRY_MS = 10_600;
const IDLE_POLL_INTERVAL_MS = 400;
const LOST_ANSWER_MS = 900;

const knownRed = { todo: "KNOWN-RED.txt, issue 2" };
test("a lease that is not renewed expires for an idle process that loses every other answer", knownRed, async () => {
    const { script, view } = scripted();
    script.reading = rows(5, [row("a", 5)]);
    let polls = 0;
    while (script.nowMs < MAX_EXPIRY_MS) {
        const isLost = polls++ % 2 === 1;
        script.nowMs += isLost ? LOST_ANSWER_MS : 0;
        script.changes = isLost ? { kind: "failed", reason: "no answer", unanswered: true } : rows(5, []);
        await view.refresh(["a"]);
        script.nowMs += IDLE_POLL_INTERVAL_MS;
    }
    const unchangedMs = view.observation("a")?.unchangedMs ?? 0;
    assert.ok(unchangedMs >= 2000, `${unchangedMs} ms after ${script.nowMs} ms`);
});
