import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { FleetVm } from "./maintenance.js";

/** VM needs of a pool, as reported by its scheduler and adjusted by the forecast. */
export interface PoolNeed {
    readonly pool: PoolName;
    /** Number of VMs needed for the current work. */
    readonly neededVms: number;
    /** Number of VMs that the pool should have as long as no other pool is short; at least `neededVms`. */
    readonly wantedVms: number;
    /** Number of VMs that the pool keeps while no other pool is short. It gets no more VMs to reach this number. */
    readonly floorVms: number;
    /** VMs that can be evacuated without ending a long-running task, the best candidates first. */
    readonly removable: readonly VmId[];
    /** VMs whose tasks would lose work if they were evacuated now. */
    readonly losing: readonly VmId[];
}

/** State of the fleet from which moves are planned. */
export interface MoveTables {
    readonly vms: ReadonlyMap<VmId, FleetVm>;
    readonly spare: PoolName | undefined;
    readonly needs: readonly PoolNeed[];
    /**
     * VMs with a pending maintenance or move request, VMs whose last request was refused a short while ago, and VMs that are
     * being evacuated for maintenance.
     */
    readonly unavailableForMove: ReadonlySet<VmId>;
    /** VMs of `unavailableForMove` that are being evacuated for maintenance and get no tasks until it is over. */
    readonly evacuatingForMaintenance: ReadonlySet<VmId>;
    /** VMs that are being evacuated to leave their pool. */
    readonly leaving: ReadonlySet<VmId>;
    /** VMs of `leaving` that are empty. */
    readonly vacated: ReadonlySet<VmId>;
    /** Moves that were requested and are not completed. */
    readonly moving: readonly Move[];
    /** VMs whose maintenance in a wave is outstanding; they are moved last. */
    readonly awaitingMaintenance: ReadonlySet<VmId>;
}

/** A move of an empty VM. */
export interface Move {
    readonly vm: VmId;
    readonly to: PoolName;
}

/** Moves and evacuations to request now, and evacuations to cancel. */
export interface MovePlan {
    readonly moves: readonly Move[];
    /** VMs to evacuate, so that they can leave their pool. */
    readonly evacuate: readonly VmId[];
    /** Evacuated or evacuating VMs that their pool needs again. */
    readonly keep: readonly VmId[];
}

interface PoolBalance {
    readonly need: PoolNeed;
    /** Number of VMs that stay in the pool or are being moved to it. */
    readonly size: number;
    /** Number of these without the ones that are being evacuated for maintenance. */
    readonly usable: number;
    /** Number of the VMs that stay and are not back yet from their maintenance or their move to the pool. */
    readonly returning: number;
    readonly leaving: readonly VmId[];
    readonly removable: readonly VmId[];
}

/** True if the pools want more additional VMs than are spare or being evacuated. */
export const isFleetShort = (tables: MoveTables): boolean =>
    isShort(
        tables,
        tables.needs.map(need => balanceOf(tables, need)),
    );

/** Plans moves between pools by their needs. VMs that no pool needs go to the spare pool. */
export const planMoves = (tables: MoveTables): MovePlan => {
    const balances = tables.needs.map(need => balanceOf(tables, need));
    const targetOf = isShort(tables, balances)
        ? ({ neededVms }: PoolNeed): number => neededVms
        : ({ wantedVms }: PoolNeed): number => wantedVms;
    const shortageOf = ({ need, size }: PoolBalance): number => Math.max(0, targetOf(need) - size);
    // Tasks that leave a VM before its maintenance need room elsewhere, until the VM is back.
    const shortageWithMaintenanceOf = (balance: PoolBalance): number =>
        Math.max(shortageOf(balance), balance.need.neededVms - balance.usable);
    const keep = balances.flatMap(balance => balance.leaving.slice(0, shortageWithMaintenanceOf(balance)));
    // One entry for each VM that a pool is short of.
    const short = balances.flatMap(balance => repeat(balance.need.pool, shortageOf(balance) - balance.leaving.length));
    const shortForMaintenance = balances.flatMap(balance =>
        repeat(
            balance.need.pool,
            shortageWithMaintenanceOf(balance) - Math.max(shortageOf(balance), balance.leaving.length),
        ),
    );
    const free = [
        ...spareVms(tables),
        ...[...tables.vacated].filter(vm => tables.leaving.has(vm) && !keep.includes(vm)),
    ];
    const moves = [...interleaveByPool(short), ...interleaveByPool(shortForMaintenance)]
        .slice(0, free.length)
        .map((to, index) => ({ to, vm: free[index] as VmId }));
    const toSparePool = free
        .slice(moves.length)
        .filter(vm => tables.leaving.has(vm))
        .flatMap(vm => (tables.spare === undefined ? [] : [{ vm, to: tables.spare }]));
    const evacuating =
        balances.reduce((sum, { leaving }) => sum + leaving.length, 0) - keep.length - tables.vacated.size;
    const shortfall = Math.max(0, short.length - moves.length - Math.max(0, evacuating));
    return { keep, moves: [...moves, ...toSparePool], evacuate: chooseEvacuations(tables, balances, shortfall) };
};

const spareVms = (tables: MoveTables): readonly VmId[] =>
    [...tables.vms.values()]
        .filter(vm => vm.pool === tables.spare && vm.condition === "up" && !tables.unavailableForMove.has(vm.id))
        .map(({ id }) => id)
        .sort(
            (left, right) =>
                Number(tables.awaitingMaintenance.has(left)) - Number(tables.awaitingMaintenance.has(right)),
        );

const isShort = (tables: MoveTables, balances: readonly PoolBalance[]): boolean => {
    const missing = balances.reduce((sum, { need, size }) => sum + Math.max(0, need.wantedVms - size), 0);
    const available = spareVms(tables).length + balances.reduce((sum, { leaving }) => sum + leaving.length, 0);
    return missing > available;
};

const balanceOf = (tables: MoveTables, need: PoolNeed): PoolBalance => {
    const members = [...tables.vms.values()].filter(vm => vm.pool === need.pool && vm.condition !== "down");
    const inPool = new Set(members.map(({ id }) => id));
    const outgoing = new Set(tables.moving.filter(({ to }) => to !== need.pool).map(({ vm }) => vm));
    const staying = members.filter(({ id }) => !tables.leaving.has(id) && !outgoing.has(id));
    const incoming = tables.moving.filter(({ to, vm }) => to === need.pool && !inPool.has(vm)).length;
    const evacuating = members.filter(({ id }) => tables.evacuatingForMaintenance.has(id)).length;
    return {
        need,
        size: staying.length + incoming,
        usable: staying.length + incoming - evacuating,
        returning: staying.filter(({ condition }) => condition === "returning").length,
        leaving: members.map(({ id }) => id).filter(vm => tables.leaving.has(vm) && !outgoing.has(vm)),
        removable: need.removable.filter(
            vm => inPool.has(vm) && !tables.leaving.has(vm) && !tables.unavailableForMove.has(vm),
        ),
    };
};

// Without a shortage a pool releases the VMs that exceed both its wanted number and its floor. For a shortage elsewhere
// it releases those that exceed its current need.
const chooseEvacuations = (
    { spare }: MoveTables,
    balances: readonly PoolBalance[],
    lacking: number,
): readonly VmId[] => {
    const surplus =
        spare === undefined
            ? []
            : balances.flatMap(balance =>
                  // No pool waits for these VMs, so those whose tasks would lose work stay until the tasks have ended.
                  surplusVms(
                      balance,
                      Math.max(balance.need.wantedVms, balance.need.floorVms) + balance.returning,
                  ).filter(vm => !balance.need.losing.includes(vm)),
              );
    const aboveNeed = balances.flatMap(balance => surplusVms(balance, balance.need.neededVms));
    const forShortage = aboveNeed.filter(vm => !surplus.includes(vm)).slice(0, Math.max(0, lacking - surplus.length));
    return [...surplus, ...forShortage];
};

const surplusVms = ({ usable, removable }: PoolBalance, keepVms: number): readonly VmId[] =>
    removable.slice(0, Math.max(0, usable - keepVms));

const repeat = (pool: PoolName, times: number): readonly PoolName[] =>
    Array.from({ length: Math.max(0, times) }, () => pool);

// Sorts a list with one entry for each VM that a pool is short of, so that the pools get VMs in turn.
const interleaveByPool = (pools: readonly PoolName[]): readonly PoolName[] => {
    const counts = new Map<PoolName, number>();
    return pools
        .map(pool => {
            const rank = counts.get(pool) ?? 0;
            counts.set(pool, rank + 1);
            return { pool, rank };
        })
        .sort((left, right) => left.rank - right.rank)
        .map(({ pool }) => pool);
};
