import type { Assignment } from "@almondusher/fleet/assignment";
import type { Plan } from "./plan.js";

/** Time from which a VM is due for maintenance, in milliseconds since the Unix epoch; 0 if it was never maintained. */
export const dueAtMs = (plan: Plan, row: Assignment): number => {
    const { maintenancePeriodMs, maintenanceLeadMs, waveRequestedAtMs } = plan.input.settings;
    if (row.maintainedAtMs === undefined) {
        return 0;
    }
    const byPeriod = row.maintainedAtMs + maintenancePeriodMs - maintenanceLeadMs;
    const isInWave = waveRequestedAtMs !== undefined && row.maintainedAtMs < waveRequestedAtMs;
    return isInWave ? Math.min(byPeriod, waveRequestedAtMs) : byPeriod;
};

/** True if the VM is due for maintenance now. */
export const isDue = (plan: Plan, row: Assignment): boolean => dueAtMs(plan, row) <= plan.input.nowMs;

/** True for a VM that is draining for maintenance or in maintenance. */
export const isInMaintenance = (row: Assignment): boolean =>
    row.phase.kind === "maintenance" || (row.phase.kind === "draining" && row.phase.purpose.kind === "maintenance");
