import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { FleetVm } from "./maintenance.js";

/** What a pool's scheduler says of its size. */
export interface PoolNeed {
    readonly pool: PoolName;
    readonly wantedVms: number;
    /** VMs that can be vacated without ending a long-running task, the emptiest first. */
    readonly removable: readonly VmId[];
}

/** What the planner of moves decides on. */
export interface MoveTables {
    readonly vms: ReadonlyMap<VmId, FleetVm>;
    readonly spare: PoolName | undefined;
    readonly needs: readonly PoolNeed[];
    /** VMs with an order under way, and those that are vacated for maintenance. */
    readonly engaged: ReadonlySet<VmId>;
    /** VMs that are vacated to be moved to the spare pool. */
    readonly leaving: ReadonlySet<VmId>;
    /** VMs on their way to a pool, by pool. */
    readonly arriving: ReadonlyMap<PoolName, number>;
    /** VMs that a wave waits for; they are moved last. */
    readonly awaitedByWave: ReadonlySet<VmId>;
}

/** A move of an empty VM. */
export interface Move {
    readonly vm: VmId;
    readonly to: PoolName;
}

/** What to do next. */
export interface MovePlan {
    readonly moves: readonly Move[];
    /** VMs to vacate for the spare pool. */
    readonly evacuate: readonly VmId[];
    /** Vacated or vacating VMs that their pool needs again. */
    readonly keep: readonly VmId[];
}

/** Plans moves between the spare pool and the others by what each needs. */
export const planMoves = (tables: MoveTables): MovePlan => {
    const spareVms = [...tables.vms.values()]
        .filter(vm => vm.pool === tables.spare && vm.up && !tables.engaged.has(vm.id))
        .map(({ id }) => id)
        .sort((left, right) => Number(tables.awaitedByWave.has(left)) - Number(tables.awaitedByWave.has(right)));
    const plans = tables.needs.map(need => planPool(tables, need));
    const wanted = plans.flatMap(({ missing, pool }) => Array.from({ length: missing }, () => pool));
    return {
        moves: wanted.slice(0, spareVms.length).map((to, index) => ({ to, vm: spareVms[index] as VmId })),
        evacuate: tables.spare === undefined ? [] : plans.flatMap(({ evacuate }) => evacuate),
        keep: plans.flatMap(({ keep }) => keep),
    };
};

interface PoolMovePlan {
    readonly pool: PoolName;
    readonly missing: number;
    readonly evacuate: readonly VmId[];
    readonly keep: readonly VmId[];
}

const planPool = (tables: MoveTables, { pool, wantedVms, removable }: PoolNeed): PoolMovePlan => {
    const members = [...tables.vms.values()].filter(vm => vm.pool === pool && vm.up);
    const leaving = members.filter(({ id }) => tables.leaving.has(id)).map(({ id }) => id);
    const staying = members.filter(({ id }) => !tables.leaving.has(id) && !tables.engaged.has(id)).length;
    const coming = tables.arriving.get(pool) ?? 0;
    const missing = wantedVms - staying - coming;
    if (missing > 0) {
        const keep = leaving.slice(0, missing);
        return { pool, missing: missing - keep.length, evacuate: [], keep };
    }
    const surplus = -missing;
    const inPool = new Set(members.map(({ id }) => id));
    const candidates = removable.filter(vm => inPool.has(vm) && !tables.leaving.has(vm) && !tables.engaged.has(vm));
    return { pool, missing: 0, evacuate: candidates.slice(0, surplus), keep: [] };
};
