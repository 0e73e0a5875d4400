const MINUTE_MS = 60_000;
const WEEK_MS = 7 * 24 * 60 * MINUTE_MS;

/** Limits and times of the planner. */
export interface PlannerSettings {
    /** Every VM is maintained once within this time. */
    readonly maintenancePeriodMs: number;
    /** How long before the end of its period a VM may be maintained. */
    readonly maintenanceLeadMs: number;
    /** A wave requested at this time covers every VM last maintained before it; absent without a request. */
    readonly waveRequestedAtMs?: number;
    /** Longest time by which the platform's list lags behind; drains wait this long after an entry process registered. */
    readonly listLagMs: number;
    /** A reboot that takes longer counts the VM as down. */
    readonly rebootTimeoutMs: number;
    /** A reboot that shows no effect on the list is repeated after this time. */
    readonly rebootRepeatMs: number;
    /** A drain that lasts longer no longer holds up maintenance elsewhere. */
    readonly slowDrainMs: number;
    /** A rack or data centre that lost half its VMs stops drains in its pools for this time after the last loss. */
    readonly lossHoldMs: number;
    /** Pools that have VMs in maintenance at the same time. */
    readonly maxPoolsInMaintenance: number;
    /** Time that a move usually takes; a shorter shortage is not answered with a loan. */
    readonly moveDurationMs: number;
    /** A loan is returned after the pool could do without it for this time. */
    readonly returnAfterMs: number;
    /** Share of its slots at which a pool is short of VMs. */
    readonly borrowUtilisation: number;
    /** Share of the remaining slots below which a pool gives a loan back; lower than `borrowUtilisation`. */
    readonly returnUtilisation: number;
}

/** Settings that suit both small and large fleets; docs/decisions/planner.md gives the reasons. */
export const defaultPlannerSettings: PlannerSettings = {
    maintenancePeriodMs: 8 * WEEK_MS,
    maintenanceLeadMs: WEEK_MS / 7,
    listLagMs: 30_000,
    rebootTimeoutMs: 15 * MINUTE_MS,
    rebootRepeatMs: 2 * MINUTE_MS,
    slowDrainMs: 30 * MINUTE_MS,
    lossHoldMs: 60 * MINUTE_MS,
    maxPoolsInMaintenance: 24,
    moveDurationMs: 2 * MINUTE_MS,
    returnAfterMs: 3 * MINUTE_MS,
    borrowUtilisation: 0.85,
    returnUtilisation: 0.6,
};
