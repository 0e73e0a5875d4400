import type { DataCentreName, VmId } from "@almondusher/fleet/ids";
import { nameSchema } from "@almondusher/fleet/name-schema";
import { defaultPlannerSettings } from "@almondusher/planner/planner-settings";
import { platformSettingsSchema } from "@almondusher/platform/platform-settings";
import { listenSchema } from "@almondusher/settings/listen-schema";
import { z } from "zod";

const DAY_MS = 24 * 60 * 60 * 1000;
const MAX_PERIOD_MS = 366 * DAY_MS;

const durationSchema = (defaultMs: number, minimumMs = 10) =>
    z.int().min(minimumMs).max(MAX_PERIOD_MS).default(defaultMs);

const timingSchema = z.strictObject({
    /** Interval between ticks; each tick renews the lease and plans. */
    tickMs: durationSchema(1000),
    /** A standby may take a lease that has not been renewed (`beat` unchanged) for this long. */
    leaseDurationMs: durationSchema(5000),
    /** Timeout of a call to an entry process. */
    callTimeoutMs: durationSchema(1000),
});

const plannerSchema = z.strictObject({
    maintenancePeriodMs: durationSchema(defaultPlannerSettings.maintenancePeriodMs),
    maintenanceLeadMs: durationSchema(defaultPlannerSettings.maintenanceLeadMs, 0),
    /** In milliseconds since 1970; requests maintenance of every VM that was last maintained before this time. */
    waveRequestedAtMs: z.int().min(0).optional(),
    /** Maximum lag of the platform's VM list; drains wait this long after an entry process has registered. */
    listLagMs: durationSchema(defaultPlannerSettings.listLagMs, 0),
    rebootTimeoutMs: durationSchema(defaultPlannerSettings.rebootTimeoutMs),
    rebootRepeatMs: durationSchema(defaultPlannerSettings.rebootRepeatMs),
    slowDrainMs: durationSchema(defaultPlannerSettings.slowDrainMs),
    lossHoldMs: durationSchema(defaultPlannerSettings.lossHoldMs, 0),
    maxPoolsInMaintenance: z.int().min(0).max(1000).default(defaultPlannerSettings.maxPoolsInMaintenance),
    moveDurationMs: durationSchema(defaultPlannerSettings.moveDurationMs),
    returnAfterMs: durationSchema(defaultPlannerSettings.returnAfterMs),
    borrowUtilisation: z.number().min(0).max(1).default(defaultPlannerSettings.borrowUtilisation),
    returnUtilisation: z.number().min(0).max(1).default(defaultPlannerSettings.returnUtilisation),
});

/** Validates the settings file of almondusher-manager: rejects unknown fields and fills in the defaults. */
export const managerSettingsSchema = z.strictObject({
    /** The entry VM that this process runs on. */
    vmId: nameSchema<VmId>(),
    dataCentre: nameSchema<DataCentreName>(),
    operatorListen: listenSchema,
    peerSecretFile: z.string(),
    operatorSecretFile: z.string(),
    platform: platformSettingsSchema,
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
    timing: timingSchema.prefault({}),
    planner: plannerSchema.prefault({}),
});

/** Validated settings, with the defaults filled in. */
export type ManagerSettings = z.infer<typeof managerSettingsSchema>;
