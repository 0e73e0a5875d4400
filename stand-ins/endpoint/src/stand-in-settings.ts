import type { VmId } from "@almondusher/fleet/ids";
import { nameSchema } from "@almondusher/fleet/name-schema";
import { listenSchema } from "@almondusher/settings/listen-schema";
import { z } from "zod";

const MAX_PORT = 65_535;
const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;

/** Schema of the settings of the endpoint stand-in. */
export const standInSettingsSchema = z.strictObject({
    ip: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
    /** One listener for each VM. Port 0 selects a free port. */
    vms: z.array(z.strictObject({ vm: nameSchema<VmId>(), port: z.int().min(0).max(MAX_PORT) })).min(1),
    /** Listener of the control API, which is not started if absent. */
    control: listenSchema.optional(),
    /** Requests that a VM runs concurrently. Further ones are rejected with the verdict not-run. */
    slots: z.int().min(1).default(DEFAULT_SLOTS),
    /** Maximum number of open connections of a VM. */
    connections: z.int().min(1).default(DEFAULT_CONNECTIONS),
    /** Run time of a request without the header x-work-ms. */
    workMs: z.number().min(0).default(0),
    /** Interval of the 102 responses that are sent while a request runs. None are sent if absent. */
    progressIntervalMs: z.int().min(1).optional(),
    /** Copies the request's almondusher-request-id header to the answer. */
    echoRequestId: z.boolean().default(true),
    /** Ends a run when its connection closes. Otherwise the run keeps its slot for its whole run time. */
    stopWhenClosed: z.boolean().default(true),
    /** Counts the runs of each request id, which takes memory for every request. */
    countRequests: z.boolean().default(true),
});

/** Validated settings with all defaults filled in. */
export type StandInSettings = z.output<typeof standInSettingsSchema>;

/** Settings as callers write them. Absent keys take their defaults. */
export type StandInOptions = z.input<typeof standInSettingsSchema>;
