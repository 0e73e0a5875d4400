import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Row, RowKey, TableStore } from "@almondusher/platform-adapter/table-store";
import { createDispatcherMetrics } from "../src/process/dispatcher-metrics.js";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { POOL_LEASE_DURATION_MS, type HeldLease } from "../src/leases/held-lease.js";
import { createLeaseManager } from "../src/leases/lease-manager.js";
import { emptyLeaseContent, encodeLease, leaseKey, leaseRow, type LeaseSubject } from "../src/leases/lease-rows.js";

// Each lease has a part of its own in the store, and the store may be unavailable in part.

const VM = "entry-1" as VmId;
const OTHER_VM = "entry-2" as VmId;
const SILENT: LeaseSubject = { kind: "pool", pool: "pool-a" as PoolName };
const ANSWERED: LeaseSubject = { kind: "pool", pool: "pool-b" as PoolName };
// Time limit of a call to the store that gets no answer several times in a row.
const CALL_TIMEOUT_MS = 2500;
// A lease expires 2 s after its last renewal, and is noticed at one of the next polls.
const TAKEN_WITHIN_MS = 6000;
const RENEWALS_OBSERVED_FOR_MS = 8000;

/** Calls for the part of the lease `SILENT` that get no answer. */
interface SilentCalls {
    reads: boolean;
    writes: boolean;
}

interface PartedStore {
    readonly store: TableStore;
    readonly silent: SilentCalls;
    readonly put: (subject: LeaseSubject, holder: VmId) => void;
}

const createPartedStore = (): PartedStore => {
    const stored = new Map<string, Row>();
    const silent: SilentCalls = { reads: false, writes: false };
    let version = 0;
    const put = (row: RowKey, value: string): void => {
        version++;
        stored.set(row.key, { ...row, version, value, deleted: false });
    };
    const rowsOf = (rows: readonly Row[]) => ({ kind: "rows" as const, rows, version, nowMs: 0, truncated: false });
    const isSilentPart = (part: string): boolean => part === leaseRow(leaseKey(SILENT)).part;
    return {
        silent,
        put: (subject, holder) =>
            put(
                leaseRow(leaseKey(subject)),
                encodeLease({
                    ...emptyLeaseContent,
                    holder,
                    process: `${holder}/1` as ProcessId,
                    epoch: 1,
                    runNumbersUpTo: undefined,
                }),
            ),
        store: {
            transact: async ({ expect, writes }) => {
                if (silent.writes && expect.some(({ part }) => isSilentPart(part))) {
                    await sleep(CALL_TIMEOUT_MS);
                    return { kind: "unknown", reason: "no answer" };
                }
                if (expect.some(row => (stored.get(row.key)?.version ?? 0) !== row.version)) {
                    return {
                        kind: "conflict",
                        rows: expect.map(({ key }) => stored.get(key)).filter(row => row !== undefined),
                    };
                }
                writes.forEach(({ value, ...row }) => put(row, value));
                return { kind: "committed", version, nowMs: 0 };
            },
            read: async ({ part }) => {
                if (silent.reads && isSilentPart(part)) {
                    await sleep(CALL_TIMEOUT_MS);
                    return { kind: "failed", reason: "no answer", unanswered: true };
                }
                return rowsOf([...stored.values()].filter(row => row.part === part));
            },
            changes: ({ after }) => Promise.resolve(rowsOf([...stored.values()].filter(row => row.version > after))),
            nowMs: () => 0,
            calls: { writes: 0, reads: 0, failures: 0 },
        },
    };
};

const startManager = (context: TestContext, { store }: PartedStore): readonly HeldLease[] => {
    const begun: HeldLease[] = [];
    const manager = createLeaseManager({
        context: {
            settings: { processorShare: 1, processorSpeed: 1.5, linkMbps: 100 } as DispatcherContext["settings"],
            vm: VM,
            process: `${VM}/1` as ProcessId,
            store,
            log: () => undefined,
            metrics: createDispatcherMetrics(),
            monotonicMs: () => performance.now(),
        },
        subjects: () => [SILENT, ANSWERED],
        holder: {
            begin: lease => void begun.push(lease),
            end: () => Promise.resolve(),
            content: () => emptyLeaseContent,
            renewed: () => undefined,
            isStuck: () => false,
        },
    });
    context.after(() => manager.close());
    return begun;
};

const waitUntil = async (what: string, check: () => boolean): Promise<void> => {
    const endMs = performance.now() + TAKEN_WITHIN_MS;
    while (!check()) {
        assert.ok(performance.now() < endMs, `${what}: not within ${TAKEN_WITHIN_MS} ms`);
        await sleep(5);
    }
};

const isHeld = (begun: readonly HeldLease[], subject: LeaseSubject): boolean =>
    begun.some(lease => leaseKey(lease.subject) === leaseKey(subject));

test("a holder renews a lease in time although renewals of another one get no answer", async context => {
    const parted = createPartedStore();
    const begun = startManager(context, parted);
    await waitUntil("both leases", () => begun.length === 2);
    parted.silent.writes = true;
    const lease = begun.find(({ subject }) => subject === ANSWERED);
    assert.ok(lease !== undefined);
    const endMs = performance.now() + RENEWALS_OBSERVED_FOR_MS;
    while (performance.now() < endMs) {
        const ageMs = performance.now() - lease.renewedAtMs;
        assert.ok(ageMs < POOL_LEASE_DURATION_MS, `not renewed for ${Math.round(ageMs)} ms`);
        await sleep(20);
    }
    parted.silent.writes = false;
});

test("a lease expires although acquisitions of another one get no answer", async context => {
    const parted = createPartedStore();
    parted.put(SILENT, OTHER_VM);
    parted.put(ANSWERED, OTHER_VM);
    const renewing = setInterval(() => parted.put(ANSWERED, OTHER_VM), 200);
    parted.silent.writes = true;
    const begun = startManager(context, parted);
    // By then the first lease has expired, and the holder of the second one fails.
    await sleep(POOL_LEASE_DURATION_MS + 2000);
    clearInterval(renewing);
    await waitUntil("the takeover", () => isHeld(begun, ANSWERED));
    parted.silent.writes = false;
});

// The calls of all processes are limited, and refused ones count.
test("an acquisition that the store refuses is not repeated without a pause", async context => {
    const minPauseMs = 200;
    const observedForMs = 2000;
    const parted = createPartedStore();
    parted.put(SILENT, OTHER_VM);
    let refused = 0;
    const store: TableStore = {
        ...parted.store,
        transact: transaction => {
            if (transaction.expect.every(({ part }) => part !== leaseRow(leaseKey(SILENT)).part)) {
                return parted.store.transact(transaction);
            }
            refused++;
            return Promise.resolve({ kind: "not-run", reason: "status 503" });
        },
    };
    startManager(context, { ...parted, store });
    await waitUntil("the first attempt", () => refused > 0);
    await sleep(observedForMs);
    assert.ok(refused <= observedForMs / minPauseMs, `${refused} attempts in ${observedForMs} ms`);
});

// A process reads the row of each lease once before it follows the changes of all leases.
test("a lease is taken although the row of another one cannot be read", async context => {
    const parted = createPartedStore();
    parted.put(SILENT, OTHER_VM);
    parted.put(ANSWERED, OTHER_VM);
    parted.silent.reads = true;
    const begun = startManager(context, parted);
    await waitUntil("the takeover", () => isHeld(begun, ANSWERED));
    parted.silent.reads = false;
});

// Its holder may be alive, or it may have been held under a token that is not known.
for (const row of ["stored", "absent"] as const) {
    test(`a lease whose row cannot be read is taken only once it was read; the row is ${row}`, async context => {
        const parted = createPartedStore();
        if (row === "stored") {
            parted.put(SILENT, OTHER_VM);
        }
        parted.silent.reads = true;
        let attempts = 0;
        const store: TableStore = {
            ...parted.store,
            transact: transaction => {
                attempts += transaction.expect.some(({ part }) => part === leaseRow(leaseKey(SILENT)).part) ? 1 : 0;
                return parted.store.transact(transaction);
            },
        };
        const begun = startManager(context, { ...parted, store });
        await waitUntil("the other lease", () => isHeld(begun, ANSWERED));
        await sleep(POOL_LEASE_DURATION_MS + 2000);
        assert.equal(attempts, 0);
        parted.silent.reads = false;
        await waitUntil("the lease", () => isHeld(begun, SILENT));
    });
}
