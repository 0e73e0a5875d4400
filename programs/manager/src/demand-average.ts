import type { PoolName } from "@almondusher/fleet/ids";
import type { PoolLoad } from "@almondusher/planner/plan-input";

/** Exponential moving average of each pool's demand, so that a burst of a few seconds does not count as a shortage. */
export interface PoolDemandAverage {
    readonly loads: readonly PoolLoad[];
    readonly updatedAtMs: number | undefined;
}

// The planner expects demand averaged over about a minute (`PoolLoad.demandSlots`).
const AVERAGING_TIME_CONSTANT_MS = 60_000;

/** Average before the first measurement. */
export const initialDemandAverage: PoolDemandAverage = { loads: [], updatedAtMs: undefined };

/** Updates the average with a measurement of all pools; removes pools that the measurement does not contain. */
export const updateDemandAverage = (
    average: PoolDemandAverage,
    measured: readonly PoolLoad[],
    nowMs: number,
): PoolDemandAverage => {
    const weight =
        average.updatedAtMs === undefined
            ? 1
            : 1 - Math.exp((average.updatedAtMs - nowMs) / AVERAGING_TIME_CONSTANT_MS);
    const previous = new Map<PoolName, number>(average.loads.map(load => [load.pool, load.demandSlots]));
    const loads = measured.map(({ pool, demandSlots }) => {
        const previousSlots = previous.get(pool) ?? demandSlots;
        return { pool, demandSlots: previousSlots + weight * (demandSlots - previousSlots) };
    });
    return { loads, updatedAtMs: nowMs };
};
