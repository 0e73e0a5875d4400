import type { PoolName } from "@almondusher/fleet/ids";
import type { PoolLoad } from "@almondusher/planner/plan-input";

/** Demand of each pool, averaged so that a burst of seconds does not look like a shortage. */
export interface PoolDemandAverage {
    readonly loads: readonly PoolLoad[];
    readonly updatedAtMs: number | undefined;
}

// The planner asks for the average of about a minute.
const AVERAGE_MS = 60_000;

/** Before the first measurement. */
export const noDemand: PoolDemandAverage = { loads: [], updatedAtMs: undefined };

/** Adds a measurement of all pools; pools that are not measured are dropped. */
export const averageDemand = (
    average: PoolDemandAverage,
    measured: readonly PoolLoad[],
    nowMs: number,
): PoolDemandAverage => {
    const weight = average.updatedAtMs === undefined ? 1 : 1 - Math.exp((average.updatedAtMs - nowMs) / AVERAGE_MS);
    const earlier = new Map<PoolName, number>(average.loads.map(load => [load.pool, load.demandSlots]));
    const loads = measured.map(({ pool, demandSlots }) => {
        const before = earlier.get(pool) ?? demandSlots;
        return { pool, demandSlots: before + weight * (demandSlots - before) };
    });
    return { loads, updatedAtMs: nowMs };
};
