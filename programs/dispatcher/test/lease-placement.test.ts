import assert from "node:assert/strict";
import { mock, test, type TestContext } from "node:test";
import { toId, type PoolName, type ProcessId, type VmId } from "@almondusher/fleet/ids";
import { startStoreStandIn } from "@almondusher/job-platform-stand-in/store";
import { createTableStore, type TableStore } from "@almondusher/platform-adapter/table-store";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { createDispatcherMetrics } from "../src/process/dispatcher-metrics.js";
import type { DispatcherSettings } from "../src/process/dispatcher-settings.js";
import { createLeaseManager, type LeaseManager } from "../src/leases/lease-manager.js";
import { emptyLeaseContent, leaseKey, type LeaseSubject, type SchedulerStatus } from "../src/leases/lease-rows.js";
import type { VmCapacity } from "../src/fleet/vm-capacity.js";

const LARGE: VmCapacity = { processorCores: 1.35, linkMbps: 140 };
const SMALL: VmCapacity = { processorCores: 0.324, linkMbps: 7 };
const ACQUISITION_TIMEOUT_MS = 8000;
// Longer than any process waits before it acquires or requests a lease.
const SETTLING_MS = 3000;
const TENURE_MS = 20_000;
// A holder that cannot act gives its lease up after this time.
const STUCK_AFTER_MS = 12_000;

const pools: readonly LeaseSubject[] = ["a", "b", "c", "d"].map(name => ({ kind: "pool", pool: toId<PoolName>(name) }));
const fleet: LeaseSubject = { kind: "fleet" };
const subjects: readonly LeaseSubject[] = [...pools, fleet];

interface Member {
    readonly vm: VmId;
    readonly leases: LeaseManager;
    /** Cuts the process off from the store, so that its leases expire. */
    readonly cutOff: () => void;
    /** Lets no write of a lease reach the store from now on, unlike those of the process's requests. */
    readonly refuseLeases: () => void;
    /** Keys of the leases under which the process cannot act. */
    readonly stuckOn: Set<string>;
}

interface Cluster {
    readonly start: (vm: string, capacity: VmCapacity) => Member;
    /** What the holders store of their schedulers, by the lease's key. */
    readonly schedulerStatuses: Map<string, SchedulerStatus>;
    /** Returns the VM that holds each lease, by the lease's key. */
    readonly holders: () => ReadonlyMap<string, VmId>;
    /** Returns the keys of the leases that VMs have requested last. */
    readonly requestedLeases: () => readonly string[];
    readonly pass: (ms: number) => Promise<void>;
    /** Waits until every lease is held by one of the VMs that are neither closed nor cut off. */
    readonly allHeld: (live: readonly Member[], timeoutMs?: number, leases?: readonly LeaseSubject[]) => Promise<void>;
}

/** Time that passes only while no call of a store is outstanding, so that a test does not depend on the machine's load. */
interface SimulatedTime {
    nowMs: number;
    outstandingCalls: number;
}

const TICK_MS = 10;

// For the whole file, since the HTTP client keeps a timer of its own from one test to the next.
mock.timers.enable({ apis: ["setTimeout"] });

const nextEvent = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const passTime = async (time: SimulatedTime, ms: number): Promise<void> => {
    const endMs = time.nowMs + ms;
    while (time.nowMs < endMs) {
        await nextEvent();
        while (time.outstandingCalls > 0) {
            await nextEvent();
        }
        time.nowMs += TICK_MS;
        mock.timers.tick(TICK_MS);
    }
};

const severable = (
    store: TableStore,
    time: SimulatedTime,
): { readonly store: TableStore } & Pick<Member, "cutOff" | "refuseLeases"> => {
    let cut = false;
    let refusesLeases = false;
    const callUnlessCut = async <Result>(call: () => Promise<Result>, failure: Result): Promise<Result> => {
        if (cut) {
            return failure;
        }
        time.outstandingCalls++;
        const result = await call();
        time.outstandingCalls--;
        return result;
    };
    return {
        cutOff: () => {
            cut = true;
        },
        refuseLeases: () => {
            refusesLeases = true;
        },
        store: {
            calls: store.calls,
            nowMs: () => time.nowMs,
            transact: transaction =>
                refusesLeases && transaction.writes.some(({ key }) => pools.map(leaseKey).includes(key))
                    ? Promise.resolve({ kind: "not-run", reason: "refused" })
                    : callUnlessCut(() => store.transact(transaction), { kind: "not-run", reason: "cut off" }),
            read: range => callUnlessCut(() => store.read(range), { kind: "failed", reason: "cut off" }),
            changes: request => callUnlessCut(() => store.changes(request), { kind: "failed", reason: "cut off" }),
        },
    };
};

const startCluster = async (context: TestContext): Promise<Cluster> => {
    const platform = await startStoreStandIn();
    const members: Member[] = [];
    const schedulerStatuses = new Map<string, SchedulerStatus>();
    context.after(async () => {
        await Promise.all(members.map(({ leases }) => leases.close()));
        await platform.close();
    });
    const time: SimulatedTime = { nowMs: 0, outstandingCalls: 0 };
    const monotonicMs = (): number => time.nowMs;
    const holders = (): ReadonlyMap<string, VmId> =>
        new Map(
            platform.rows("leases").flatMap(({ key, value }) => {
                const { holder } = value as { readonly holder?: VmId };
                return holder === undefined ? [] : [[key, holder] as const];
            }),
        );
    return {
        holders,
        requestedLeases: () =>
            platform.rows("leases").flatMap(({ value }) => {
                const { request } = value as { readonly request?: { readonly lease: string } };
                return request === undefined ? [] : [request.lease];
            }),
        schedulerStatuses,
        pass: ms => passTime(time, ms),
        start: (name, { processorCores, linkMbps }) => {
            const vm = toId<VmId>(name);
            const { store, cutOff, refuseLeases } = severable(
                createTableStore({ address: platform.address, monotonicMs }),
                time,
            );
            const dispatcher: DispatcherContext = {
                settings: { processorShare: processorCores / 2, processorSpeed: 2, linkMbps } as DispatcherSettings,
                vm,
                process: toId<ProcessId>(`${name}/${members.length}`),
                store,
                log: () => undefined,
                metrics: createDispatcherMetrics({}),
                monotonicMs,
            };
            const stuckOn = new Set<string>();
            const begunAtMs = new Map<string, number>();
            const leases = createLeaseManager({
                context: dispatcher,
                subjects: () => subjects,
                holder: {
                    begin: ({ subject }) => void begunAtMs.set(leaseKey(subject), time.nowMs),
                    isStuck: ({ subject }) =>
                        stuckOn.has(leaseKey(subject)) &&
                        time.nowMs - (begunAtMs.get(leaseKey(subject)) ?? Infinity) >= STUCK_AFTER_MS,
                    end: () => Promise.resolve(),
                    content: ({ subject }) => ({
                        ...emptyLeaseContent,
                        schedulerStatus: schedulerStatuses.get(leaseKey(subject)),
                    }),
                    renewed: () => undefined,
                },
            });
            const member = { vm, leases, cutOff, refuseLeases, stuckOn };
            members.push(member);
            return member;
        },
        allHeld: async (live, timeoutMs = ACQUISITION_TIMEOUT_MS, leases = subjects) => {
            const endMs = time.nowMs + timeoutMs;
            const vms = new Set(live.map(({ vm }) => vm));
            const isHeld = (subject: LeaseSubject): boolean => {
                const holder = holders().get(leaseKey(subject));
                return holder !== undefined && vms.has(holder);
            };
            while (!leases.every(isHeld)) {
                assert.ok(time.nowMs < endMs, `not all leases are held: ${[...holders()].join(" ")}`);
                await passTime(time, TICK_MS);
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
    await cluster.pass(200);
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

test("pool leases that small VMs had to take go to the large VMs that start later, one each", async context => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 3, SMALL);
    await cluster.allHeld(small);
    const large = startMany(cluster, "large", 6, LARGE);
    await cluster.pass(SETTLING_MS);
    assert.ok(
        [...cluster.holders().values()].every(holder => small.some(({ vm }) => vm === holder)),
        "no lease is moved soon after it was taken",
    );
    const fleetHolder = cluster.holders().get(leaseKey(fleet));
    await cluster.allHeld(large, TENURE_MS, pools);
    const poolHolders = pools.map(subject => cluster.holders().get(leaseKey(subject)));
    assert.equal(new Set(poolHolders).size, pools.length, `leases on one VM each: ${poolHolders.join(" ")}`);
    // Two holders of the fleet lease that follow each other at once could both order the same VM.
    assert.equal(cluster.holders().get(leaseKey(fleet)), fleetHolder);
});

// Jobs may have nothing running for 3 s while there is room for them.
const LONGEST_STANDSTILL_MS = 3000;

const setStatusOfPools = ({ schedulerStatuses }: Cluster, status: SchedulerStatus): void =>
    pools.forEach(subject => schedulerStatuses.set(leaseKey(subject), status));

test("pools that small VMs hold and start nothing in go to large VMs within 3 s of their return", async context => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 3, SMALL);
    setStatusOfPools(cluster, "starting");
    await cluster.allHeld(small);
    await cluster.allHeld(startMany(cluster, "large", 6, LARGE), LONGEST_STANDSTILL_MS, pools);
});

test("a single large VM that is back gets all pools that small VMs hold and start nothing in", async context => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 3, SMALL);
    setStatusOfPools(cluster, "starting");
    await cluster.allHeld(small);
    await cluster.allHeld([cluster.start("large", LARGE)], pools.length * LONGEST_STANDSTILL_MS, pools);
});

test("a pool whose small holder cannot start tasks as fast as they come does not wait for an ordinary tenure", async context => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 3, SMALL);
    setStatusOfPools(cluster, "behind");
    await cluster.allHeld(small);
    const large = startMany(cluster, "large", 6, LARGE);
    await cluster.allHeld(large, 2 * LONGEST_STANDSTILL_MS, pools);
});

test("a pool whose small holder has begun to start tasks when it finds a request stays where it is", async context => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 3, SMALL);
    setStatusOfPools(cluster, "starting");
    await cluster.allHeld(small);
    const before = pools.map(subject => cluster.holders().get(leaseKey(subject)));
    startMany(cluster, "large", 6, LARGE);
    while (cluster.requestedLeases().length === 0) {
        await cluster.pass(TICK_MS);
    }
    setStatusOfPools(cluster, "current");
    await cluster.pass(SETTLING_MS);
    assert.deepEqual(
        pools.map(subject => cluster.holders().get(leaseKey(subject))),
        before,
    );
});

test("a pool is not handed over again and again to a VM that requests it and cannot take it", async context => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 3, SMALL);
    setStatusOfPools(cluster, "starting");
    await cluster.allHeld(small);
    cluster.start("large", LARGE).refuseLeases();
    let releases = 0;
    let wasHeld = true;
    for (let passedMs = 0; passedMs < STUCK_AFTER_MS; passedMs += TICK_MS) {
        await cluster.pass(TICK_MS);
        const isHeld = cluster.holders().has("pool/a");
        releases += wasHeld && !isHeld ? 1 : 0;
        wasHeld = isHeld;
    }
    assert.ok(releases <= 1, `released ${releases} times`);
});

test("pools of large VMs that start nothing yet stay where they are, so that they do not go round", async context => {
    const cluster = await startCluster(context);
    const holding = startMany(cluster, "a", 2, LARGE);
    setStatusOfPools(cluster, "starting");
    await cluster.allHeld(holding);
    const before = [...cluster.holders()];
    startMany(cluster, "b", 3, LARGE);
    startMany(cluster, "c-small", 3, SMALL);
    await cluster.pass(TENURE_MS);
    assert.deepEqual([...cluster.holders()], before);
});

test("no lease is moved between equal VMs, so that a restart of every process does not move all leases", async context => {
    const cluster = await startCluster(context);
    await cluster.allHeld(startMany(cluster, "a", 2, LARGE));
    const before = [...cluster.holders()];
    startMany(cluster, "b", 3, LARGE);
    await cluster.pass(SETTLING_MS);
    await cluster.pass(TENURE_MS);
    assert.deepEqual([...cluster.holders()], before);
});

test("pools under whose leases large VMs cannot act go to small ones, and are not requested back at once", async context => {
    const cluster = await startCluster(context);
    const small = startMany(cluster, "a-small", 3, SMALL);
    // One of them holds no lease but those of pools, so it may request others once it has given these up.
    const large = startMany(cluster, "large", 2, LARGE);
    await cluster.allHeld(large);
    large.forEach(({ stuckOn }) => pools.forEach(subject => stuckOn.add(leaseKey(subject))));
    // Each of them may hold a pool once before both stand aside.
    await cluster.allHeld(small, 2 * TENURE_MS, pools);
    const poolHolders = () => pools.map(subject => cluster.holders().get(leaseKey(subject)));
    const before = poolHolders();
    for (let passedMs = 0; passedMs < TENURE_MS; passedMs += 1000) {
        await cluster.pass(1000);
        assert.deepEqual(poolHolders(), before);
    }
});

test("a pool under whose lease no process can act is taken again each time", async context => {
    const cluster = await startCluster(context);
    const members = startMany(cluster, "a", 3, LARGE);
    await cluster.allHeld(members);
    members.forEach(({ stuckOn }) => stuckOn.add("pool/a"));
    for (let rounds = 0; rounds < 5; rounds++) {
        await cluster.pass(STUCK_AFTER_MS);
        await cluster.allHeld(members, ACQUISITION_TIMEOUT_MS);
    }
});
