import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { ExecutorId } from "@almondusher/jobs/ids";
import type { Row, TableStore, Transaction, TransactionResult } from "@almondusher/platform-adapter/table-store";
import { initialRunNumbers } from "@almondusher/scheduler/run-numbers";
import { CANDIDATE_PART } from "../src/leases/candidate-rows.js";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createDispatcherMetrics } from "../src/process/dispatcher-metrics.js";
import { poolLeaseHeldAtMs, type HeldLease } from "../src/leases/held-lease.js";
import { createLeaseManager, type LeaseManager } from "../src/leases/lease-manager.js";
import {
    decodeLease,
    emptyLeaseContent,
    encodeLease,
    type LeaseContent,
    type LeaseRecord,
    leaseRow,
    type LeaseSubject,
} from "../src/leases/lease-rows.js";

const SUBJECT: LeaseSubject = { kind: "pool", pool: "pool-a" as PoolName };
const LEASE_KEY = "pool/pool-a";
const VM = "entry-1" as VmId;
const TIMEOUT_MS = 5000;
// Time limit of a call to the store that gets no answer several times in a row.
const CALL_TIMEOUT_MS = 2500;
// An absence is logged after 5 s, at the next of the checks, which are a second apart.
const ABSENCE_LOGGED_WITHIN_MS = 8000;
// Time for which another process may leave an available lease to others: a poll, and the longest precedence.
const LONGEST_PRECEDENCE_MS = 400 + 1200;
// The process that has given the lease up is the last one alive.
const STAND_ASIDE_WITHIN_MS = 8000;
// A lease whose acquisition is not noticed is taken over once it has not changed for 2 s.
const NOTICED_WITHIN_MS = 1500;

/** A store with one lease row; `answer` decides when and how a transaction that was carried out is answered. */
interface LeaseStore {
    readonly store: TableStore;
    readonly lease: () => LeaseRecord | undefined;
    /** The row as it is stored. */
    readonly text: () => string;
    readonly put: (record: LeaseRecord) => void;
    /** Stores a row that may be unreadable. */
    readonly putText: (value: string) => void;
    answer: (result: TransactionResult) => Promise<TransactionResult>;
    /** True if transactions are refused without being carried out. */
    busy: boolean;
}

const createLeaseStore = (): LeaseStore => {
    let version = 0;
    let row: Row | undefined;
    const commit = ({ expect, writes }: Transaction): TransactionResult => {
        if ((row?.version ?? 0) !== expect[0]?.version) {
            return { kind: "conflict", rows: row === undefined ? [] : [row] };
        }
        version++;
        row = { ...leaseRow(LEASE_KEY), version, value: writes[0]?.value ?? "", deleted: false };
        return { kind: "committed", version, nowMs: 0 };
    };
    const rowsAfter = (after: number) =>
        Promise.resolve({
            kind: "rows" as const,
            rows: row !== undefined && row.version > after ? [row] : [],
            version,
            nowMs: 0,
            truncated: false,
        });
    const transactOnLease = (transaction: Transaction): Promise<TransactionResult> =>
        leaseStore.busy
            ? Promise.resolve({ kind: "not-run", reason: "status 503" })
            : leaseStore.answer(commit(transaction));
    const leaseStore: LeaseStore = {
        answer: result => Promise.resolve(result),
        busy: false,
        put: record => leaseStore.putText(encodeLease(record)),
        putText: value => {
            version++;
            row = { ...leaseRow(LEASE_KEY), version, value, deleted: false };
        },
        lease: () => (row === undefined ? undefined : decodeLease(row.value)),
        text: () => row?.value ?? "",
        store: {
            // Rows of candidates are in the same table; they are accepted and not kept.
            transact: transaction =>
                transaction.expect.some(({ key }) => key === LEASE_KEY)
                    ? transactOnLease(transaction)
                    : Promise.resolve({ kind: "committed", version, nowMs: 0 }),
            read: () => rowsAfter(0),
            changes: ({ after }) => rowsAfter(after),
            nowMs: () => 0,
            calls: { writes: 0, reads: 0, failures: 0 },
        },
    };
    return leaseStore;
};

interface StartedManager {
    readonly manager: LeaseManager;
    readonly begun: readonly HeldLease[];
    readonly events: readonly string[];
    end: (lease: HeldLease) => Promise<void>;
    content: () => LeaseContent;
    isStuck: boolean;
}

const startManager = (context: TestContext, { store }: LeaseStore): StartedManager => {
    const begun: HeldLease[] = [];
    const events: string[] = [];
    const started: StartedManager = {
        begun,
        events,
        end: () => Promise.resolve(),
        content: () => emptyLeaseContent,
        isStuck: false,
        manager: createLeaseManager({
            context: {
                settings: { processorShare: 1, processorSpeed: 1.5, linkMbps: 100 } as DispatcherContext["settings"],
                vm: VM,
                process: `${VM}/1` as ProcessId,
                store,
                log: event => void events.push(event),
                metrics: createDispatcherMetrics(),
                monotonicMs: () => performance.now(),
            },
            subjects: () => [SUBJECT],
            holder: {
                begin: lease => void begun.push(lease),
                end: lease => started.end(lease),
                content: () => started.content(),
                renewed: () => undefined,
                isStuck: () => started.isStuck,
            },
        }),
    };
    context.after(() => started.manager.close());
    return started;
};

const waitUntil = async (what: string, check: () => boolean, timeoutMs = TIMEOUT_MS): Promise<void> => {
    const endMs = performance.now() + timeoutMs;
    while (!check()) {
        assert.ok(performance.now() < endMs, `${what}: not within ${timeoutMs} ms`);
        await sleep(5);
    }
};

/** Makes the store hold its answers until the returned function is called. */
const holdAnswers = (store: LeaseStore): (() => void) => {
    let open = (): void => undefined;
    const gate = new Promise<void>(resolve => (open = resolve));
    store.answer = result => gate.then(() => result);
    return () => {
        store.answer = result => Promise.resolve(result);
        open();
    };
};

test("a lease whose acquisition was applied but not answered must not stay idle until it expires", async context => {
    const store = createLeaseStore();
    store.answer = () => {
        store.answer = result => Promise.resolve(result);
        return Promise.resolve({ kind: "unknown", reason: "no answer" });
    };
    const { begun } = startManager(context, store);
    await waitUntil("the acquisition", () => store.lease() !== undefined);
    await waitUntil("the holder to begin", () => begun.length > 0, NOTICED_WITHIN_MS);
    assert.equal(begun[0]?.epoch, 1, "the lease was taken again");
});

test("a lease whose acquisition is answered during a planned stop is released", async context => {
    const store = createLeaseStore();
    const release = holdAnswers(store);
    const { manager, begun } = startManager(context, store);
    await waitUntil("the acquisition", () => store.lease() !== undefined);
    const closed = manager.close();
    release();
    await closed;
    assert.equal(begun.length, 0, "the holder began during the stop");
    assert.equal(store.lease()?.holder, undefined);
});

// The fleet manager orders the VMs of completed evacuations. The new holder of the pool does not know of them yet and may start
// runs there.
test("an acquisition withdraws the completed evacuations of the previous holder", async context => {
    const store = createLeaseStore();
    store.put({
        ...emptyLeaseContent,
        holder: undefined,
        process: undefined,
        epoch: 3,
        runNumbersUpTo: undefined,
        vacated: ["1-1"],
    });
    const release = holdAnswers(store);
    startManager(context, store);
    await waitUntil("the acquisition", () => store.lease()?.holder === VM);
    const vacated = store.lease()?.vacated;
    release();
    assert.deepEqual(vacated, []);
});

test("a planned stop during a renewal releases the lease", async context => {
    const store = createLeaseStore();
    const { manager, begun } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    const [lease] = begun;
    assert.ok(lease !== undefined);
    const release = holdAnswers(store);
    const renewed = manager.renew(lease);
    await sleep(0);
    const closed = manager.close();
    await sleep(20);
    release();
    await Promise.all([renewed, closed]);
    assert.equal(store.lease()?.holder, undefined);
});

test("a release that the store refuses or does not answer is sent again, and logged only if it took effect", async context => {
    const store = createLeaseStore();
    const { manager, begun, events } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    store.busy = true;
    const closed = manager.close();
    await sleep(150);
    assert.ok(!events.includes("lease-given-up"), "logged before it took effect");
    store.answer = () => {
        store.answer = result => Promise.resolve(result);
        return Promise.resolve({ kind: "unknown", reason: "no answer" });
    };
    store.busy = false;
    await closed;
    assert.equal(store.lease()?.holder, undefined);
    assert.ok(events.includes("lease-given-up"));
});

test("a lease is not marked as lost while its holder stores its last results before a planned stop", async context => {
    const store = createLeaseStore();
    const started = startManager(context, store);
    await waitUntil("the holder to begin", () => started.begun.length > 0);
    const lost: boolean[] = [];
    started.end = async lease => {
        await sleep(20);
        lost.push(lease.lost);
    };
    await started.manager.close();
    assert.deepEqual(lost, [false]);
    assert.ok(started.begun[0]?.lost, "the lease counts as held after its release");
});

test("an unexpected error while the content of a lease is built fails one renewal and not those that follow", async context => {
    const store = createLeaseStore();
    const started = startManager(context, store);
    await waitUntil("the holder to begin", () => started.begun.length > 0);
    const [lease] = started.begun;
    assert.ok(lease !== undefined);
    started.content = () => {
        throw new Error("odd content");
    };
    assert.equal(await started.manager.renew(lease), false);
    started.content = () => emptyLeaseContent;
    assert.equal(await started.manager.renew(lease), true);
    assert.ok(started.events.includes("internal-error"));
});

// Its holder may be alive, and an executor rejects a token that is lower than one it has seen.
test("a lease whose row is unreadable is not taken before it has expired, nor with a token that may have been used", async context => {
    const nested = "[".repeat(100_000) + "]".repeat(100_000);
    for (const text of [nested, '{"holder":"entry-2","epoch":1e400}']) {
        const store = createLeaseStore();
        const holder = "entry-2" as VmId;
        [1, 2].forEach(epoch =>
            store.put({ ...emptyLeaseContent, holder, process: undefined, epoch, runNumbersUpTo: undefined }),
        );
        store.putText(text);
        const { begun } = startManager(context, store);
        await sleep(NOTICED_WITHIN_MS);
        assert.equal(begun.length, 0, "taken while its holder may act");
        await waitUntil("the holder to begin", () => begun.length > 0);
        assert.ok((begun[0]?.epoch ?? 0) > 2, `taken with token ${begun[0]?.epoch}`);
        assert.equal(begun[0]?.predecessorEnded, false);
    }
});

// A run that is given up after the pause may have been adopted by a successor.
test("a process that is paused while it checks its lease does not count the time after the pause as time with the lease", () => {
    const lease: HeldLease = {
        subject: SUBJECT,
        epoch: 1,
        runNumbers: initialRunNumbers(1),
        predecessor: undefined,
        predecessorEnded: true,
        unrenewedMs: 0,
        inheritedRunsUntilMs: 0,
        renewedAtMs: 1000,
        renewedWallMs: Date.now(),
        version: 1,
        lost: false,
    };
    const clock = (...times: number[]) => ({ monotonicMs: () => times.shift() ?? Number.NaN });
    assert.equal(poolLeaseHeldAtMs(lease, clock(1100, 1100)), 1100);
    assert.equal(poolLeaseHeldAtMs(lease, clock(1100, 21_100)), 1000, "held after a pause of 20 s");
});

const FIRST_NUMBER_OF_TOKEN_3 = 3 * 65_536;

test("a successor does not number its runs below those of a holder that started 70,000 under one token", async context => {
    const store = createLeaseStore();
    const runNumbersUpTo = FIRST_NUMBER_OF_TOKEN_3 + 70_000;
    store.put({ ...emptyLeaseContent, holder: undefined, process: undefined, epoch: 3, runNumbersUpTo });
    const { begun } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    const [lease] = begun;
    assert.ok(lease !== undefined);
    assert.ok(lease.epoch * 65_536 >= runNumbersUpTo, `numbers start at ${lease.epoch * 65_536}`);
    assert.ok(lease.runNumbers.last >= runNumbersUpTo);
    assert.ok((store.lease()?.runNumbersUpTo ?? 0) >= lease.runNumbers.reservedUpTo, "more reserved than stored");
});

test("a renewal without an answer reserves no run numbers for its holder, and none that was stored is dropped", async context => {
    const store = createLeaseStore();
    const { manager, begun } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    const [lease] = begun;
    assert.ok(lease !== undefined);
    const before = lease.runNumbers.reservedUpTo;
    store.answer = () => Promise.resolve({ kind: "unknown", reason: "no answer" });
    lease.runNumbers.last = before - 10;
    await manager.renew(lease);
    assert.equal(lease.runNumbers.reservedUpTo, before, "a reservation that is not known to be stored");
    store.answer = result => Promise.resolve(result);
    await waitUntil("a confirmed renewal", () => lease.runNumbers.reservedUpTo > before);
    assert.equal(store.lease()?.runNumbersUpTo, lease.runNumbers.reservedUpTo);
    const reserved = lease.runNumbers.reservedUpTo;
    await manager.close();
    assert.equal(store.lease()?.holder, undefined);
    assert.ok((store.lease()?.runNumbersUpTo ?? 0) >= reserved, "the released lease has lost the reservation");
});

test("a lease row of an earlier version, whose run numbers have no stored bound, is followed by higher ones", async context => {
    const store = createLeaseStore();
    store.put({
        ...emptyLeaseContent,
        holder: undefined,
        process: undefined,
        epoch: 3,
        runNumbersUpTo: undefined,
    });
    const { begun } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    assert.ok((begun[0]?.runNumbers.last ?? 0) > FIRST_NUMBER_OF_TOKEN_3 + 1e9);
    assert.ok(store.lease()?.runNumbersUpTo !== undefined);
});

test("a new holder stores the marks of its predecessor without the time for which it saw the row unchanged", async context => {
    const store = createLeaseStore();
    const executors = [{ id: "i-0" as ExecutorId, address: "127.0.0.1:1", earlierRunsForMs: 7000 }];
    const holder = "entry-2" as VmId;
    store.put({ ...emptyLeaseContent, executors, holder, process: undefined, epoch: 3, runNumbersUpTo: undefined });
    // The row of the acquisition: the first renewal, 500 ms later, has the executors of the new holder.
    let acquired: LeaseRecord | undefined;
    store.answer = result => {
        acquired ??= store.lease();
        return Promise.resolve(result);
    };
    const { begun } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    const stored = acquired?.executors[0]?.earlierRunsForMs ?? Number.NaN;
    assert.equal(stored, 7000 - (begun[0]?.unrenewedMs ?? 0));
    assert.ok(stored <= 5000, `${stored} ms after 2 s without a renewal`);
});

const LEASE_OF_ANOTHER_PROCESS: LeaseRecord = {
    ...emptyLeaseContent,
    holder: "entry-2" as VmId,
    process: "entry-2/1" as ProcessId,
    epoch: 1,
    runNumbersUpTo: undefined,
};

// Without a new holder the pool starts nothing. The rows of candidates only decide which process takes a lease first.
for (const unanswered of ["reads", "writes"] as const) {
    test(`a lease expires although ${unanswered} of the rows of candidates get no answer`, async context => {
        const leaseStore = createLeaseStore();
        leaseStore.put(LEASE_OF_ANOTHER_PROCESS);
        const { store } = leaseStore;
        const withoutAnswer = async <Result>(result: Result): Promise<Result> => {
            await sleep(CALL_TIMEOUT_MS);
            return result;
        };
        const silentForCandidates: TableStore = {
            ...store,
            read: range =>
                range.part === CANDIDATE_PART && unanswered === "reads"
                    ? withoutAnswer({ kind: "failed", reason: "no answer", unanswered: true })
                    : store.read(range),
            transact: transaction =>
                transaction.expect.some(({ part }) => part === CANDIDATE_PART) && unanswered === "writes"
                    ? withoutAnswer({ kind: "unknown", reason: "no answer" })
                    : store.transact(transaction),
        };
        const { begun } = startManager(context, { ...leaseStore, store: silentForCandidates });
        await waitUntil("the takeover", () => begun.length > 0);
    });
}

// Its holder stopped acting after 6 s, while each of these renewals kept the others from taking the lease over.
test("a holder whose renewals are stored, but answered only when they conflict, knows that it holds the lease", async context => {
    const store = createLeaseStore();
    const { begun } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    const [lease] = begun;
    assert.ok(lease !== undefined);
    const sentAtMs = new Map<string, number>();
    store.answer = result => {
        sentAtMs.set(store.text(), sentAtMs.get(store.text()) ?? performance.now());
        return Promise.resolve(result.kind === "committed" ? { kind: "unknown", reason: "no answer" } : result);
    };
    const before = lease.renewedAtMs;
    await waitUntil("a renewal that counts as confirmed", () => lease.renewedAtMs > before);
    const storedAtMs = sentAtMs.get(store.text());
    assert.ok(storedAtMs !== undefined && lease.renewedAtMs <= storedAtMs, "later than the stored renewal was sent");
});

test("a stored renewal counts from when the first one with its content was sent", async context => {
    const store = createLeaseStore();
    const { manager, begun } = startManager(context, store);
    await waitUntil("the holder to begin", () => begun.length > 0);
    const [lease] = begun;
    assert.ok(lease !== undefined);
    await manager.renew(lease);
    const before = lease.renewedAtMs;
    store.busy = true;
    await manager.renew(lease);
    const firstSentByMs = performance.now();
    store.busy = false;
    store.answer = () => Promise.resolve({ kind: "unknown", reason: "no answer" });
    await sleep(20);
    await manager.renew(lease);
    store.answer = result => Promise.resolve(result);
    assert.equal(await manager.renew(lease), false, "a renewal that conflicts stores nothing");
    assert.ok(lease.renewedAtMs > before, "the stored renewal is not recognised");
    assert.ok(lease.renewedAtMs <= firstSentByMs, "later than the first renewal with this content was sent");
});

test("a process that cannot take an expired lease logs that nobody holds it", async context => {
    const leaseStore = createLeaseStore();
    leaseStore.put(LEASE_OF_ANOTHER_PROCESS);
    leaseStore.busy = true;
    const { events } = startManager(context, leaseStore);
    await waitUntil("the line", () => events.includes("lease-without-holder"), ABSENCE_LOGGED_WITHIN_MS);
});

// Such a holder renewed the lease for ever, and nothing of the pool started.
test("a lease under which its holder cannot act is released, and taken again only if nobody else takes it", async context => {
    const leaseStore = createLeaseStore();
    const started = startManager(context, leaseStore);
    await waitUntil("the holder to begin", () => started.begun.length > 0);
    started.isStuck = true;
    await waitUntil("the release", () => leaseStore.lease()?.holder === undefined, NOTICED_WITHIN_MS);
    const releasedAtMs = performance.now();
    started.isStuck = false;
    await waitUntil("the lease to be taken again", () => started.begun.length > 1, STAND_ASIDE_WITHIN_MS);
    const untakenMs = performance.now() - releasedAtMs;
    assert.ok(untakenMs >= LONGEST_PRECEDENCE_MS, `taken again after ${untakenMs} ms`);
});

test("a stuck holder keeps its lease while the store does not answer its renewals", async context => {
    const leaseStore = createLeaseStore();
    const started = startManager(context, leaseStore);
    await waitUntil("the holder to begin", () => started.begun.length > 0);
    leaseStore.busy = true;
    started.isStuck = true;
    await sleep(NOTICED_WITHIN_MS);
    assert.equal(leaseStore.lease()?.holder, VM);
    assert.ok(!started.events.includes("lease-stuck"));
});
