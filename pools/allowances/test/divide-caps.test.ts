import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import { NO_ALLOWANCES, type Allowances, type PoolUse } from "../src/allowances.js";
import { divideCaps, type DividedPool } from "../src/divide-caps.js";
import {
    grantOf,
    inheritAllowance,
    reportUse,
    withDivision,
    withRunsKnown,
    type PoolAllowance,
} from "../src/pool-allowance.js";

const TENANT = toId<TenantName>("tenant");
const amount = (cpu: number): Resources => ({ cpu, memoryMb: 0, gpu: 0 });
const poolName = (index: number): PoolName => toId<PoolName>(`pool-${index}`);

/** A pool, its row, and its runs, which outlast its holders. */
interface SimulatedPool {
    readonly name: PoolName;
    allowance: PoolAllowance;
    /** Rows in the order in which they were stored. */
    readonly rows: PoolUse[];
    /** Index of the row that the fleet manager has read last. */
    readRow: number;
    running: number;
    wanted: number;
}

/** Pools, the rows of the fleet lease and its holder, in one cluster. */
class Cluster {
    cap: number;
    token = 1;
    readonly fleetRows: Allowances[] = [NO_ALLOWANCES];
    readonly pools: readonly SimulatedPool[];
    /** Division of the holder, which may not be stored yet. */
    division: Allowances = NO_ALLOWANCES;

    constructor(pools: number, cap: number) {
        this.cap = cap;
        this.pools = Array.from({ length: pools }, (unused, index) => ({
            name: poolName(index),
            allowance: withRunsKnown(inheritAllowance(undefined)),
            rows: [{ acknowledged: 0, tenants: [] }],
            readRow: 0,
            running: 0,
            wanted: 0,
        }));
    }

    divide(): void {
        const pools = this.pools.map((pool): DividedPool => ({
            pool: pool.name,
            use: pool.rows[pool.readRow] ?? "unread",
        }));
        this.division = divideCaps(this.division, {
            caps: new Map([[TENANT, amount(this.cap)]]),
            pools,
            token: this.token,
        });
    }

    storeDivision(): void {
        this.fleetRows.push(this.division);
    }

    /** The successor begins with the stored row, and may have read older rows of the pools than its predecessor. */
    takeFleetOver(isReadingOldRows: boolean): void {
        this.token++;
        this.division = this.fleetRows.at(-1) ?? NO_ALLOWANCES;
        if (isReadingOldRows) {
            this.pools.forEach(pool => (pool.readRow = Math.floor(pool.readRow / 2)));
        }
    }

    loseDivision(): void {
        this.token++;
        this.fleetRows.push(NO_ALLOWANCES);
        this.division = NO_ALLOWANCES;
    }

    readPool(pool: SimulatedPool): void {
        pool.readRow = Math.min(pool.readRow + 1, pool.rows.length - 1);
    }

    readFleet(pool: SimulatedPool, age: number): void {
        const row = this.fleetRows.at(-1 - Math.min(age, this.fleetRows.length - 1)) ?? NO_ALLOWANCES;
        pool.allowance = withDivision(pool.allowance, pool.name, row);
    }

    report(pool: SimulatedPool): void {
        pool.rows.push(
            reportUse(pool.allowance, [
                {
                    tenant: TENANT,
                    used: amount(this.knownRuns(pool)),
                    wanted: amount(Math.max(pool.wanted, pool.running)),
                    unit: amount(Math.min(1, pool.wanted)),
                },
            ]),
        );
    }

    takePoolOver(pool: SimulatedPool): void {
        pool.allowance = inheritAllowance(pool.rows.at(-1));
    }

    /** Returns what the tenant runs over all pools if the pool has started something. */
    start(pool: SimulatedPool, size: number): number | undefined {
        const room = grantOf(pool.allowance, TENANT).cpu - this.knownRuns(pool);
        if (room < size || size <= 0) {
            return undefined;
        }
        pool.running += size;
        return this.running();
    }

    /** Runs that the holder knows: those of its own until it has learned those of former holders. */
    knownRuns(pool: SimulatedPool): number {
        return pool.allowance.inherited === undefined ? pool.running : 0;
    }

    running(): number {
        return this.pools.reduce((sum, { running }) => sum + running, 0);
    }

    poolAt(index: number): SimulatedPool {
        return this.pools[index % this.pools.length] as SimulatedPool;
    }

    /** Everything is read and stored without delay. */
    settle(rounds = 8): void {
        Array.from({ length: rounds }).forEach(() => {
            this.divide();
            this.storeDivision();
            this.pools.forEach(pool => {
                this.readFleet(pool, 0);
                this.report(pool);
                pool.readRow = pool.rows.length - 1;
            });
        });
    }
}

test("a cap is divided evenly before anything is wanted", () => {
    const cluster = new Cluster(4, 100);
    cluster.settle();
    assert.deepEqual(
        cluster.pools.map(({ allowance }) => grantOf(allowance, TENANT).cpu),
        [25, 25, 25, 25],
    );
});

test("the whole cap follows what is wanted from one pool to another", () => {
    const cluster = new Cluster(3, 90);
    cluster.settle();
    cluster.poolAt(0).wanted = 200;
    cluster.settle();
    assert.equal(cluster.start(cluster.poolAt(0), 90), 90);
    cluster.poolAt(0).wanted = 0;
    cluster.poolAt(1).wanted = 200;
    cluster.settle();
    assert.equal(cluster.start(cluster.poolAt(1), 1), undefined);
    cluster.poolAt(0).running = 0;
    cluster.settle();
    assert.equal(cluster.start(cluster.poolAt(1), 90), 90);
});

test("pools that want more than the cap get equal parts of it", () => {
    const cluster = new Cluster(2, 100);
    cluster.pools.forEach(pool => (pool.wanted = 100));
    cluster.settle();
    const grants = cluster.pools.map(({ allowance }) => grantOf(allowance, TENANT).cpu);
    assert.equal(
        grants.reduce((sum, grant) => sum + grant, 0),
        100,
    );
    grants.forEach(grant => assert.ok(grant >= 45, `${grants.join()}`));
});

test("a task that takes most of the cap gets its room although other pools want as much", () => {
    const unit = amount(60);
    const use = (acknowledged: number): PoolUse => ({
        acknowledged,
        tenants: [{ tenant: TENANT, held: amount(0), wanted: unit, unit }],
    });
    const divide = (before: Allowances): Allowances =>
        divideCaps(before, {
            caps: new Map([[TENANT, amount(100)]]),
            pools: [0, 1, 2].map(index => ({ pool: poolName(index), use: use(before.revision) })),
            token: 1,
        });
    const divided = divide(divide(NO_ALLOWANCES));
    assert.equal(divided.entries.filter(({ granted }) => granted.cpu >= 60).length, 1);
});

test("nothing is started while more runs than a lowered cap allows", () => {
    const cluster = new Cluster(2, 100);
    cluster.pools.forEach(pool => (pool.wanted = 100));
    cluster.settle();
    cluster.pools.forEach(pool => cluster.start(pool, 45));
    cluster.cap = 50;
    cluster.settle();
    cluster.poolAt(0).running = 5;
    cluster.settle();
    // One pool has ended its runs, the other one holds nearly the whole cap.
    assert.equal(cluster.start(cluster.poolAt(1), 1), undefined);
    assert.equal(cluster.start(cluster.poolAt(0), 1) ?? 50, 50);
    cluster.poolAt(1).running = 0;
    cluster.settle();
    assert.ok((cluster.start(cluster.poolAt(1), 20) ?? Infinity) <= 50);
});

test("a cap of 0 limits nothing and is not divided", () => {
    const divided = divideCaps(NO_ALLOWANCES, {
        caps: new Map([[TENANT, amount(0)]]),
        pools: [{ pool: poolName(0), use: "unread" }],
        token: 1,
    });
    assert.equal(divided, NO_ALLOWANCES);
});

test("no pool is granted anything before all pools say what they hold", () => {
    const use: PoolUse = {
        acknowledged: 2 ** 21,
        tenants: [{ tenant: TENANT, held: amount(0), wanted: amount(9), unit: amount(1) }],
    };
    const input = { caps: new Map([[TENANT, amount(100)]]), token: 1 };
    const pools: readonly DividedPool[] = [
        { pool: poolName(0), use },
        { pool: poolName(1), use: "unread" },
    ];
    const divided = divideCaps(divideCaps(NO_ALLOWANCES, { ...input, pools }), { ...input, pools });
    assert.ok(divided.entries.every(({ granted }) => granted.cpu === 0));
    const known = divideCaps(divided, { ...input, pools: [0, 1].map(index => ({ pool: poolName(index), use })) });
    assert.ok(known.entries.every(({ granted }) => granted.cpu >= 9));
});

type Step = (cluster: Cluster) => number | undefined;

const onPool = (act: (cluster: Cluster, pool: SimulatedPool) => number | undefined | void): fc.Arbitrary<Step> =>
    fc.nat(4).map(index => cluster => act(cluster, cluster.poolAt(index)) ?? undefined);

// Each step is one of those that matter together; single reads and writes between them are delayed at random.
const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.boolean().map(isStored => (cluster: Cluster) => {
            cluster.divide();
            if (isStored) {
                cluster.storeDivision();
            }
            return undefined;
        }),
    },
    { weight: 1, arbitrary: fc.boolean().map(old => (cluster: Cluster) => void cluster.takeFleetOver(old)) },
    { weight: 1, arbitrary: fc.constant((cluster: Cluster) => void cluster.loseDivision()) },
    { weight: 3, arbitrary: onPool((cluster, pool) => cluster.readPool(pool)) },
    {
        weight: 6,
        arbitrary: fc.tuple(fc.nat(4), fc.oneof(fc.constant(0), fc.nat(3))).map(
            ([index, age]) =>
                (cluster: Cluster) =>
                    void cluster.readFleet(cluster.poolAt(index), age),
        ),
    },
    { weight: 3, arbitrary: onPool((cluster, pool) => cluster.report(pool)) },
    {
        weight: 3,
        arbitrary: onPool((cluster, pool) => {
            cluster.report(pool);
            pool.readRow = pool.rows.length - 1;
        }),
    },
    { weight: 2, arbitrary: onPool((cluster, pool) => cluster.takePoolOver(pool)) },
    { weight: 2, arbitrary: onPool((unused, pool) => void (pool.allowance = withRunsKnown(pool.allowance))) },
    {
        weight: 3,
        arbitrary: fc.tuple(fc.nat(4), fc.constantFrom(0, 10, 20)).map(([index, wanted]) => (cluster: Cluster) => {
            const pool = cluster.poolAt(index);
            pool.wanted = wanted;
            cluster.report(pool);
            pool.readRow = pool.rows.length - 1;
            return undefined;
        }),
    },
    {
        weight: 8,
        arbitrary: onPool((cluster, pool) =>
            cluster.start(pool, grantOf(pool.allowance, TENANT).cpu - cluster.knownRuns(pool)),
        ),
    },
    { weight: 3, arbitrary: onPool((unused, pool) => void (pool.running = 0)) },
);

test("what a tenant runs stays within its cap in any order of reads, rows, takeovers and starts", () => {
    let starts = 0;
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 4 }),
            fc.array(step, { minLength: 50, maxLength: 200 }),
            (pools, steps) => {
                const cluster = new Cluster(pools, 20);
                cluster.settle();
                steps.forEach(act => {
                    const running = act(cluster);
                    starts += running === undefined ? 0 : 1;
                    assert.ok((running ?? 0) <= 20, `${running} run`);
                });
            },
        ),
        { numRuns: 3000 },
    );
    assert.ok(starts > 3000, `${starts} starts`);
});

test("after any faults the whole cap reaches a pool that wants it", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 4 }), fc.array(step, { maxLength: 150 }), (pools, steps) => {
            const cluster = new Cluster(pools, 20);
            cluster.settle();
            steps.forEach(act => void act(cluster));
            cluster.pools.forEach(pool => {
                pool.allowance = withRunsKnown(pool.allowance);
                pool.running = 0;
                pool.wanted = 0;
            });
            cluster.poolAt(0).wanted = 20;
            cluster.settle(12);
            assert.equal(cluster.start(cluster.poolAt(0), 20), 20);
        }),
        { numRuns: 1000 },
    );
});

interface Row {
    readonly pool: PoolName;
    /** Undefined if the row was not read. */
    readonly wanted: number | undefined;
}

/** Divides until the pools have acknowledged all changes; each holds its grant and needs 1,000 at once. */
const divideFor = (before: Allowances, cap: number, rows: readonly Row[]): Allowances =>
    Array.from({ length: 20 }).reduce<Allowances>((division, unused) => {
        const use = (pool: PoolName, wanted: number): PoolUse => ({
            acknowledged: division.revision,
            tenants: [{ tenant: TENANT, held: grantedTo(division, pool), wanted: amount(wanted), unit: amount(1000) }],
        });
        return divideCaps(division, {
            caps: new Map([[TENANT, amount(cap)]]),
            pools: rows.map(({ pool, wanted }) => ({ pool, use: wanted === undefined ? "unread" : use(pool, wanted) })),
            token: 1,
        });
    }, before);

const grantedTo = ({ entries }: Allowances, pool: PoolName): Resources =>
    entries.find(entry => entry.pool === pool)?.granted ?? amount(0);

test("a pool with one task that is smaller than the least change gets it from a pool that has and wants all", () => {
    const [small, large] = [poolName(0), poolName(1)];
    const all = divideFor(NO_ALLOWANCES, 100_000, [
        { pool: small, wanted: 0 },
        { pool: large, wanted: 200_000 },
    ]);
    assert.deepEqual(grantedTo(all, large), amount(100_000));
    const shared = divideFor(all, 100_000, [
        { pool: small, wanted: 1000 },
        { pool: large, wanted: 200_000 },
    ]);
    assert.deepEqual(grantedTo(shared, small), amount(1000));
    assert.deepEqual(grantedTo(shared, large), amount(99_000));
});

test("a pool that leaves the configuration before its row was read takes nothing from the others", () => {
    const [stays, leaves] = [poolName(0), poolName(1)];
    const added = divideFor(divideFor(NO_ALLOWANCES, 100_000, [{ pool: stays, wanted: 90_000 }]), 100_000, [
        { pool: stays, wanted: 90_000 },
        { pool: leaves, wanted: undefined },
    ]);
    const removed = divideFor(added, 100_000, [{ pool: stays, wanted: 90_000 }]);
    assert.equal(grantedTo(removed, stays).cpu >= 90_000, true);
});
