import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { toId, type PoolName, type ProcessId, type VmId } from "@almondusher/fleet/ids";
import { startStoreStandIn } from "@almondusher/job-platform-stand-in/store";
import { createTableStore, type TableStore } from "@almondusher/platform-adapter/table-store";
import { sleep, type DispatcherContext } from "../src/dispatcher-context.js";
import { createDispatcherMetrics } from "../src/dispatcher-metrics.js";
import type { DispatcherSettings } from "../src/dispatcher-settings.js";
import { createLeaseManager, type LeaseManager } from "../src/lease-manager.js";
import { emptyLeaseContent, leaseKey, type LeaseSubject } from "../src/lease-rows.js";
import type { VmCapacity } from "../src/vm-capacity.js";

const LARGE: VmCapacity = { processorCores: 1.35, linkMbps: 140 };
const SMALL: VmCapacity = { processorCores: 0.324, linkMbps: 7 };
const ACQUISITION_TIMEOUT_MS = 8000;

const subjects: readonly LeaseSubject[] = [
    ...["a", "b", "c", "d"].map((name): LeaseSubject => ({ kind: "pool", pool: toId<PoolName>(name) })),
    { kind: "fleet" },
];

interface Member {
    readonly vm: VmId;
    readonly leases: LeaseManager;
    /** Cuts the process off from the store, so that its leases expire. */
    readonly cutOff: () => void;
}

interface Cluster {
    readonly start: (vm: string, capacity: VmCapacity) => Member;
    /** Returns the VM that holds each lease, by the lease's key. */
    readonly holders: () => ReadonlyMap<string, VmId>;
    /** Waits until every lease is held by one of the VMs that are neither closed nor cut off. */
    readonly allHeld: (live: readonly Member[]) => Promise<void>;
}

const severable = (store: TableStore): { readonly store: TableStore; readonly cutOff: () => void } => {
    let cut = false;
    const failed = { kind: "failed", reason: "cut off" } as const;
    return {
        cutOff: () => {
            cut = true;
        },
        store: {
            ...store,
            transact: transaction =>
                cut ? Promise.resolve({ kind: "not-run", reason: "cut off" }) : store.transact(transaction),
            read: range => (cut ? Promise.resolve(failed) : store.read(range)),
            changes: request => (cut ? Promise.resolve(failed) : store.changes(request)),
        },
    };
};

const startCluster = async (context: TestContext): Promise<Cluster> => {
    const platform = await startStoreStandIn();
    const members: Member[] = [];
    context.after(async () => {
        await Promise.all(members.map(({ leases }) => leases.close()));
        await platform.close();
    });
    const monotonicMs = (): number => performance.now();
    const holders = (): ReadonlyMap<string, VmId> =>
        new Map(
            platform.rows("leases").flatMap(({ key, value }) => {
                const { holder } = value as { readonly holder?: VmId };
                return holder === undefined ? [] : [[key, holder] as const];
            }),
        );
    return {
        holders,
        start: (name, { processorCores, linkMbps }) => {
            const vm = toId<VmId>(name);
            const { store, cutOff } = severable(createTableStore({ address: platform.address, monotonicMs }));
            const dispatcher: DispatcherContext = {
                settings: { processorShare: processorCores / 2, processorSpeed: 2, linkMbps } as DispatcherSettings,
                vm,
                process: toId<ProcessId>(`${name}/${members.length}`),
                store,
                log: () => undefined,
                metrics: createDispatcherMetrics({}),
                monotonicMs,
            };
            const leases = createLeaseManager({
                context: dispatcher,
                subjects: () => subjects,
                holder: {
                    begin: () => undefined,
                    end: () => Promise.resolve(),
                    content: () => emptyLeaseContent,
                    renewed: () => undefined,
                },
            });
            const member = { vm, leases, cutOff };
            members.push(member);
            return member;
        },
        allHeld: async live => {
            const endMs = performance.now() + ACQUISITION_TIMEOUT_MS;
            const vms = new Set(live.map(({ vm }) => vm));
            const isHeld = (subject: LeaseSubject): boolean => {
                const holder = holders().get(leaseKey(subject));
                return holder !== undefined && vms.has(holder);
            };
            while (!subjects.every(isHeld)) {
                assert.ok(performance.now() < endMs, `not all leases are held: ${[...holders()].join(" ")}`);
                await sleep(20);
            }
        },
    };
};

const startMany = (cluster: Cluster, name: string, count: number, capacity: VmCapacity): Member[] =>
    Array.from({ length: count }, (unused, index) => cluster.start(`${name}-${index}`, capacity));

interface MixedCluster {
    readonly cluster: Cluster;
    readonly large: readonly Member[];
    readonly small: readonly Member[];
}

// The small VMs start first, as VMs may start in any order.
const startMixedCluster = async (context: TestContext): Promise<MixedCluster> => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 10, SMALL);
    await sleep(200);
    const large = startMany(cluster, "large", 6, LARGE);
    await cluster.allHeld([...small, ...large]);
    return { cluster, large, small };
};

const assertAllOn = ({ cluster, large }: MixedCluster): void => {
    const names = new Set(large.map(({ vm }) => vm));
    const others = [...cluster.holders().values()].filter(holder => !names.has(holder));
    assert.deepEqual(others, [], "VMs that hold leases and are not large");
};

const assertOneEach = (mixed: MixedCluster): void => {
    assertAllOn(mixed);
    const holders = [...mixed.cluster.holders().values()];
    assert.equal(new Set(holders).size, subjects.length, `leases on one VM each: ${holders.join(" ")}`);
};

const firstHolder = ({ cluster, large }: MixedCluster): Member => {
    const holder = large.find(({ vm }) => cluster.holders().get("pool/a") === vm);
    assert.ok(holder !== undefined, "a large VM holds the lease");
    return holder;
};

test("at the first start no small VM gets a lease while a large one holds none", async context => {
    assertOneEach(await startMixedCluster(context));
});

test("a lease released by a large VM does not go to a small one while a large one holds none", async context => {
    const mixed = await startMixedCluster(context);
    const released = firstHolder(mixed);
    await released.leases.close();
    const large = mixed.large.filter(member => member !== released);
    await mixed.cluster.allHeld([...large, ...mixed.small]);
    assertOneEach({ ...mixed, large });
});

test("an expired lease does not go to a small VM, or to one with a lease, while a large one holds none", async context => {
    const mixed = await startMixedCluster(context);
    const failed = firstHolder(mixed);
    failed.cutOff();
    const large = mixed.large.filter(member => member !== failed);
    await mixed.cluster.allHeld([...large, ...mixed.small]);
    assertOneEach({ ...mixed, large });
});

test("after the leases of stopped large VMs have gone to others, all are on the large VMs that are left", async context => {
    const mixed = await startMixedCluster(context);
    const [first, second, ...large] = mixed.large;
    await Promise.all([first?.leases.close(), second?.leases.close()]);
    await mixed.cluster.allHeld([...large, ...mixed.small]);
    assertAllOn({ ...mixed, large });
});

test("small VMs take all leases if every large VM fails at once", async context => {
    const { cluster, large, small } = await startMixedCluster(context);
    large.forEach(({ cutOff }) => cutOff());
    await cluster.allHeld(small);
});
