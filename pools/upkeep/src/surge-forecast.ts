import type { PoolName } from "@almondusher/fleet/ids";
import type { PoolNeed } from "./moves.js";

/** VM needs of a pool as reported by its scheduler, before the forecast is applied. */
export type ReportedPoolNeed = Omit<PoolNeed, "floorVms">;

/** Observed surges of a pool's demand. */
interface PoolSurges {
    /** Size of the pool when it was first observed. The pool is not made smaller before its first surge. */
    readonly initialVms: number;
    surging: boolean;
    /** Start of the last surge, in milliseconds of the monotonic clock; undefined before the first one. */
    startedAtMs: number | undefined;
    /** Highest number of VMs that the pool wanted during its last surge. */
    peakVms: number;
}

/** Observed surges of all pools, to predict the next one where pools surge in turn at regular intervals. */
export interface SurgeForecast {
    readonly pools: Map<PoolName, PoolSurges>;
    /** Start times of the last surges of any pool, oldest first. */
    starts: readonly number[];
}

// A surge starts when a pool wants at least this share of its initial size, and ends below SURGE_END_SHARE.
const SURGE_START_SHARE = 0.75;
const SURGE_END_SHARE = 0.5;
// Moves start this long before an expected surge: time for the move, the executor's registration and the first read of
// its runs.
const LEAD_MS = 2600;
// A predicted surge that has not started this long after its expected time is no longer expected.
const MAX_DELAY_MS = 1500;
const MAX_INTERVALS = 4;
// Surges count as regular if no interval between them differs from the mean by more than this share of it.
const MAX_INTERVAL_DEVIATION = 0.4;

export const createSurgeForecast = (): SurgeForecast => ({ pools: new Map(), starts: [] });

/** Records the current needs of the pools, and returns them raised by the predicted surge. */
export const forecastNeeds = (
    forecast: SurgeForecast,
    needs: readonly ReportedPoolNeed[],
    sizes: ReadonlyMap<PoolName, number>,
    nowMs: number,
): readonly PoolNeed[] => {
    needs.forEach(need => updateSurges(forecast, need, sizes.get(need.pool) ?? 0, nowMs));
    const expected = expectedSurge(forecast, nowMs);
    return needs.map(need => applyForecast(forecast, need, expected));
};

const updateSurges = (
    forecast: SurgeForecast,
    { pool, wantedVms }: ReportedPoolNeed,
    size: number,
    nowMs: number,
): void => {
    const known = forecast.pools.get(pool) ?? {
        initialVms: size,
        surging: false,
        startedAtMs: undefined,
        peakVms: 0,
    };
    forecast.pools.set(pool, known);
    if (!known.surging && wantedVms >= known.initialVms * SURGE_START_SHARE) {
        known.surging = true;
        known.startedAtMs = nowMs;
        known.peakVms = 0;
        forecast.starts = [...forecast.starts, nowMs].slice(-MAX_INTERVALS - 1);
    } else if (known.surging && wantedVms < known.initialVms * SURGE_END_SHARE) {
        known.surging = false;
    }
    if (known.surging) {
        known.peakVms = Math.max(known.peakVms, wantedVms);
    }
};

// If surges are regular, the next one is expected in the pool whose last surge is the longest ago.
const expectedSurge = (forecast: SurgeForecast, nowMs: number): PoolName | undefined => {
    const { starts } = forecast;
    const intervals = starts.slice(1).map((start, index) => start - (starts[index] ?? start));
    const last = starts.at(-1);
    if (intervals.length < 2 || last === undefined) {
        return undefined;
    }
    const mean = intervals.reduce((sum, interval) => sum + interval, 0) / intervals.length;
    const regular = intervals.every(interval => Math.abs(interval - mean) <= MAX_INTERVAL_DEVIATION * mean);
    const sinceLastMs = nowMs - last;
    if (!regular || sinceLastMs < mean - LEAD_MS || sinceLastMs > mean + MAX_DELAY_MS) {
        return undefined;
    }
    const idle = [...forecast.pools].filter(([, surges]) => !surges.surging);
    return idle.sort(([, left], [, right]) => (left.startedAtMs ?? 0) - (right.startedAtMs ?? 0))[0]?.[0];
};

const applyForecast = (forecast: SurgeForecast, need: ReportedPoolNeed, expected: PoolName | undefined): PoolNeed => {
    const surges = forecast.pools.get(need.pool);
    const expectedVms = need.pool === expected ? (surges?.peakVms ?? 0) : 0;
    const floorVms = surges?.startedAtMs === undefined ? (surges?.initialVms ?? 0) : 0;
    return { ...need, wantedVms: Math.max(need.wantedVms, expectedVms), floorVms };
};
