import { periodic } from "most";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import { createVmClient, type ListedVm } from "@almondusher/platform-adapter/vm-client";
import { planMaintenance, type FleetVm, type Wave } from "@almondusher/upkeep/maintenance";
import { isFleetShort, planMoves, type MoveTables, type PoolNeed } from "@almondusher/upkeep/moves";
import { createSurgeForecast, forecastNeeds, type ReportedPoolNeed } from "@almondusher/upkeep/surge-forecast";
import { containErrors, repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { leaseAgeMs, type HeldLease } from "../leases/held-lease.js";
import type { LeaseManager } from "../leases/lease-manager.js";
import { emptyLeaseContent, type LeaseContent, type LeaseRecord } from "../leases/lease-rows.js";
import type { OperatorFeed, RequestedWave } from "../operator/operator-feed.js";
import { createCapDivision } from "./divide-allowances.js";
import { createFleetEvacuations, type FleetEvacuation } from "./fleet-evacuations.js";
import { createFleetOrders } from "./fleet-orders.js";
import { maintainedVmsToStore } from "./maintained-vms.js";
import { addToRanges, isInRanges } from "@almondusher/fleet/number-ranges";
import { createWaveStatusPublisher } from "./wave-status-publisher.js";
import { orderTimeoutMs } from "./vm-order-limits.js";

/** Maintains VMs and moves them between pools while this process holds the fleet lease. */
export interface FleetManager {
    readonly kind: "fleet";
    readonly leaseContent: () => LeaseContent;
    readonly stop: () => Promise<void>;
}

export interface FleetManagerOptions {
    readonly context: DispatcherContext;
    readonly lease: HeldLease;
    readonly operator: OperatorFeed;
    readonly leases: LeaseManager;
    /** Requests a lease renewal without waiting for the next periodic one. */
    readonly requestRenewal: () => void;
}

/** State of the pools that maintenance planning depends on. */
interface MaintenancePlanInput {
    /** VMs that are being evacuated and have no runs left. */
    readonly vacated: ReadonlySet<VmId>;
    /** VMs whose tasks would lose work if the VMs were evacuated now. */
    readonly losing: ReadonlySet<VmId>;
    /** True if the pools want more VMs than are available. */
    readonly fleetShort: boolean;
}

const TICK_INTERVAL_MS = 100;
const LIST_INTERVAL_MS = 500;
// The VM service counts as silent if this many successive lists have failed and the last one is older than this age.
const FAILED_LISTS_UNTIL_SILENT = 2;
const MAX_LIST_AGE_MS = 2000;
// A VM has left the fleet if this many successive complete lists lack it.
const LISTS_TO_TELL_A_DEPARTURE = 2;
// Pool leases that were renewed longer ago are ignored: without a scheduler, VMs that the pool has evacuated may not
// stay empty, and its demand is outdated.
const MAX_POOL_RECORD_AGE_MS = 2500;
// Added to the configured duration of a move before the list of VMs is expected to show the VM in its new pool.
const MOVE_MARGIN_MS = 300;
const MS_PER_SECOND = 1000;

/** Starts managing VMs under a lease that was just acquired. */
export const startFleetManager = (options: FleetManagerOptions): FleetManager => {
    const { context, lease, operator, leases } = options;
    const client = createVmClient({
        address: context.settings.vmServiceAddress,
        holder: context.vm,
        fencingToken: lease.epoch,
    });
    const inherited: LeaseContent = lease.predecessor ?? emptyLeaseContent;
    const waves = new Map<number, Wave>();
    let completedWaves = inherited.completedWaves;
    const evacuations = createFleetEvacuations({ context, lease });
    let vms: ReadonlyMap<VmId, FleetVm> = new Map();
    let lastListedAtMs = Number.NEGATIVE_INFINITY;
    let lastListReceivedAtMs = Number.NEGATIVE_INFINITY;
    let failedLists = 0;
    let wasServiceSilent = false;
    /** The last lists without rows that could not be read; one that has some does not show that a VM has left. */
    let lastCompleteLists: readonly VmList[] = [];
    let active = true;
    let areWavesRead = false;
    let lastLoggedNeeds = "";
    const forecast = createSurgeForecast();
    const capDivision = createCapDivision({ context, lease, operator, leases, requestRenewal: options.requestRenewal });

    const isActive = (): boolean => active && !lease.lost;
    const timeoutMs = (): number => orderTimeoutMs(context.settings.vmOrderFencing, leaseAgeMs(lease, context));
    const mayAct = (): boolean => isActive() && timeoutMs() > 0;
    const waveStatus = createWaveStatusPublisher({
        store: context.store,
        log: context.log,
        isActive,
        mayPublish: mayAct,
        sleep,
        onCompletionStored: wave => (completedWaves = addToRanges(completedWaves, wave)),
    });
    const addWave = ({ request, firstReadAtMs }: RequestedWave): void => {
        if (waves.has(request.wave) || isInRanges(completedWaves, request.wave)) {
            return;
        }
        const maintained = inherited.maintained.find(({ wave }) => wave === request.wave)?.vms ?? [];
        waves.set(request.wave, {
            number: request.wave,
            vms: request.vms,
            maxConcurrent: request.maxConcurrent,
            dueAtMs: firstReadAtMs + request.withinMs,
            requestedAtMs: firstReadAtMs,
            confirmed: new Set(maintained),
            completed: false,
        });
        // If the previous fleet manager has maintained all VMs of the wave, it may have published it as completed.
        if (request.vms.some(vm => !maintained.includes(vm))) {
            waveStatus.publish(request.wave, "running");
        }
    };
    const openWaves = (): readonly Wave[] => [...waves.values()].filter(({ completed }) => !completed);
    const listedAtMs = (): number => lastListedAtMs;
    const isServiceAnswering = (): boolean =>
        failedLists < FAILED_LISTS_UNTIL_SILENT || context.monotonicMs() - lastListReceivedAtMs < MAX_LIST_AGE_MS;
    const listsSinceMs = (): number =>
        lastCompleteLists.length < LISTS_TO_TELL_A_DEPARTURE
            ? Number.NEGATIVE_INFINITY
            : (lastCompleteLists[0]?.sentAtMs ?? Number.NEGATIVE_INFINITY);
    const pollVms = async (): Promise<void> => {
        const sentAtMs = context.monotonicMs();
        const listing = await client.list();
        failedLists = listing.kind === "listed" ? 0 : failedLists + 1;
        if (listing.kind === "listed") {
            vms = new Map(
                listing.vms.map(({ id, pool, condition }) => [id, { id, pool, condition: conditionOf(condition) }]),
            );
            lastListedAtMs = sentAtMs;
            lastListReceivedAtMs = context.monotonicMs();
            if (listing.complete) {
                lastCompleteLists = [...lastCompleteLists, { vms: [...vms.keys()], sentAtMs }].slice(
                    -LISTS_TO_TELL_A_DEPARTURE,
                );
            }
        }
        await sleep(LIST_INTERVAL_MS);
    };
    const sparePools = (): readonly PoolName[] =>
        (operator.configuration()?.pools ?? []).filter(pool => pool.spare).map(({ name }) => name);
    const poolRecords = (): readonly PoolRecord[] =>
        (operator.configuration()?.pools ?? []).map(({ name }) => ({
            pool: name,
            record: leases.freshRecord({ kind: "pool", pool: name }, MAX_POOL_RECORD_AGE_MS),
        }));
    // Only the pool that a VM belongs to knows its runs. The pool that it was moved from may still list an executor that ended
    // with the move, and so report the VM as evacuated.
    const vacatedVms = (records: readonly PoolRecord[]): ReadonlySet<VmId> => {
        const idsByPool = new Map(records.map(({ pool, record }) => [pool, new Set(record?.vacated ?? [])]));
        const isVacated = ([vm, { id }]: readonly [VmId, FleetEvacuation]): boolean => {
            const pool = vms.get(vm)?.pool;
            return pool !== undefined && (idsByPool.get(pool)?.has(id) ?? false);
        };
        return new Set([...evacuations.entries].filter(isVacated).map(([vm]) => vm));
    };
    const orders = createFleetOrders({
        context,
        lease,
        leases,
        client,
        evacuations,
        timeoutMs,
        isActive,
        isServiceAnswering,
        listedAtMs,
        requestRenewal: options.requestRenewal,
        onMaintained: (vm, wave) => waves.get(wave)?.confirmed.add(vm),
    });
    const vmsAwaitingMaintenance = (): ReadonlySet<VmId> =>
        new Set(openWaves().flatMap(wave => wave.vms.filter(vm => !wave.confirmed.has(vm))));
    const applyMaintenancePlan = ({ vacated, losing, fleetShort }: MaintenancePlanInput): void => {
        const plan = planMaintenance(
            {
                vms,
                listedAtMs: listedAtMs(),
                recentlyListed: new Set(lastCompleteLists.flatMap(list => list.vms)),
                listsSinceMs: listsSinceMs(),
                spare: new Set(sparePools()),
                waves: [...waves.values()],
                orders: orders.maintenance(),
                withPendingRequest: new Set(orders.entries.keys()),
                postponed: orders.postponed(),
                evacuations: new Set(evacuations.entries.keys()),
                withTimeToEmpty: new Set(evacuations.withTimeToEmpty()),
                vacated,
                losing,
                possiblyDown: new Set(
                    evacuations.withPendingInheritedOrder(listedAtMs()).filter(vm => !orders.entries.has(vm)),
                ),
            },
            {
                nowMs: context.monotonicMs(),
                maintenanceMs: context.settings.maintenanceSeconds * MS_PER_SECOND,
                fleetShort,
            },
        );
        completeWaves(plan.completed);
        if (isServiceAnswering()) {
            plan.release.forEach(releaseVm);
            plan.evacuate.forEach(vm => evacuateVm(vm, "maintenance"));
            plan.order.forEach(({ vm, wave }) => void orders.send(vm, { kind: "maintenance", wave }));
        }
    };
    const completeWaves = (numbers: readonly number[]): void =>
        numbers.forEach(number => {
            const wave = waves.get(number);
            if (wave !== undefined) {
                wave.completed = true;
                waveStatus.publish(number, "completed");
            }
        });
    const evacuateVm = (vm: VmId, purpose: FleetEvacuation["purpose"]): void => {
        evacuations.add(vm, purpose);
        context.log("vm-evacuate", { vm, pool: vms.get(vm)?.pool, purpose });
        options.requestRenewal();
    };
    // Drops the order and the evacuation of a VM, because the VM is back in service or because they are not needed.
    const releaseVm = (vm: VmId): void => {
        orders.drop(vm);
        if (evacuations.remove(vm)) {
            options.requestRenewal();
        }
    };
    const logChangedNeeds = (forecastedNeeds: readonly PoolNeed[], needs: readonly ReportedPoolNeed[]): void => {
        const sizes = poolSizes(vms);
        const pools = forecastedNeeds.map(({ pool, wantedVms }, index) => ({
            pool,
            size: sizes.get(pool) ?? 0,
            wanted: needs[index]?.wantedVms,
            target: wantedVms,
        }));
        const text = JSON.stringify(pools);
        if (text !== lastLoggedNeeds) {
            lastLoggedNeeds = text;
            context.log("pool-needs", { pools });
        }
    };
    const forecastPoolNeeds = (records: readonly PoolRecord[]): readonly PoolNeed[] => {
        const needs = records.map(toPoolNeed).filter(need => need !== undefined);
        const forecastedNeeds = forecastNeeds(forecast, needs, poolSizes(vms), context.monotonicMs());
        logChangedNeeds(forecastedNeeds, needs);
        return forecastedNeeds;
    };
    const movePlanInput = (needs: readonly PoolNeed[], vacated: ReadonlySet<VmId>): MoveTables => {
        const leaving = new Set(
            [...evacuations.entries]
                .filter(([vm, { purpose }]) => purpose === "move" && !orders.entries.has(vm))
                .map(([vm]) => vm),
        );
        const evacuating = [...evacuations.entries.keys()].filter(vm => !leaving.has(vm));
        return {
            vms,
            spare: sparePools()[0],
            needs,
            unavailableForMove: new Set([...orders.entries.keys(), ...orders.postponed(), ...evacuating]),
            evacuatingForMaintenance: new Set(evacuating.filter(vm => !orders.entries.has(vm))),
            leaving,
            vacated: new Set([...leaving].filter(vm => vacated.has(vm))),
            moving: orders.moves(),
            awaitingMaintenance: vmsAwaitingMaintenance(),
        };
    };
    const applyMovePlan = (tables: MoveTables): void => {
        const plan = planMoves(tables);
        plan.keep.filter(vm => !orders.entries.has(vm)).forEach(releaseVm);
        plan.evacuate.forEach(vm => evacuateVm(vm, "move"));
        plan.moves.forEach(({ vm, to }) => void orders.send(vm, { kind: "move", to }));
    };
    const dropCompletedMoves = (): void => {
        const moveMs = context.settings.moveSeconds * MS_PER_SECOND + MOVE_MARGIN_MS;
        [...orders.entries]
            .filter(([vm, { purpose, confirmedAtMs }]) => {
                const listed = vms.get(vm);
                return (
                    purpose.kind === "move" &&
                    confirmedAtMs !== undefined &&
                    listedAtMs() > confirmedAtMs + moveMs &&
                    (listed === undefined || (listed.condition === "up" && listed.pool === purpose.to))
                );
            })
            .forEach(([vm]) => releaseVm(vm));
    };
    const dropUnneededEvacuations = (): void => {
        const waiting = new Set([...vmsAwaitingMaintenance(), ...evacuations.withPendingInheritedOrder(listedAtMs())]);
        [...evacuations.entries]
            .filter(([vm, { purpose }]) => purpose === "maintenance" && !waiting.has(vm) && !orders.entries.has(vm))
            .forEach(([vm]) => releaseVm(vm));
    };
    // No order would be carried out now, so the room of VMs that are only evacuated serves their pools meanwhile.
    const releaseWithoutOrders = (): void => {
        const ordered = new Set([...orders.entries.keys(), ...evacuations.withPendingInheritedOrder(listedAtMs())]);
        const released = [...evacuations.entries.keys()].filter(vm => !ordered.has(vm));
        released.forEach(releaseVm);
        if (!wasServiceSilent) {
            context.metrics.count("vm_service_silences");
            context.log("vm-service-silent", { released: released.length, ordered: ordered.size });
        }
        wasServiceSilent = true;
    };
    const tick = (): void => {
        operator.waves().forEach(addWave);
        // The configuration is one of the operator's rows, which are all applied together when they are read first.
        areWavesRead ||= operator.configuration() !== undefined;
        if (isActive()) {
            capDivision.update();
        }
        if (!mayAct()) {
            return;
        }
        if (vms.size === 0) {
            if (!isServiceAnswering()) {
                releaseWithoutOrders();
            }
            return;
        }
        const records = poolRecords();
        const vacated = vacatedVms(records);
        dropCompletedMoves();
        const needs = forecastPoolNeeds(records);
        applyMaintenancePlan({
            vacated,
            losing: new Set(needs.flatMap(need => need.losing)),
            fleetShort: isFleetShort(movePlanInput(needs, vacated)),
        });
        dropUnneededEvacuations();
        if (isServiceAnswering()) {
            wasServiceSilent = false;
            applyMovePlan(movePlanInput(needs, vacated));
        } else {
            releaseWithoutOrders();
        }
    };
    void periodic(TICK_INTERVAL_MS)
        .takeWhile(() => active)
        .observe(containErrors({ context, part: "fleet-manager" }, tick));
    void repeatWhileActive({ context, part: "vm-list", isActive: () => active, step: pollVms });
    return {
        kind: "fleet",
        leaseContent: () => ({
            ...emptyLeaseContent,
            evacuations: evacuations.stored(),
            maintained: maintainedVmsToStore({
                inherited: inherited.maintained,
                waves: [...waves.values()],
                completed: completedWaves,
                areWavesRead,
            }),
            completedWaves,
            allowances: capDivision.stored(),
        }),
        stop: () => {
            active = false;
            client.close();
            return Promise.resolve();
        },
    };
};

/** VMs in one list of the platform, and when it was requested. */
interface VmList {
    readonly vms: readonly VmId[];
    readonly sentAtMs: number;
}

interface PoolRecord {
    readonly pool: PoolName;
    readonly record: LeaseRecord | undefined;
}

const poolSizes = (vms: ReadonlyMap<VmId, FleetVm>): ReadonlyMap<PoolName, number> =>
    [...vms.values()].reduce(
        (sizes, { pool }) => sizes.set(pool, (sizes.get(pool) ?? 0) + 1),
        new Map<PoolName, number>(),
    );

const toPoolNeed = ({ pool, record }: PoolRecord): ReportedPoolNeed | undefined =>
    record?.demand === undefined ? undefined : { pool, ...record.demand };

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
