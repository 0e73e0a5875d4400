import type { PoolName, VmId } from "@almondusher/fleet/ids";

/** `returning` VMs are being moved or maintained and will be back in service soon. */
export type VmCondition = "up" | "returning" | "down";

/** A VM as the platform lists it. */
export interface FleetVm {
    readonly id: VmId;
    readonly pool: PoolName;
    readonly condition: VmCondition;
}

/** A requested maintenance wave and its progress. */
export interface Wave {
    readonly number: number;
    readonly vms: readonly VmId[];
    readonly maxConcurrent: number;
    /** Deadline for the maintenance of all VMs, in milliseconds of the monotonic clock. */
    readonly dueAtMs: number;
    /** When the wave was first read, in milliseconds of the monotonic clock. */
    readonly requestedAtMs: number;
    /** VMs whose maintenance the platform has confirmed. */
    readonly confirmed: Set<VmId>;
    completed: boolean;
}

/** A maintenance request that was sent to the platform. */
export interface MaintenanceOrder {
    readonly wave: number;
    readonly sentAtMs: number;
    /** When the platform confirmed the request; undefined while its outcome is unknown. */
    confirmedAtMs: number | undefined;
}

/** State of the fleet from which maintenance is planned. */
export interface MaintenanceTables {
    readonly vms: ReadonlyMap<VmId, FleetVm>;
    /** When the list of VMs was requested. */
    readonly listedAtMs: number;
    /** VMs in any of the last lists; a VM may be missing in one of them although it is still in the fleet. */
    readonly recentlyListed: ReadonlySet<VmId>;
    /** When the first of the last lists was requested. */
    readonly listsSinceMs: number;
    readonly spare: ReadonlySet<PoolName>;
    readonly waves: readonly Wave[];
    readonly orders: ReadonlyMap<VmId, MaintenanceOrder>;
    /** VMs with a pending maintenance or move request. */
    readonly withPendingRequest: ReadonlySet<VmId>;
    /** VMs that their pools were asked to evacuate. */
    readonly evacuations: ReadonlySet<VmId>;
    /** Evacuated VMs: they hold no runs and get none. */
    readonly vacated: ReadonlySet<VmId>;
    /** VMs whose tasks would lose work if they were evacuated now. */
    readonly losing: ReadonlySet<VmId>;
    /** VMs that a request of the previous lease holder may still take down. */
    readonly possiblyDown: ReadonlySet<VmId>;
}

/** Time of a planning pass, duration of maintenance, and whether the fleet is short of VMs. */
export interface MaintenanceOptions {
    readonly nowMs: number;
    /** Time that the maintenance of a VM takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Pools are short of VMs, so a wave takes down no more VMs at once than its deadline requires. */
    readonly fleetShort: boolean;
}

/** Evacuations and maintenance requests to send now, VMs that are back in service, and waves that are completed. */
export interface MaintenancePlan {
    readonly evacuate: readonly VmId[];
    readonly order: readonly { readonly vm: VmId; readonly wave: number }[];
    /** VMs that are back in service and accept work again. */
    readonly release: readonly VmId[];
    readonly completed: readonly number[];
}

// Share of a pool that may be out of service or evacuating at once, unless the wave is running out of time.
const MAX_UNAVAILABLE_POOL_SHARE = 0.34;
// The VM's new executor registers within this time after the maintenance.
const RETURN_MARGIN_MS = 300;
// Number of VMs that are evacuated before they can be maintained, so that the wave never waits for an empty VM.
const EVACUATED_AHEAD = 2;
// A wave is planned to end this long before its deadline.
const WAVE_RESERVE_MS = 5000;
// Expected time to evacuate a VM.
const EXPECTED_EVACUATION_MS = 2500;

/** Plans the next steps of all waves that are not completed. */
export const planMaintenance = (tables: MaintenanceTables, options: MaintenanceOptions): MaintenancePlan => {
    const release = [...tables.orders]
        .filter(([vm, order]) => isBackInService(tables, vm, order, options))
        .map(([vm]) => vm);
    const open = tables.waves.filter(wave => !wave.completed);
    const plans = open.map(wave => planWave(tables, wave, options));
    return {
        release,
        evacuate: plans.flatMap(plan => plan.evacuate),
        order: plans.flatMap(plan => plan.order),
        completed: open.filter(wave => isCompleted(tables, wave)).map(({ number }) => number),
    };
};

// A VM that has left the fleet needs no maintenance. Lists requested before the wave do not show that a VM has left.
const isCompleted = ({ recentlyListed, listsSinceMs }: MaintenanceTables, wave: Wave): boolean =>
    wave.vms.every(vm => wave.confirmed.has(vm) || (!recentlyListed.has(vm) && listsSinceMs >= wave.requestedAtMs));

const isBackInService = (
    { vms, listedAtMs }: MaintenanceTables,
    vm: VmId,
    { confirmedAtMs }: MaintenanceOrder,
    { maintenanceMs }: MaintenanceOptions,
): boolean => {
    if (confirmedAtMs === undefined) {
        return false;
    }
    const listed = vms.get(vm);
    // Only a list requested after the maintenance shows whether the VM is back.
    return (
        listedAtMs > confirmedAtMs + maintenanceMs + RETURN_MARGIN_MS &&
        (listed === undefined || listed.condition === "up")
    );
};

// VMs of the wave that are listed and whose maintenance is not confirmed.
const unmaintainedVms = ({ vms }: MaintenanceTables, wave: Wave): readonly VmId[] =>
    wave.vms.filter(vm => !wave.confirmed.has(vm) && vms.has(vm));

const planWave = (
    tables: MaintenanceTables,
    wave: Wave,
    options: MaintenanceOptions,
): Pick<MaintenancePlan, "evacuate" | "order"> => {
    const waiting = unmaintainedVms(tables, wave).filter(vm => !tables.withPendingRequest.has(vm));
    const down = new Set([
        ...[...tables.orders]
            .filter(([vm, order]) => order.wave === wave.number && !isBackInService(tables, vm, order, options))
            .map(([vm]) => vm),
        // VMs that the previous lease holder sent, or may have sent, to maintenance.
        ...wave.vms.filter(vm => tables.vms.get(vm)?.condition === "returning" || tables.possiblyDown.has(vm)),
    ]);
    const concurrent = concurrencyLimit(wave, waiting.length, options);
    const free = Math.max(0, concurrent - down.size);
    const isEmpty = (vm: VmId): boolean =>
        tables.vacated.has(vm) || tables.spare.has(tables.vms.get(vm)?.pool ?? ("" as PoolName));
    const ready = waiting.filter(vm => tables.vms.get(vm)?.condition === "up" && isEmpty(vm));
    // Requesting maintenance again for a VM that already counts as down uses up no further part of the limit.
    const countedAsDown = down.size <= wave.maxConcurrent ? ready.filter(vm => down.has(vm)) : [];
    const order = [...countedAsDown, ...ready.filter(vm => !down.has(vm)).slice(0, free)].map(vm => ({
        vm,
        wave: wave.number,
    }));
    return { order, evacuate: chooseEvacuations(tables, wave, waiting, isEmpty, concurrent, options) };
};

// Number of VMs that may be down at once: without a shortage the wave's maximum, otherwise only as many as the wave
// needs to end before its deadline.
const concurrencyLimit = (
    wave: Wave,
    waiting: number,
    { nowMs, maintenanceMs, fleetShort }: MaintenanceOptions,
): number => {
    const leftMs = Math.max(1, wave.dueAtMs - nowMs - WAVE_RESERVE_MS);
    const required = Math.ceil((waiting * (maintenanceMs + EXPECTED_EVACUATION_MS)) / leftMs);
    return fleetShort ? Math.min(wave.maxConcurrent, Math.max(1, required)) : wave.maxConcurrent;
};

const chooseEvacuations = (
    tables: MaintenanceTables,
    wave: Wave,
    waiting: readonly VmId[],
    isEmpty: (vm: VmId) => boolean,
    concurrent: number,
    options: MaintenanceOptions,
): readonly VmId[] => {
    const evacuating = waiting.filter(vm => tables.evacuations.has(vm)).length;
    const wanted = Math.max(0, concurrent + (options.fleetShort ? 0 : EVACUATED_AHEAD) - evacuating);
    const batches = Math.ceil(waiting.length / wave.maxConcurrent);
    const neededMs = batches * (options.maintenanceMs + EXPECTED_EVACUATION_MS);
    const lacksTime = options.nowMs + neededMs > wave.dueAtMs;
    const chosen: VmId[] = [];
    waiting
        .filter(vm => !tables.evacuations.has(vm) && !isEmpty(vm) && tables.vms.get(vm)?.condition === "up")
        .sort((left, right) => Number(tables.losing.has(left)) - Number(tables.losing.has(right)))
        .forEach(vm => {
            const leavesRoom = lacksTime ? leavesUsableVm : isWithinPoolShare;
            if (chosen.length < wanted && leavesRoom(tables, vm, chosen)) {
                chosen.push(vm);
            }
        });
    return chosen;
};

const isWithinPoolShare = (tables: MaintenanceTables, vm: VmId, chosen: readonly VmId[]): boolean => {
    const { size, unavailable } = availabilityOf(tables, vm, chosen);
    return unavailable + 1 <= Math.max(1, Math.floor(size * MAX_UNAVAILABLE_POOL_SHARE));
};

// A pool of one VM gets another one for its tasks.
const leavesUsableVm = (tables: MaintenanceTables, vm: VmId, chosen: readonly VmId[]): boolean => {
    const { size, unavailable } = availabilityOf(tables, vm, chosen);
    return unavailable + 1 <= Math.max(1, size - 1);
};

/** Number of VMs in the pool of a VM, and of those that get no tasks. */
const availabilityOf = (
    { vms, evacuations }: MaintenanceTables,
    vm: VmId,
    chosen: readonly VmId[],
): { readonly size: number; readonly unavailable: number } => {
    const pool = vms.get(vm)?.pool;
    const members = [...vms.values()].filter(other => other.pool === pool);
    const unavailable = members.filter(
        other => other.condition !== "up" || evacuations.has(other.id) || chosen.includes(other.id),
    ).length;
    return { size: members.length, unavailable };
};
