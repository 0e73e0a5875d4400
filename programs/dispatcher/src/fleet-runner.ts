import { periodic } from "most";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import { VACATE_WITHIN_MS } from "@almondusher/scheduler/demand";
import { createVmClient, type ListedVm } from "@almondusher/platform-adapter/vm-client";
import { planMaintenance, type FleetVm, type MaintenanceOrder, type Wave } from "@almondusher/upkeep/maintenance";
import { isFleetShort, planMoves, type Move, type MoveTables, type PoolNeed } from "@almondusher/upkeep/moves";
import { createSurgeForecast, forecastNeeds, type PoolDemand } from "@almondusher/upkeep/surge-forecast";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import { leaseAgeMs, type HeldLease, type LeaseKeeper } from "./lease-keeper.js";
import { emptyLeaseContent, type LeaseContent, type LeaseRecord } from "./lease-rows.js";
import type { OperatorFeed, SeenWave } from "./operator-feed.js";
import { createWaveStatus } from "./wave-status.js";
import { sendOrder, type OrderOutcome, type OrderPurpose, type VmOrder } from "./vm-orders.js";

/** The fleet manager, while its lease is held. */
export interface FleetRunner {
    readonly kind: "fleet";
    readonly content: () => LeaseContent;
    readonly stop: () => Promise<void>;
}

/** Options of the fleet manager. */
export interface FleetRunnerOptions {
    readonly context: DispatcherContext;
    readonly lease: HeldLease;
    readonly operator: OperatorFeed;
    readonly keeper: LeaseKeeper;
    readonly renewSoon: () => void;
}

interface FleetEvacuation {
    readonly id: string;
    readonly byMs: number;
    readonly purpose: OrderPurpose["kind"];
    /** Stored before an order is sent, so that a successor knows of it. */
    ordered: boolean;
}

/** What the plan of a wave needs to know of the pools. */
interface WaveView {
    readonly vacated: ReadonlySet<VmId>;
    /** VMs whose tasks would lose work if they were vacated now. */
    readonly losing: ReadonlySet<VmId>;
    /** The pools want more VMs than there are. */
    readonly fleetShort: boolean;
}

const TICK_MS = 100;
const LIST_MS = 500;
// Lease rows of pools are trusted for this long; a pool without a scheduler vacates nothing.
const POOL_FRESH_MS = 2500;
// Holders that lost touch with the store order nothing; a successor may have begun.
const UNCONFIRMED_MS = 2500;
// Orders that were not answered may be carried out up to this much later.
const LATE_ORDER_MS = 13_000;
const RETURN_MARGIN_MS = 300;
const MS_PER_SECOND = 1000;

/** Starts managing VMs. */
export const runFleet = (options: FleetRunnerOptions): FleetRunner => {
    const { context, lease, operator, keeper } = options;
    const client = createVmClient({
        address: context.settings.vmServiceAddress,
        holder: context.vm,
        fencingToken: lease.epoch,
    });
    const waves = new Map<number, Wave>();
    const orders = new Map<VmId, VmOrder>();
    // Those of a predecessor with an order stand for a while, since the order may still arrive.
    const evacuations = new Map<VmId, FleetEvacuation>(
        (lease.predecessor?.evacuations ?? []).map(({ vm, id, byMs, ordered }) => [
            vm,
            { id, byMs, ordered, purpose: "maintenance" },
        ]),
    );
    const inheritedOrders = new Set([...evacuations].filter(([, { ordered }]) => ordered).map(([vm]) => vm));
    const inheritedUntilMs = context.steadyMs() + LATE_ORDER_MS;
    let vms: ReadonlyMap<VmId, FleetVm> = new Map();
    let listedAtMs = Number.NEGATIVE_INFINITY;
    let active = true;
    let evacuationCounter = 0;
    let lastNeeds = "";
    const forecast = createSurgeForecast();

    const mayAct = (): boolean => active && !lease.lost && leaseAgeMs(lease, context) < UNCONFIRMED_MS;
    const waveStatus = createWaveStatus({
        store: context.store,
        log: context.log,
        isActive: () => active && !lease.lost,
        mayPublish: mayAct,
        sleep,
    });
    const adoptWave = ({ request, seenAtMs }: SeenWave): void => {
        if (waves.has(request.wave)) {
            return;
        }
        const begun = lease.predecessor?.maintained.find(({ wave }) => wave === request.wave)?.vms ?? [];
        waves.set(request.wave, {
            number: request.wave,
            vms: request.vms,
            maxConcurrent: request.maxConcurrent,
            dueAtMs: seenAtMs + request.withinMs,
            begun: new Set(begun),
            completed: false,
        });
        // A wave that the former fleet manager has ended stays completed.
        if (request.vms.some(vm => !begun.includes(vm))) {
            waveStatus.publish(request.wave, "running");
        }
    };
    const openWaves = (): readonly Wave[] => [...waves.values()].filter(({ completed }) => !completed);
    const listVms = async (): Promise<void> => {
        while (active) {
            const sentAtMs = context.steadyMs();
            const listing = await client.list();
            if (listing.kind === "listed") {
                vms = new Map(
                    listing.vms.map(({ id, pool, condition }) => [id, { id, pool, condition: conditionOf(condition) }]),
                );
                listedAtMs = sentAtMs;
            }
            await sleep(LIST_MS);
        }
    };
    const sparePools = (): readonly PoolName[] =>
        (operator.configuration()?.pools ?? []).filter(pool => pool.spare).map(({ name }) => name);
    const poolRecords = (): readonly PoolRecord[] =>
        (operator.configuration()?.pools ?? []).map(({ name }) => ({
            pool: name,
            record: keeper.current({ kind: "pool", pool: name }, POOL_FRESH_MS),
        }));
    /** VMs that an order of the predecessor may still reach. */
    const lateOrders = (): readonly VmId[] =>
        context.steadyMs() < inheritedUntilMs ? [...inheritedOrders].filter(vm => evacuations.has(vm)) : [];
    const send = async (vm: VmId, purpose: OrderPurpose): Promise<void> => {
        const order: VmOrder = { purpose, sentAtMs: context.steadyMs(), confirmedAtMs: undefined };
        orders.set(vm, order);
        const evacuation = evacuations.get(vm) ?? addEvacuation(vm, purpose.kind);
        evacuation.ordered = true;
        if (!(await keeper.renewNow(lease))) {
            // Nothing was sent; the next tick plans again.
            orders.delete(vm);
            return;
        }
        settle(vm, order, await sendOrder({ context, client, vm, order, mayAct }));
    };
    const settle = (vm: VmId, order: VmOrder, outcome: OrderOutcome): void => {
        switch (outcome) {
            case "confirmed":
                order.confirmedAtMs = context.steadyMs();
                // The former executor has ended; the next one is free to take work as soon as it registers.
                evacuations.delete(vm);
                noteMaintained(vm, order.purpose);
                options.renewSoon();
                break;
            case "unneeded":
                noteMaintained(vm, order.purpose);
                orders.delete(vm);
                evacuations.delete(vm);
                break;
            case "fenced":
                options.renewSoon();
                orders.delete(vm);
                break;
            case "refused":
                orders.delete(vm);
                break;
            case "given-up":
                break;
        }
    };
    const noteMaintained = (vm: VmId, purpose: OrderPurpose): void => {
        if (purpose.kind === "maintenance") {
            waves.get(purpose.wave)?.begun.add(vm);
        }
    };
    const awaitedByWave = (): ReadonlySet<VmId> =>
        new Set(openWaves().flatMap(wave => wave.vms.filter(vm => !wave.begun.has(vm))));
    const planWaves = ({ vacated, losing, fleetShort }: WaveView): void => {
        const plan = planMaintenance(
            {
                vms,
                listedAtMs,
                spare: new Set(sparePools()),
                waves: [...waves.values()],
                orders: maintenanceOrders(orders),
                engaged: new Set(orders.keys()),
                evacuations: new Set(evacuations.keys()),
                vacated,
                losing,
                presumedDown: new Set(lateOrders().filter(vm => !orders.has(vm))),
            },
            {
                nowMs: context.steadyMs(),
                maintenanceMs: context.settings.maintenanceSeconds * MS_PER_SECOND,
                fleetShort,
            },
        );
        plan.release.forEach(release);
        plan.evacuate.forEach(vm => evacuate(vm, "maintenance"));
        plan.order.forEach(({ vm, wave }) => void send(vm, { kind: "maintenance", wave }));
        plan.completed.forEach(number => {
            const wave = waves.get(number);
            if (wave !== undefined) {
                wave.completed = true;
                waveStatus.publish(number, "completed");
            }
        });
    };
    const addEvacuation = (vm: VmId, purpose: FleetEvacuation["purpose"]): FleetEvacuation => {
        evacuationCounter++;
        const evacuation: FleetEvacuation = {
            id: `${lease.epoch}-${evacuationCounter}`,
            byMs: context.store.nowMs() + VACATE_WITHIN_MS,
            purpose,
            ordered: false,
        };
        evacuations.set(vm, evacuation);
        return evacuation;
    };
    const evacuate = (vm: VmId, purpose: FleetEvacuation["purpose"]): void => {
        addEvacuation(vm, purpose);
        context.log("vm-evacuate", { vm, pool: vms.get(vm)?.pool, purpose });
        options.renewSoon();
    };
    const release = (vm: VmId): void => {
        orders.delete(vm);
        if (evacuations.delete(vm)) {
            options.renewSoon();
        }
    };
    const logNeeds = (forecasted: readonly PoolNeed[], needs: readonly PoolDemand[]): void => {
        const sizes = poolSizes(vms);
        const pools = forecasted.map(({ pool, wantedVms }, index) => ({
            pool,
            size: sizes.get(pool) ?? 0,
            wanted: needs[index]?.wantedVms,
            target: wantedVms,
        }));
        const text = JSON.stringify(pools);
        if (text !== lastNeeds) {
            lastNeeds = text;
            context.log("pool-needs", { pools });
        }
    };
    const forecastFor = (records: readonly PoolRecord[]): readonly PoolNeed[] => {
        const needs = records.map(toDemand).filter(need => need !== undefined);
        const forecasted = forecastNeeds(forecast, needs, poolSizes(vms), context.steadyMs());
        logNeeds(forecasted, needs);
        return forecasted;
    };
    const moveTables = (needs: readonly PoolNeed[], vacated: ReadonlySet<VmId>): MoveTables => {
        const leaving = new Set(
            [...evacuations].filter(([vm, { purpose }]) => purpose === "move" && !orders.has(vm)).map(([vm]) => vm),
        );
        return {
            vms,
            spare: sparePools()[0],
            needs,
            engaged: new Set([...orders.keys(), ...[...evacuations.keys()].filter(vm => !leaving.has(vm))]),
            leaving,
            vacated: new Set([...leaving].filter(vm => vacated.has(vm))),
            moving: movesOf(orders),
            awaitedByWave: awaitedByWave(),
        };
    };
    const moveVms = (tables: MoveTables): void => {
        const plan = planMoves(tables);
        plan.keep.filter(vm => !orders.has(vm)).forEach(release);
        plan.evacuate.forEach(vm => evacuate(vm, "move"));
        plan.moves.forEach(({ vm, to }) => void send(vm, { kind: "move", to }));
    };
    const releaseMoved = (): void => {
        const moveMs = context.settings.moveSeconds * MS_PER_SECOND + RETURN_MARGIN_MS;
        [...orders]
            .filter(([vm, { purpose, confirmedAtMs }]) => {
                const listed = vms.get(vm);
                return (
                    purpose.kind === "move" &&
                    confirmedAtMs !== undefined &&
                    listedAtMs > confirmedAtMs + moveMs &&
                    (listed === undefined || (listed.condition === "up" && listed.pool === purpose.to))
                );
            })
            .forEach(([vm]) => release(vm));
    };
    const dropSettledEvacuations = (): void => {
        const waiting = new Set([...awaitedByWave(), ...lateOrders()]);
        [...evacuations]
            .filter(([vm, { purpose }]) => purpose === "maintenance" && !waiting.has(vm) && !orders.has(vm))
            .forEach(([vm]) => release(vm));
    };
    const tick = (): void => {
        operator.waves().forEach(adoptWave);
        if (!mayAct() || vms.size === 0) {
            return;
        }
        const records = poolRecords();
        const vacatedIds = new Set(records.flatMap(({ record }) => record?.vacated ?? []));
        const vacated = new Set([...evacuations].filter(([, { id }]) => vacatedIds.has(id)).map(([vm]) => vm));
        releaseMoved();
        const needs = forecastFor(records);
        planWaves({
            vacated,
            losing: new Set(needs.flatMap(need => need.losing)),
            fleetShort: isFleetShort(moveTables(needs, vacated)),
        });
        dropSettledEvacuations();
        moveVms(moveTables(needs, vacated));
    };
    void periodic(TICK_MS)
        .takeWhile(() => active)
        .observe(tick);
    void listVms();
    return {
        kind: "fleet",
        content: () => ({
            ...emptyLeaseContent,
            evacuations: [...evacuations].map(([vm, { id, byMs, ordered }]) => ({ vm, id, byMs, ordered })),
            maintained: [...waves.values()].map(({ number, begun }) => ({ wave: number, vms: [...begun] })),
        }),
        stop: () => {
            active = false;
            client.close();
            return Promise.resolve();
        },
    };
};

interface PoolRecord {
    readonly pool: PoolName;
    readonly record: LeaseRecord | undefined;
}

const poolSizes = (vms: ReadonlyMap<VmId, FleetVm>): ReadonlyMap<PoolName, number> =>
    [...vms.values()].reduce(
        (sizes, { pool }) => sizes.set(pool, (sizes.get(pool) ?? 0) + 1),
        new Map<PoolName, number>(),
    );

const toDemand = ({ pool, record }: PoolRecord): PoolDemand | undefined =>
    record?.demand === undefined ? undefined : { pool, ...record.demand };

const maintenanceOrders = (orders: ReadonlyMap<VmId, VmOrder>): ReadonlyMap<VmId, MaintenanceOrder> =>
    new Map(
        [...orders].flatMap(([vm, { purpose, sentAtMs, confirmedAtMs }]) =>
            purpose.kind === "maintenance" ? [[vm, { wave: purpose.wave, sentAtMs, confirmedAtMs }] as const] : [],
        ),
    );

const movesOf = (orders: ReadonlyMap<VmId, VmOrder>): readonly Move[] =>
    [...orders].flatMap(([vm, { purpose }]) => (purpose.kind === "move" ? [{ vm, to: purpose.to }] : []));

const conditionOf = (condition: ListedVm["condition"]): FleetVm["condition"] => {
    switch (condition) {
        case "up":
        case "down":
            return condition;
        case "moving":
        case "upkeep":
            return "returning";
    }
};
