import type { PoolName, VmId } from "@almondusher/fleet/ids";

/** `returning` VMs move or are under maintenance and serve again soon. */
export type VmCondition = "up" | "returning" | "down";

/** A VM as the platform lists it. */
export interface FleetVm {
    readonly id: VmId;
    readonly pool: PoolName;
    readonly condition: VmCondition;
}

/** A requested wave and how far it is. */
export interface Wave {
    readonly number: number;
    readonly vms: readonly VmId[];
    readonly maxConcurrent: number;
    /** Steady time by which all VMs are to be maintained, in milliseconds. */
    readonly dueAtMs: number;
    /** VMs whose maintenance the platform has confirmed. */
    readonly begun: Set<VmId>;
    completed: boolean;
}

/** An order to maintain a VM that was sent. */
export interface MaintenanceOrder {
    readonly wave: number;
    readonly sentAtMs: number;
    /** When the platform confirmed it; undefined while that is unknown. */
    confirmedAtMs: number | undefined;
}

/** What the planner of maintenance decides on. */
export interface MaintenanceTables {
    readonly vms: ReadonlyMap<VmId, FleetVm>;
    /** When the list of VMs was asked for. */
    readonly listedAtMs: number;
    readonly spare: ReadonlySet<PoolName>;
    readonly waves: readonly Wave[];
    readonly orders: ReadonlyMap<VmId, MaintenanceOrder>;
    /** VMs with any order under way. */
    readonly engaged: ReadonlySet<VmId>;
    /** VMs that their pools are asked to vacate. */
    readonly evacuations: ReadonlySet<VmId>;
    /** VMs that hold no runs and get none. */
    readonly vacated: ReadonlySet<VmId>;
    /** VMs whose tasks would lose work if they were vacated now. */
    readonly losing: ReadonlySet<VmId>;
    /** VMs that an order of a former holder may still take down. */
    readonly presumedDown: ReadonlySet<VmId>;
}

/** Terms of a plan. */
export interface MaintenanceOptions {
    readonly nowMs: number;
    readonly maintenanceMs: number;
    /** Pools are short of VMs, so that the wave takes no more at once than it has to. */
    readonly fleetShort: boolean;
}

/** What to do next. */
export interface MaintenancePlan {
    readonly evacuate: readonly VmId[];
    readonly order: readonly { readonly vm: VmId; readonly wave: number }[];
    /** VMs that are back in service and take work again. */
    readonly release: readonly VmId[];
    readonly completed: readonly number[];
}

// Share of a pool that may be out of service or vacating for maintenance at once, when time is not short.
const MAX_UNAVAILABLE_POOL_SHARE = 0.34;
// A new executor registers shortly after the VM's maintenance.
const RETURN_MARGIN_MS = 300;
// VMs vacated ahead of their turn, so that the wave never waits for one.
const EVACUATED_AHEAD = 2;
// A wave is planned to end this long before it is due.
const WAVE_RESERVE_MS = 5000;
// Expected time to vacate a VM.
const EXPECTED_EVACUATION_MS = 2500;

/** Plans the next steps of all open waves. */
export const planMaintenance = (tables: MaintenanceTables, terms: MaintenanceOptions): MaintenancePlan => {
    const release = [...tables.orders]
        .filter(([vm, order]) => isBackInService(tables, vm, order, terms))
        .map(([vm]) => vm);
    const open = tables.waves.filter(wave => !wave.completed);
    const plans = open.map(wave => planWave(tables, wave, terms));
    return {
        release,
        evacuate: plans.flatMap(plan => plan.evacuate),
        order: plans.flatMap(plan => plan.order),
        completed: open.filter(wave => unmaintainedVms(tables, wave).length === 0).map(({ number }) => number),
    };
};

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
    // Only a list that was read after the maintenance can tell.
    return (
        listedAtMs > confirmedAtMs + maintenanceMs + RETURN_MARGIN_MS &&
        (listed === undefined || listed.condition === "up")
    );
};

// VMs that left the fleet need no maintenance.
const unmaintainedVms = ({ vms }: MaintenanceTables, wave: Wave): readonly VmId[] =>
    wave.vms.filter(vm => !wave.begun.has(vm) && vms.has(vm));

const planWave = (
    tables: MaintenanceTables,
    wave: Wave,
    terms: MaintenanceOptions,
): Pick<MaintenancePlan, "evacuate" | "order"> => {
    const waiting = unmaintainedVms(tables, wave).filter(vm => !tables.engaged.has(vm));
    const down = new Set([
        ...[...tables.orders]
            .filter(([vm, order]) => order.wave === wave.number && !isBackInService(tables, vm, order, terms))
            .map(([vm]) => vm),
        // Those that a former holder sent to maintenance.
        ...wave.vms.filter(vm => tables.vms.get(vm)?.condition === "returning" || tables.presumedDown.has(vm)),
    ]);
    const concurrent = concurrencyLimit(wave, waiting.length, terms);
    const free = Math.max(0, concurrent - down.size);
    const isEmpty = (vm: VmId): boolean =>
        tables.vacated.has(vm) || tables.spare.has(tables.vms.get(vm)?.pool ?? ("" as PoolName));
    const ready = waiting.filter(vm => tables.vms.get(vm)?.condition === "up" && isEmpty(vm));
    // Ordering one that is counted already takes no further place.
    const countedAsDown = down.size <= wave.maxConcurrent ? ready.filter(vm => down.has(vm)) : [];
    const order = [...countedAsDown, ...ready.filter(vm => !down.has(vm)).slice(0, free)].map(vm => ({
        vm,
        wave: wave.number,
    }));
    return { order, evacuate: chooseEvacuations(tables, wave, waiting, isEmpty, concurrent, terms) };
};

// Enough at once to end well before the wave is due; all that are allowed while no pool is short.
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
    terms: MaintenanceOptions,
): readonly VmId[] => {
    const evacuating = waiting.filter(vm => tables.evacuations.has(vm)).length;
    const wanted = Math.max(0, concurrent + (terms.fleetShort ? 0 : EVACUATED_AHEAD) - evacuating);
    const batches = Math.ceil(waiting.length / wave.maxConcurrent);
    const neededMs = batches * (terms.maintenanceMs + EXPECTED_EVACUATION_MS);
    const lacksTime = terms.nowMs + neededMs > wave.dueAtMs;
    const chosen: VmId[] = [];
    waiting
        .filter(vm => !tables.evacuations.has(vm) && !isEmpty(vm) && tables.vms.get(vm)?.condition === "up")
        .sort((left, right) => Number(tables.losing.has(left)) - Number(tables.losing.has(right)))
        .forEach(vm => {
            if (chosen.length < wanted && (lacksTime || isWithinPoolShare(tables, vm, chosen))) {
                chosen.push(vm);
            }
        });
    return chosen;
};

const isWithinPoolShare = (tables: MaintenanceTables, vm: VmId, chosen: readonly VmId[]): boolean => {
    const pool = tables.vms.get(vm)?.pool;
    const members = [...tables.vms.values()].filter(other => other.pool === pool);
    const unavailable = members.filter(
        other => other.condition !== "up" || tables.evacuations.has(other.id) || chosen.includes(other.id),
    ).length;
    return unavailable + 1 <= Math.max(1, Math.floor(members.length * MAX_UNAVAILABLE_POOL_SHARE));
};
