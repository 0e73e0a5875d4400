import type { TenantName } from "@almondusher/jobs/ids";

/** What tenants have used within a sliding window. */
export interface UseWindow {
    /** In the order of their times. */
    readonly intervals: UseInterval[];
    /** Last time of `countUse`, in milliseconds; undefined before the first. */
    countedUntilMs: number | undefined;
    /** Runs at that time. */
    active: readonly ActiveUse[];
}

interface UseInterval {
    readonly startedAtMs: number;
    /** CPU time in millicores times milliseconds, by tenant. */
    readonly used: Map<TenantName, number>;
}

/** CPU that a tenant's run has in use since its start. */
export interface ActiveUse {
    /** Identity of the run. */
    readonly run: object;
    readonly tenant: TenantName;
    /** In millicores. */
    readonly cpu: number;
    readonly startedAtMs: number;
}

/**
 * Length of the window in milliseconds. Long enough to count several short jobs of a tenant, and so short that a surge
 * weighs on its tenant for about as long as it lasts, and that a quiet tenant is owed nothing for earlier times.
 */
export const USE_WINDOW_MS = 4500;
// Use is kept for intervals of this length, so that the number of calls does not matter.
const INTERVAL_MS = 100;

/** Creates an empty window. */
export const createUseWindow = (): UseWindow => ({ intervals: [], countedUntilMs: undefined, active: [] });

/**
 * Counts what the runs have used since the last call, and forgets what lies before the window. The first call counts
 * their use within the window, so that a successor begins with about what its predecessor knew.
 */
export const countUse = (window: UseWindow, nowMs: number, active: readonly ActiveUse[]): void => {
    const sinceMs = Math.max(window.countedUntilMs ?? -Infinity, nowMs - USE_WINDOW_MS);
    if (nowMs > sinceMs) {
        const { used } = intervalAt(window, nowMs);
        const charge = ({ tenant, cpu }: ActiveUse, usedMs: number): void =>
            void used.set(tenant, (used.get(tenant) ?? 0) + cpu * usedMs);
        active.forEach(use => charge(use, Math.max(0, nowMs - Math.max(use.startedAtMs, sinceMs))));
        // A run that has ended since then ended halfway on average.
        const present = new Set(active.map(({ run }) => run));
        window.active.filter(({ run }) => !present.has(run)).forEach(use => charge(use, (nowMs - sinceMs) / 2));
        window.active = active;
    }
    while ((window.intervals[0]?.startedAtMs ?? nowMs) <= nowMs - USE_WINDOW_MS) {
        window.intervals.shift();
    }
    window.countedUntilMs = Math.max(window.countedUntilMs ?? nowMs, nowMs);
};

/** CPU time that each tenant has used within the window, in millicores times milliseconds. */
export const usedInWindow = ({ intervals }: UseWindow): Map<TenantName, number> => {
    const sums = new Map<TenantName, number>();
    intervals.forEach(({ used }) =>
        used.forEach((amount, tenant) => sums.set(tenant, (sums.get(tenant) ?? 0) + amount)),
    );
    return sums;
};

const intervalAt = ({ intervals }: UseWindow, nowMs: number): UseInterval => {
    const last = intervals.at(-1);
    if (last !== undefined && nowMs - last.startedAtMs < INTERVAL_MS) {
        return last;
    }
    const added = { startedAtMs: nowMs, used: new Map<TenantName, number>() };
    intervals.push(added);
    return added;
};
