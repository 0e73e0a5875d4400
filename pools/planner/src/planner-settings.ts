const MINUTE_MS = 60_000;
const WEEK_MS = 7 * 24 * 60 * MINUTE_MS;

/** Limits and durations that the planner uses. */
export interface PlannerSettings {
    /** Period within which every VM is maintained once. */
    readonly maintenancePeriodMs: number;
    /** How long before the end of its maintenance period a VM becomes due. */
    readonly maintenanceLeadMs: number;
    /** Time of the requested wave, which covers every VM last maintained before it; absent if none is requested. */
    readonly waveRequestedAtMs?: number;
    /** Maximum lag of the platform's VM list; a drain waits at least this long after an entry process registered. */
    readonly listLagMs: number;
    /**
     * Time after the start of its drain after which a VM in maintenance is reported as overdue. After `slowDrainMs` more,
     * it no longer blocks maintenance of other racks and data centres.
     */
    readonly rebootTimeoutMs: number;
    /** Time after which a reboot is requested again if the list still shows the old boot. */
    readonly rebootRepeatMs: number;
    /** Time after which a drain no longer blocks maintenance of other racks and data centres. */
    readonly slowDrainMs: number;
    /**
     * How long a VM that went down counts as lost. No drain starts in the pools of a rack or data centre that has lost
     * half its VMs.
     */
    readonly lossHoldMs: number;
    /** Maximum number of pools with VMs in maintenance at the same time. */
    readonly maxPoolsInMaintenance: number;
    /** Usual duration of a move; a shorter shortage does not start a loan. */
    readonly moveDurationMs: number;
    /** How long a pool must have a surplus before it returns a loan. */
    readonly returnAfterMs: number;
    /** Slot utilisation above which a pool has a shortage of VMs. */
    readonly borrowUtilisation: number;
    /** Slot utilisation, without the loan, below which a pool returns it; lower than `borrowUtilisation`. */
    readonly returnUtilisation: number;
}

/** Defaults for both small and large fleets; docs/decisions/planner.md gives the reasons. */
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
