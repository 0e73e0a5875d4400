import type { PoolName } from "@almondusher/fleet/ids";
import type { PoolNeed } from "./moves.js";

/** What a pool's scheduler says of its size, before the forecast. */
export type PoolDemand = Omit<PoolNeed, "floorVms">;

/** What was seen of a pool's surges of demand. */
interface PoolSurges {
    /** VMs of the pool when it was first seen; it is not made smaller before its first surge is over. */
    readonly initialVms: number;
    surging: boolean;
    /** Start of the last surge, in steady milliseconds; undefined before the first. */
    startedAtMs: number | undefined;
    /** VMs that the pool wanted at most in its last surge. */
    peakVms: number;
}

/** Learns which pool's demand rises next where pools take turns. */
export interface SurgeForecast {
    readonly pools: Map<PoolName, PoolSurges>;
    /** Starts of surges, oldest first. */
    starts: readonly number[];
}

// A pool surges when it wants this share of its first size or more.
const SURGE_START_SHARE = 0.75;
const SURGE_END_SHARE = 0.5;
// VMs are ordered this long before a surge is expected: a move, its registration and the first look at the executor.
const LEAD_MS = 2600;
// A forecast surge that does not come by then is given up.
const MAX_DELAY_MS = 1500;
const MAX_INTERVALS = 4;
// Surges take turns if the gaps between them differ by no more than this share of their mean.
const MAX_INTERVAL_DEVIATION = 0.4;

/** Creates a forecast that has seen nothing. */
export const createSurgeForecast = (): SurgeForecast => ({ pools: new Map(), starts: [] });

/** Notes what the pools want now, and returns what they should have by the forecast. */
export const forecastNeeds = (
    forecast: SurgeForecast,
    needs: readonly PoolDemand[],
    sizes: ReadonlyMap<PoolName, number>,
    nowMs: number,
): readonly PoolNeed[] => {
    needs.forEach(need => updateSurges(forecast, need, sizes.get(need.pool) ?? 0, nowMs));
    const expected = expectedSurge(forecast, nowMs);
    return needs.map(need => applyForecast(forecast, need, expected));
};

const updateSurges = (forecast: SurgeForecast, { pool, wantedVms }: PoolDemand, size: number, nowMs: number): void => {
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

// Where pools take turns, the one whose last surge is the longest ago is next.
const expectedSurge = (forecast: SurgeForecast, nowMs: number): PoolName | undefined => {
    const { starts } = forecast;
    const intervals = starts.slice(1).map((start, index) => start - (starts[index] ?? start));
    const last = starts.at(-1);
    if (intervals.length < 2 || last === undefined) {
        return undefined;
    }
    const mean = intervals.reduce((sum, gap) => sum + gap, 0) / intervals.length;
    const regular = intervals.every(gap => Math.abs(gap - mean) <= MAX_INTERVAL_DEVIATION * mean);
    const sinceLastMs = nowMs - last;
    if (!regular || sinceLastMs < mean - LEAD_MS || sinceLastMs > mean + MAX_DELAY_MS) {
        return undefined;
    }
    const idle = [...forecast.pools].filter(([, surges]) => !surges.surging);
    return idle.sort(([, left], [, right]) => (left.startedAtMs ?? 0) - (right.startedAtMs ?? 0))[0]?.[0];
};

const applyForecast = (forecast: SurgeForecast, need: PoolDemand, expected: PoolName | undefined): PoolNeed => {
    const surges = forecast.pools.get(need.pool);
    const expectedVms = need.pool === expected ? (surges?.peakVms ?? 0) : 0;
    const floorVms = surges?.startedAtMs === undefined ? (surges?.initialVms ?? 0) : 0;
    return { ...need, wantedVms: Math.max(need.wantedVms, expectedVms), floorVms };
};
