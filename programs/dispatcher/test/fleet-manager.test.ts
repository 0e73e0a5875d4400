import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { toId, type PoolName, type VmId } from "@almondusher/fleet/ids";
import { initialRunNumbers } from "@almondusher/scheduler/run-numbers";
import type { DispatcherContext } from "../src/process/dispatcher-context.js";
import { startFleetManager, type FleetManager } from "../src/fleet/fleet-manager.js";
import type { HeldLease } from "../src/leases/held-lease.js";
import type { LeaseManager } from "../src/leases/lease-manager.js";
import { emptyLeaseContent, type LeaseRecord } from "../src/leases/lease-rows.js";
import type { OperatorFeed, RequestedWave } from "../src/operator/operator-feed.js";

const POOL_A = toId<PoolName>("pool-a");
const POOL_B = toId<PoolName>("pool-b");
const SPARE_POOL = toId<PoolName>("pool-spare");
const VM = toId<VmId>("vm-1");
/** A VM that is always listed with the first one, in `POOL_B`, and about which nothing is decided. */
const OTHER_VM = toId<VmId>("vm-2");
const EPOCH = 5;
const TIMEOUT_MS = 5000;
const LIST_TIMEOUT_MS = 1000;
const TICK_MS = 100;
// Longer than several ticks of the fleet manager.
const SEVERAL_TICKS_MS = 500;
// Longer than several intervals between lists.
const SEVERAL_LISTS_MS = 1500;
// Longer than an unanswered order may take to be carried out.
const LATE_ORDER_MS = 60_000;

interface StartedFleet {
    readonly manager: FleetManager;
    /** Paths of the orders that the VM service has received. */
    readonly orders: readonly string[];
    readonly lists: () => number;
    /** Pool in which the VM is listed; the list fails if undefined. */
    listedPool: PoolName | undefined;
    /** Number of next lists that get no answer. */
    unansweredLists: number;
    /** Time that a list takes, in milliseconds. */
    listMs: number;
    /** Orders are rejected, since the VM is busy. */
    busy: boolean;
    /** State in which the VM is listed. */
    listedState: string;
    /** Number of further VMs that are listed as spare. */
    spareVms: number;
    /** True if orders get no answer. */
    ordersUnanswered: boolean;
    /** Status of the answers to orders. */
    orderStatus: number;
    /** True if transactions fail. */
    isStoreDown: boolean;
    /** False while the operator's rows were not read. */
    isConfigurationRead: boolean;
    /** Rows that the fleet manager has stored, other than its lease. */
    readonly stored: readonly string[];
    /** Pool leases as the fleet manager reads them. */
    readonly records: Map<PoolName, LeaseRecord>;
    readonly waves: RequestedWave[];
    /** Adds to the monotonic clock. */
    advance: (ms: number) => void;
}

const recordOf = (change: Partial<LeaseRecord>): LeaseRecord => ({
    ...emptyLeaseContent,
    holder: toId<VmId>("entry-2"),
    process: undefined,
    epoch: 1,
    runNumbersUpTo: undefined,
    ...change,
});

/** Starts a fleet manager whose lease is always held, with one VM. */
const startFleet = async (
    context: TestContext,
    {
        listedPool,
        predecessor,
        isConfigurationRead = true,
    }: {
        readonly listedPool: PoolName | undefined;
        readonly predecessor?: LeaseRecord;
        readonly isConfigurationRead?: boolean;
    },
): Promise<StartedFleet> => {
    const orders: string[] = [];
    const stored: string[] = [];
    let lists = 0;
    let advancedMs = 0;
    const server = createServer((request, response) => {
        const answer = (status: number, body: object): void => {
            response.writeHead(status);
            response.end(JSON.stringify(body));
        };
        request.resume().on("end", () => {
            if (request.method === "POST") {
                orders.push(request.url ?? "");
                if (started.ordersUnanswered) {
                    return;
                }
                answer(started.busy ? 409 : started.orderStatus, started.busy ? { reason: "busy" } : {});
                return;
            }
            lists++;
            if (started.unansweredLists > 0) {
                started.unansweredLists--;
                return;
            }
            const pool = started.listedPool;
            const machines = [
                { machine: VM, pool, state: started.listedState, zone: "dc", id: "i-1" },
                { machine: OTHER_VM, pool: POOL_B, state: "up", zone: "dc", id: "i-2" },
                ...Array.from({ length: started.spareVms }, (unused, index) => ({
                    machine: `vm-spare-${index}`,
                    pool: SPARE_POOL,
                    state: "up",
                    zone: "dc",
                    id: `i-spare-${index}`,
                })),
            ];
            setTimeout(
                () => answer(pool === undefined ? 503 : 200, pool === undefined ? {} : { machines }),
                started.listMs,
            );
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const lease: HeldLease = {
        subject: { kind: "fleet" },
        epoch: EPOCH,
        runNumbers: initialRunNumbers(EPOCH),
        predecessor,
        predecessorEnded: false,
        unrenewedMs: 0,
        inheritedRunsUntilMs: 0,
        renewedAtMs: Infinity,
        renewedWallMs: Infinity,
        version: 1,
        lost: false,
    };
    const records = new Map<PoolName, LeaseRecord>();
    const waves: RequestedWave[] = [];
    const pools = [POOL_A, POOL_B, SPARE_POOL].map(name => ({ name, spare: name === SPARE_POOL }));
    const manager = startFleetManager({
        context: {
            settings: {
                vmServiceAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`,
                vmOrderFencing: { kind: "enforced" },
                moveSeconds: 1,
                maintenanceSeconds: 1,
            },
            vm: toId<VmId>("entry-1"),
            monotonicMs: () => performance.now() + advancedMs,
            log: () => undefined,
            metrics: { count: () => undefined },
            store: {
                nowMs: () => 0,
                transact: ({ writes }: { readonly writes: readonly { readonly value: string }[] }) => {
                    if (started.isStoreDown) {
                        return Promise.resolve({ kind: "not-run", reason: "status 503" });
                    }
                    stored.push(...writes.map(({ value }) => value));
                    return Promise.resolve({ kind: "committed", version: 1, nowMs: 0 });
                },
            },
        } as unknown as DispatcherContext,
        lease,
        operator: {
            configuration: () => (started.isConfigurationRead ? { pools, tenants: [] } : undefined),
            waves: () => waves,
        } as unknown as OperatorFeed,
        leases: {
            freshRecord: ({ pool }: { readonly pool: PoolName }) => records.get(pool),
            renew: () => Promise.resolve(true),
        } as unknown as LeaseManager,
        requestRenewal: () => undefined,
    });
    context.after(async () => {
        await manager.stop();
        server.closeAllConnections();
        server.close();
    });
    const started: StartedFleet = {
        manager,
        orders,
        lists: () => lists,
        listedPool,
        unansweredLists: 0,
        listMs: 0,
        busy: false,
        listedState: "up",
        spareVms: 0,
        ordersUnanswered: false,
        orderStatus: 200,
        isStoreDown: false,
        isConfigurationRead,
        stored,
        records,
        waves,
        advance: ms => (advancedMs += ms),
    };
    return started;
};

const waitUntil = async (what: string, check: () => boolean): Promise<void> => {
    const endMs = performance.now() + TIMEOUT_MS;
    while (!check()) {
        assert.ok(performance.now() < endMs, `${what}: not within ${TIMEOUT_MS} ms`);
        await sleep(5);
    }
};

// The registration of the executor that ended with the move lasts for some seconds, so the former pool still has an entry for
// the VM, without runs.
test("a VM is not maintained because the pool that it was moved from reports it as evacuated", async context => {
    const fleet = await startFleet(context, { listedPool: POOL_B });
    const request = { wave: 1, vms: [VM], withinMs: 60_000, maxConcurrent: 1 };
    fleet.waves.push({ request, firstReadAtMs: performance.now() });
    await waitUntil("the evacuation", () => fleet.manager.leaseContent().evacuations.length > 0);
    const [evacuation] = fleet.manager.leaseContent().evacuations;
    assert.ok(evacuation !== undefined);
    fleet.records.set(POOL_A, recordOf({ vacated: [evacuation.id] }));
    fleet.records.set(POOL_B, recordOf({}));
    await sleep(SEVERAL_TICKS_MS);
    assert.deepEqual(fleet.orders, [], "ordered while the VM's own pool has runs there");
    fleet.records.set(POOL_B, recordOf({ vacated: [evacuation.id] }));
    await waitUntil("the order", () => fleet.orders.length > 0);
    assert.deepEqual(fleet.orders, ["/-/machine-upkeep"]);
});

// The order of the former fleet manager may have moved the VM into a pool since that list was read. Without the evacuation the
// pool starts tasks there, and a VM that the old list shows as spare counts as empty.
test("an evacuation with an order of the former fleet manager is not dropped on a list from before the order's last time", async context => {
    const fleet = await startFleet(context, {
        listedPool: SPARE_POOL,
        predecessor: recordOf({
            evacuations: [{ vm: VM, id: "4-1", byMs: 0, ordered: true, orderedUntilMs: undefined }],
        }),
    });
    await waitUntil("the first list", () => fleet.lists() > 0);
    await sleep(SEVERAL_TICKS_MS / 2);
    fleet.listedPool = undefined;
    fleet.advance(LATE_ORDER_MS);
    const demand = { neededVms: 1, wantedVms: 1, removable: [], losing: [] };
    fleet.records.set(POOL_A, recordOf({ demand }));
    await sleep(SEVERAL_LISTS_MS);
    assert.deepEqual(
        fleet.manager.leaseContent().evacuations.map(({ id }) => id),
        ["4-1"],
    );
    assert.deepEqual(fleet.orders, [], "moved a VM that an old list shows as spare");
    fleet.listedPool = POOL_A;
    await waitUntil("the end of the evacuation", () => fleet.manager.leaseContent().evacuations.length === 0);
    assert.deepEqual(fleet.orders, []);
});

test("a VM whose row in the list cannot be read has not left the fleet, so that its wave is not completed without it", async context => {
    const fleet = await startFleet(context, { listedPool: POOL_A });
    fleet.listedState = "resting";
    const request = { wave: 1, vms: [VM], withinMs: 60_000, maxConcurrent: 1 };
    fleet.waves.push({ request, firstReadAtMs: performance.now() });
    const listsBefore = fleet.lists();
    await waitUntil("several lists", () => fleet.lists() >= listsBefore + 4);
    await sleep(SEVERAL_TICKS_MS);
    assert.deepEqual(
        fleet.stored.filter(value => value.includes("completed")),
        [],
    );
});

// Tasks waited for as long as the service was silent, beside VMs that were empty and evacuated.
test("VMs that were evacuated get work again while the VM service carries out no orders", async context => {
    const fleet = await startFleet(context, { listedPool: POOL_B });
    const request = { wave: 1, vms: [VM], withinMs: 60_000, maxConcurrent: 1 };
    fleet.waves.push({ request, firstReadAtMs: performance.now() });
    const evacuated = (): number => fleet.manager.leaseContent().evacuations.length;
    await waitUntil("the evacuation", () => evacuated() > 0);
    fleet.listedPool = undefined;
    await waitUntil("the end of the evacuation", () => evacuated() === 0);
    await sleep(SEVERAL_LISTS_MS);
    assert.equal(evacuated(), 0, "evacuated for an order that would not be carried out");
    fleet.listedPool = POOL_B;
    await waitUntil("the evacuation once the service answers again", () => evacuated() > 0);
    assert.deepEqual(fleet.orders, []);
});

// Tasks that were stopped for the evacuation lost their work for nothing.
test("a VM stays evacuated if one list of VMs gets no answer in time", async context => {
    const fleet = await startFleet(context, { listedPool: POOL_B });
    const request = { wave: 1, vms: [VM], withinMs: 60_000, maxConcurrent: 1 };
    fleet.waves.push({ request, firstReadAtMs: performance.now() });
    const evacuationIds = (): readonly string[] => fleet.manager.leaseContent().evacuations.map(({ id }) => id);
    await waitUntil("the evacuation", () => evacuationIds().length > 0);
    const [id] = evacuationIds();
    fleet.listMs = 2 * TICK_MS;
    fleet.unansweredLists = 1;
    await waitUntil("the list without an answer", () => fleet.unansweredLists === 0);
    const endMs = performance.now() + LIST_TIMEOUT_MS + SEVERAL_LISTS_MS;
    while (performance.now() < endMs) {
        assert.deepEqual(evacuationIds(), [id]);
        await sleep(5);
    }
});

// The VMs stayed without work for as long as the service was silent.
test("evacuations of the former fleet manager end while the VM service has answered none of its calls", async context => {
    const fleet = await startFleet(context, {
        listedPool: undefined,
        predecessor: recordOf({
            evacuations: [{ vm: VM, id: "4-1", byMs: 0, ordered: false, orderedUntilMs: undefined }],
        }),
    });
    await waitUntil("several lists", () => fleet.lists() >= 3);
    fleet.advance(LATE_ORDER_MS);
    await waitUntil("the end of the evacuation", () => fleet.manager.leaseContent().evacuations.length === 0);
});

// The service accepts a bounded number of orders from all processes together.
test("an order for a VM that is busy is not sent again in each tick", async context => {
    const fleet = await startFleet(context, { listedPool: SPARE_POOL });
    fleet.busy = true;
    const request = { wave: 1, vms: [VM], withinMs: 60_000, maxConcurrent: 1 };
    fleet.waves.push({ request, firstReadAtMs: performance.now() });
    await waitUntil("the first order", () => fleet.orders.length > 0);
    await sleep(10 * TICK_MS);
    assert.ok(fleet.orders.length <= 5, `${fleet.orders.length} orders in 10 ticks`);
});

// Its tasks would be stopped again and again, for an order that is not carried out.
test("a VM whose order is rejected as overloaded for long serves its pool again for a while", async context => {
    const fleet = await startFleet(context, { listedPool: POOL_B });
    fleet.orderStatus = 503;
    const request = { wave: 1, vms: [VM], withinMs: 600_000, maxConcurrent: 1 };
    fleet.waves.push({ request, firstReadAtMs: performance.now() });
    const evacuations = (): readonly { readonly id: string }[] => fleet.manager.leaseContent().evacuations;
    await waitUntil("the evacuation", () => evacuations().length > 0);
    fleet.records.set(POOL_B, recordOf({ vacated: evacuations().map(({ id }) => id) }));
    await waitUntil("the repeated order", () => fleet.orders.length > 1);
    fleet.advance(LATE_ORDER_MS);
    await waitUntil("the end of the evacuation", () => evacuations().length === 0);
    const sent = fleet.orders.length;
    await sleep(SEVERAL_LISTS_MS);
    assert.deepEqual(evacuations(), [], "evacuated again at once");
    assert.equal(fleet.orders.length, sent, "sent although the order was given up");
    fleet.advance(LATE_ORDER_MS);
    await waitUntil("the next evacuation", () => evacuations().length > 0);
});

test("a spare VM whose move is rejected as overloaded for long gets no order for a while", async context => {
    const fleet = await startFleet(context, { listedPool: SPARE_POOL });
    fleet.orderStatus = 503;
    const demand = { neededVms: 1, wantedVms: 1, removable: [], losing: [] };
    fleet.records.set(POOL_A, recordOf({ demand }));
    await waitUntil("the repeated order", () => fleet.orders.length > 1);
    fleet.advance(LATE_ORDER_MS);
    await waitUntil("the end of the order", () => fleet.manager.leaseContent().evacuations.length === 0);
    const sent = fleet.orders.length;
    await sleep(SEVERAL_LISTS_MS);
    assert.equal(fleet.orders.length, sent);
    fleet.orderStatus = 200;
    fleet.advance(LATE_ORDER_MS);
    await waitUntil("the next order", () => fleet.orders.length > sent);
});

test("a VM whose move out of its pool is rejected as overloaded for long serves the pool again for a while", async context => {
    const fleet = await startFleet(context, { listedPool: POOL_A });
    fleet.orderStatus = 503;
    const demand = { neededVms: 0, wantedVms: 0, removable: [VM], losing: [] };
    fleet.records.set(POOL_A, recordOf({ demand }));
    fleet.records.set(POOL_B, recordOf({ demand: { neededVms: 2, wantedVms: 2, removable: [], losing: [] } }));
    const evacuations = (): readonly { readonly id: string }[] => fleet.manager.leaseContent().evacuations;
    await waitUntil("the evacuation", () => evacuations().length > 0);
    fleet.records.set(POOL_A, recordOf({ demand, vacated: evacuations().map(({ id }) => id) }));
    await waitUntil("the repeated order", () => fleet.orders.length > 1);
    fleet.advance(LATE_ORDER_MS);
    await waitUntil("the end of the evacuation", () => evacuations().length === 0);
    const sent = fleet.orders.length;
    await sleep(SEVERAL_LISTS_MS);
    assert.deepEqual({ evacuations: evacuations(), sent: fleet.orders.length }, { evacuations: [], sent });
    fleet.advance(LATE_ORDER_MS);
    await waitUntil("the next evacuation", () => evacuations().length > 0);
});

// A successor waits for each order that may have been sent, and these VMs serve nobody meanwhile.
test("VMs whose orders wait for a connection are not stored as ordered", async context => {
    const SPARE_VMS = 40;
    const MAX_ORDERED = 12;
    const fleet = await startFleet(context, { listedPool: POOL_B });
    fleet.spareVms = SPARE_VMS;
    fleet.ordersUnanswered = true;
    const demand = { neededVms: SPARE_VMS, wantedVms: SPARE_VMS, removable: [], losing: [] };
    fleet.records.set(POOL_A, recordOf({ demand }));
    await waitUntil("the first order", () => fleet.orders.length > 0);
    await sleep(SEVERAL_TICKS_MS);
    const ordered = fleet.manager.leaseContent().evacuations.filter(evacuation => evacuation.ordered);
    assert.ok(ordered.length <= MAX_ORDERED, `${ordered.length} VMs`);
    fleet.ordersUnanswered = false;
    await waitUntil("all orders", () => new Set(fleet.orders).size > 0 && fleet.orders.length >= SPARE_VMS);
});

const requestOf = (wave: number): RequestedWave => ({
    request: { wave, vms: [VM], withinMs: 60_000, maxConcurrent: 1 },
    firstReadAtMs: performance.now(),
});

test("a successor does not maintain the VMs of a completed wave again, although the row no longer names them", async context => {
    const fleet = await startFleet(context, {
        listedPool: SPARE_POOL,
        predecessor: recordOf({ completedWaves: [[1, 2]] }),
    });
    fleet.waves.push(requestOf(2), requestOf(3));
    await waitUntil("the order of the next wave", () => fleet.orders.length > 0);
    await waitUntil("the completion", () => fleet.stored.some(value => value.includes("completed")));
    assert.deepEqual(fleet.orders, ["/-/machine-upkeep"]);
    assert.ok(!fleet.stored.some(value => value.includes('"wave":2')), "the completed wave is published again");
    await waitUntil("the record", () => fleet.manager.leaseContent().completedWaves.length > 0);
    assert.deepEqual(fleet.manager.leaseContent().completedWaves, [[1, 3]]);
});

// Otherwise nobody publishes it after a takeover.
test("a wave does not count as completed in the row before its completion is stored", async context => {
    const fleet = await startFleet(context, { listedPool: SPARE_POOL });
    fleet.isStoreDown = true;
    fleet.waves.push(requestOf(1));
    const maintained = (): readonly VmId[] => fleet.manager.leaseContent().maintained.flatMap(({ vms }) => vms);
    await waitUntil("the maintenance", () => maintained().length > 0);
    await sleep(SEVERAL_TICKS_MS);
    assert.deepEqual(fleet.manager.leaseContent().completedWaves, []);
    assert.deepEqual(maintained(), [VM]);
    fleet.isStoreDown = false;
    await waitUntil("the record", () => fleet.manager.leaseContent().completedWaves.length > 0);
    assert.ok(fleet.stored.some(value => value.includes("completed")));
});

test("a successor completes a wave whose VMs were all maintained but whose completion was not stored", async context => {
    const fleet = await startFleet(context, {
        listedPool: SPARE_POOL,
        predecessor: recordOf({ maintained: [{ wave: 1, vms: [VM] }] }),
    });
    fleet.waves.push(requestOf(1));
    await waitUntil("the completion", () => fleet.stored.some(value => value.includes("completed")));
    assert.deepEqual(fleet.orders, []);
    assert.deepEqual(fleet.manager.leaseContent().completedWaves, [[1, 1]]);
});

test("a fleet manager that has not read the operator's rows yet keeps what was maintained", async context => {
    const maintained = [{ wave: 1, vms: [VM] }];
    const fleet = await startFleet(context, {
        listedPool: SPARE_POOL,
        predecessor: recordOf({ maintained }),
        isConfigurationRead: false,
    });
    await sleep(SEVERAL_TICKS_MS);
    assert.deepEqual(fleet.manager.leaseContent().maintained, maintained);
    fleet.isConfigurationRead = true;
    const isDropped = (): boolean => fleet.manager.leaseContent().maintained.length === 0;
    await waitUntil("the end of an entry without a request", isDropped);
});
