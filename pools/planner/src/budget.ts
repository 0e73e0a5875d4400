import type { Assignment } from "@almondusher/fleet/assignment";
import type { PoolName } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import type { Plan } from "./plan.js";

/** True if the platform lists the VM as live and the entry processes can reach it. */
export const isUp = (plan: Plan, row: Assignment): boolean =>
    plan.listedVms.get(row.vm)?.state === "live" && !plan.input.unresponsiveVms.includes(row.vm);

/** True if the VM accepts requests of its pool now. */
export const isAvailable = (plan: Plan, row: Assignment): boolean => row.phase.kind === "serving" && isUp(plan, row);

/** Number of VMs of a pool that accept requests now. */
export const availableVms = (plan: Plan, pool: PoolName): number =>
    plan.assignments.rows.filter(row => row.pool === pool && isAvailable(plan, row)).length;

/** Number of VMs that the measured load of a pool needs at the given slot utilisation. */
export const vmsNeededForLoad = (plan: Plan, pool: Pool, utilisation: number): number => {
    const demand = plan.input.loads.find(load => load.pool === pool.name)?.demandSlots ?? 0;
    return Math.ceil(demand / (pool.slotsPerVm * utilisation));
};
