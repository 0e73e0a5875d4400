import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type PoolName, type ProcessId, type VmId } from "@almondusher/fleet/ids";
import type { JobId, QueueName, TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import { initialProgress } from "@almondusher/jobs/progress";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import { recordLeaseHeld, type PoolTables } from "@almondusher/scheduler/pool-tables";
import { allRuns, forgetRun } from "@almondusher/scheduler/run-table";
import { createCapDivision, type CapDivision } from "../src/fleet/divide-allowances.js";
import type { HeldLease } from "../src/leases/held-lease.js";
import type { LeaseManager } from "../src/leases/lease-manager.js";
import { decodeLease, emptyLeaseContent, encodeLease, type LeaseRecord } from "../src/leases/lease-rows.js";
import type { OperatorFeed } from "../src/operator/operator-feed.js";
import { createTenantGate, type TenantGate } from "../src/pool/tenant-gate.js";
import { emptyTables, executorRecord, STEP } from "./fixture.js";

const TENANT = toId<TenantName>("tenant");
const QUEUE = toId<QueueName>("queue-1");
const POOLS = ["pool-a", "pool-b"].map(name => toId<PoolName>(name));
const TASKS = 40;
const cores = (cpu: number): Resources => ({ cpu: cpu * 1000, memoryMb: 0, gpu: 0 });

const recordOf = (change: Partial<LeaseRecord>): LeaseRecord => ({
    ...emptyLeaseContent,
    holder: toId<VmId>("vm-1"),
    process: "vm-1/1" as ProcessId,
    epoch: 1,
    runNumbersUpTo: undefined,
    ...change,
});

/** The holder of one pool's lease, with a pool that has room for every task. */
interface Pool {
    readonly tables: PoolTables;
    gate: TenantGate;
    areRunsKnown: boolean;
    /** False while the store does not answer the holder. */
    reads: boolean;
    renewals: number;
}

/** Two pools and the fleet manager, which know of each other only by the rows of their leases. */
const createCluster = (capCores: number) => {
    const rows = new Map<string, string>();
    const decoded = new Map<string, LeaseRecord | undefined>();
    // A record stays the same object until its row changes, as in the view of the leases.
    const read = (key: string): LeaseRecord | undefined => decoded.get(key);
    const write = (key: string, change: Partial<LeaseRecord>): void => {
        const value = encodeLease(recordOf(change));
        if (rows.get(key) !== value) {
            rows.set(key, value);
            decoded.set(key, decodeLease(value));
        }
    };
    const cluster = { cap: cores(capCores), nowMs: 0, epoch: 0, readsPools: true };
    const context = {
        monotonicMs: () => cluster.nowMs,
        log: () => undefined,
        metrics: { count: () => undefined, record: () => undefined, text: () => "" },
    };
    const seenPools = new Map<PoolName, LeaseRecord | undefined>();
    const startFleet = (): CapDivision => {
        cluster.epoch++;
        return createCapDivision({
            context,
            lease: { epoch: cluster.epoch, predecessor: read("fleet") } as HeldLease,
            operator: {
                configuration: () => ({
                    pools: POOLS.map(name => ({ name, spare: false })),
                    tenants: [{ name: TENANT, keys: [], weight: 1, cap: cluster.cap }],
                }),
            } as unknown as OperatorFeed,
            leases: {
                lastRecord: ({ pool }: { readonly pool: PoolName }) => {
                    if (cluster.readsPools) {
                        seenPools.set(pool, read(pool));
                    }
                    return seenPools.get(pool);
                },
            } as unknown as LeaseManager,
            requestRenewal: () => undefined,
        });
    };
    let fleet = startFleet();
    const startGate = (index: number, tables: PoolTables, isPoolReading: () => Pool): TenantGate => {
        let division = read("fleet")?.allowances;
        const predecessor = read(POOLS[index] as PoolName);
        return createTenantGate({
            context,
            tables,
            lease: { predecessor },
            areRunsKnown: () => isPoolReading().areRunsKnown,
            division: () => {
                division = isPoolReading().reads ? read("fleet")?.allowances : division;
                return division;
            },
            requestRenewal: () => void isPoolReading().renewals++,
        });
    };
    const startPool = (index: number, areRunsKnown: boolean): Pool => {
        const tables: PoolTables = { ...emptyTables(), pool: POOLS[index] as PoolName };
        tables.tenants.set(TENANT, { name: TENANT, keys: [], weight: 1, cap: cluster.cap });
        applyRegistry(tables, [executorRecord(`e${index}`, { pool: tables.pool, capacity: cores(100) })], 0);
        tables.executors.forEach(executor =>
            Object.assign(executor, {
                reconciled: true,
                inheritedRunsRead: true,
                listedInLease: true,
                reachable: true,
            }),
        );
        tables.isProgressCurrent = true;
        recordLeaseHeld(tables, Infinity);
        const pool: Pool = {
            tables,
            gate: undefined as unknown as TenantGate,
            areRunsKnown,
            reads: true,
            renewals: 0,
        };
        pool.gate = startGate(index, tables, () => pool);
        return pool;
    };
    const pools = POOLS.map((unused, index) => startPool(index, true));
    return {
        ...cluster,
        pools,
        write,
        read,
        setCap: (cpuCores: number): void => {
            cluster.cap = cores(cpuCores);
            pools.forEach(({ tables }) =>
                tables.tenants.set(TENANT, { name: TENANT, keys: [], weight: 1, cap: cluster.cap }),
            );
        },
        setFleetReads: (reads: boolean): void => void (cluster.readsPools = reads),
        takeFleetOver: (): void => void (fleet = startFleet()),
        takePoolOver: (index: number): Pool => {
            const successor = startPool(index, false);
            pools[index] = successor;
            return successor;
        },
        submit: (index: number): void =>
            admitJob(
                (pools[index] as Pool).tables,
                {
                    job: {
                        id: toId<JobId>(`000000000000000${index}`),
                        queue: QUEUE,
                        pool: POOLS[index] as PoolName,
                        spec: "",
                        steps: [{ ...STEP, demand: cores(1), count: TASKS }],
                        schedule: undefined,
                        tenant: TENANT,
                        terms: undefined,
                        acceptedAtMs: 0,
                    },
                    progress: initialProgress,
                    progressVersion: 1,
                    arrivedAtMs: 0,
                    readAtMs: 0,
                    inherited: false,
                },
                0,
            ),
        /** Lets each process renew its lease and read the others' rows a number of times. */
        exchange: (rounds: number): void =>
            Array.from({ length: rounds }).forEach(() => {
                cluster.nowMs += 500;
                pools.forEach((pool, index) => {
                    pool.gate.update();
                    if (pool.reads) {
                        write(POOLS[index] as PoolName, { tenantUse: pool.gate.stored() });
                    }
                });
                fleet.update();
                write("fleet", { allowances: fleet.stored() });
            }),
        start: (): readonly number[] =>
            pools.map(({ tables, gate }) => {
                gate.update();
                return placeTasks(tables, {
                    nowMs: 0,
                    budget: { isExhausted: () => false, allows: () => true, spend: () => undefined },
                    executorsWithTicket: () => undefined,
                }).length;
            }),
        end: (index: number, count: number): void =>
            allRuns((pools[index] as Pool).tables)
                .slice(0, count)
                .forEach(run => {
                    run.task.done = true;
                    run.task.step.remaining--;
                    forgetRun(run);
                }),
    };
};

test("the cap is divided before there is demand, so that the first tasks of each pool start at once", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    cluster.submit(0);
    cluster.submit(1);
    assert.deepEqual(cluster.start(), [5, 5]);
});

test("the cap follows demand from one pool to another as runs end", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    cluster.submit(0);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [10, 0]);
    cluster.submit(1);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [0, 0]);
    cluster.end(0, 5);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [0, 5]);
});

test("the successor of a pool's holder starts nothing, and frees nothing, until it knows the runs that it inherits", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    cluster.submit(0);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [10, 0]);
    cluster.exchange(1);
    const successor = cluster.takePoolOver(0);
    cluster.submit(0);
    cluster.submit(1);
    cluster.exchange(6);
    assert.deepEqual(cluster.start(), [0, 0]);
    // None was active any more.
    successor.areRunsKnown = true;
    cluster.exchange(6);
    assert.deepEqual(cluster.start(), [5, 5]);
});

test("the fleet manager's successor goes on with the stored division, and pools go on without one", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    cluster.submit(0);
    cluster.exchange(4);
    cluster.takeFleetOver();
    assert.deepEqual(cluster.start(), [10, 0]);
    cluster.submit(1);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [0, 0]);
    cluster.end(0, 5);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [0, 5]);
});

test("what is granted to a pool that neither reads nor writes stays reserved for it", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    (cluster.pools[0] as Pool).reads = false;
    cluster.submit(0);
    cluster.submit(1);
    cluster.exchange(6);
    assert.deepEqual(cluster.start(), [5, 5]);
});

test("a fleet manager that cannot read the pools' rows gives nothing away", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    cluster.setFleetReads(false);
    cluster.submit(0);
    cluster.exchange(6);
    assert.deepEqual(cluster.start(), [5, 0]);
    cluster.setFleetReads(true);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [5, 0]);
});

test("a cap that falls below what runs stops nothing and starts nothing until less runs than it allows", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    cluster.submit(0);
    cluster.submit(1);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [5, 5]);
    cluster.setCap(6);
    cluster.exchange(4);
    cluster.end(0, 4);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [0, 0]);
    cluster.end(1, 5);
    cluster.exchange(6);
    const started = cluster.start();
    assert.equal(1 + started.reduce((sum, count) => sum + count, 0), 6);
});

test("a division that an earlier version has dropped from the row is made anew without exceeding the cap", () => {
    const cluster = createCluster(10);
    cluster.exchange(4);
    cluster.submit(0);
    cluster.exchange(4);
    assert.deepEqual(cluster.start(), [10, 0]);
    cluster.write("fleet", {});
    cluster.takeFleetOver();
    cluster.submit(1);
    cluster.exchange(6);
    assert.deepEqual(cluster.start(), [0, 0]);
});

test("malformed fields of a row leave the other ones readable; what a pool holds is then unknown, not nothing", () => {
    const garbled = { ...recordOf({ epoch: 7 }), tenantUse: { acknowledged: "x" }, allowances: [3] };
    const { epoch, tenantUse, allowances } = decodeLease(JSON.stringify(garbled)) ?? {};
    assert.deepEqual(
        { epoch, tenantUse, allowances },
        { epoch: 7, tenantUse: { acknowledged: 0, tenants: [] }, allowances: undefined },
    );
    assert.equal(decodeLease(encodeLease(recordOf({})))?.tenantUse, undefined);
});

test("rows of a deployment without tenants have no further fields", () => {
    assert.doesNotMatch(encodeLease(recordOf({})), /tenantUse|allowances/);
});
