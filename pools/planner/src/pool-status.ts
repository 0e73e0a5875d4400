import type { Assignment } from "@almondusher/fleet/assignment";
import { type EntityTable, entityTable } from "@almondusher/fleet/entity-table";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import { isAvailable, isUp, vmsNeededForLoad } from "./budget.js";
import { isDue, isInMaintenance } from "./maintenance-due.js";
import type { Plan, VmLocation } from "./plan.js";

/** Status of a pool at this point of the plan. */
export interface PoolStatus {
    readonly pool: Pool;
    /** VMs that accept requests now. */
    readonly available: number;
    /** VMs on loan to the pool that are still in another pool. */
    readonly arriving: number;
    /** VMs on loan to the pool, including those that have not arrived yet. */
    readonly borrowed: number;
    /** VMs draining for maintenance or in maintenance. */
    readonly inMaintenance: number;
    /** Available VMs that are due for maintenance. */
    readonly due: readonly Assignment[];
    /** Number of due VMs in a data centre with VMs in maintenance, or of all due VMs if none is in maintenance. */
    readonly dueInWave: number;
    /** VMs that must stay available: the larger of `minAvailable` and the number that the load needs. */
    readonly required: number;
}

const groupBy = <Item, Key extends string>(
    items: readonly Item[],
    keyOf: (item: Item) => Key | undefined,
): ReadonlyMap<Key, readonly Item[]> => {
    const groups = new Map<Key, Item[]>();
    items.forEach(item => {
        const key = keyOf(item);
        if (key !== undefined) {
            groups.set(key, [...(groups.get(key) ?? []), item]);
        }
    });
    return groups;
};

/** Computes the status of every pool. */
export const poolStatuses = (plan: Plan): EntityTable<PoolName, PoolStatus> => {
    const byPool = groupBy(plan.assignments.rows, row => row.pool);
    const byBorrower = groupBy(plan.assignments.rows, row => row.loanedTo);
    const activeDataCentres = new Set(
        plan.assignments.rows.filter(isInMaintenance).map(row => locationOf(plan, row.vm)?.dataCentre),
    );
    const isInActiveDataCentre = (row: Assignment): boolean =>
        activeDataCentres.size === 0 || activeDataCentres.has(locationOf(plan, row.vm)?.dataCentre);
    const statuses = plan.input.state.pools.rows.map((pool): PoolStatus => {
        const rows = byPool.get(pool.name) ?? [];
        const loans = byBorrower.get(pool.name) ?? [];
        const available = rows.filter(row => isAvailable(plan, row));
        const due = available.filter(row => isDue(plan, row));
        return {
            pool,
            available: available.length,
            arriving: loans.filter(row => row.pool !== pool.name).length,
            borrowed: loans.length,
            inMaintenance: rows.filter(isInMaintenance).length,
            due,
            dueInWave: due.filter(isInActiveDataCentre).length,
            required: Math.max(pool.minAvailable, vmsNeededForLoad(plan, pool, plan.input.settings.borrowUtilisation)),
        };
    });
    return entityTable(statuses, status => status.pool.name);
};

/** Location of a VM; undefined if this manager has never seen it on the platform's list. */
export const locationOf = (plan: Plan, vm: VmId): VmLocation | undefined => plan.locations.get(vm);

// Rack names are unique only within a data centre.
const rackId = (location: VmLocation): string => `${location.dataCentre}/${location.rack}`;

const MIN_LOST_VMS = 2;
const MIN_LOST_SHARE = 0.5;

const vmsInLostDomains = (plan: Plan, domainOf: (location: VmLocation) => string): readonly VmId[] => {
    const { nowMs, settings } = plan.input;
    const downSince = new Map(plan.plannerState.downSince.map(entry => [entry.id, entry.sinceMs]));
    const isLost = (row: Assignment): boolean =>
        nowMs - (downSince.get(row.vm) ?? -Infinity) < settings.lossHoldMs && !isUp(plan, row);
    const domains = groupBy(
        plan.assignments.rows.filter(row => row.phase.kind !== "maintenance"),
        row => {
            const location = locationOf(plan, row.vm);
            return location === undefined ? undefined : domainOf(location);
        },
    );
    return [...domains.values()]
        .filter(rows => {
            const lost = rows.filter(isLost).length;
            return lost >= MIN_LOST_VMS && lost >= rows.length * MIN_LOST_SHARE;
        })
        .flatMap(rows => rows.map(row => row.vm));
};

/** Pools with VMs in a rack or data centre that has lost at least half, and at least two, of its VMs recently. */
export const poolsWithCorrelatedLoss = (plan: Plan): readonly PoolName[] => {
    if (plan.plannerState.downSince.length < MIN_LOST_VMS) {
        return [];
    }
    const lost = [...vmsInLostDomains(plan, rackId), ...vmsInLostDomains(plan, location => location.dataCentre)];
    return [...new Set(lost.flatMap(vm => plan.assignments.get(vm)?.pool ?? []))];
};
