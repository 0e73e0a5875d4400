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
    /** One listener for each VM; port 0 takes a free one. */
    vms: z.array(z.strictObject({ vm: nameSchema<VmId>(), port: z.int().min(0).max(MAX_PORT) })).min(1),
    /** Control API; not started if absent. */
    control: listenSchema.optional(),
    /** Requests that a VM runs at once; more are refused with the verdict not-run. */
    slots: z.int().min(1).default(DEFAULT_SLOTS),
    /** Connections that a VM accepts. */
    connections: z.int().min(1).default(DEFAULT_CONNECTIONS),
    /** Run time of a request without x-work-ms. */
    workMs: z.number().min(0).default(0),
    /** Interval at which 102 is sent while a request runs; none if absent. */
    progressIntervalMs: z.int().min(1).optional(),
    /** Answers carry the request's almondusher-request-id header. */
    echoRequestId: z.boolean().default(true),
    /** A run ends when its connection closes; otherwise it keeps its slot for its whole run time. */
    stopWhenClosed: z.boolean().default(true),
    /** Counts runs by request id; costs memory for each request. */
    countRequests: z.boolean().default(true),
});

/** Settings of the endpoint stand-in. */
export type StandInSettings = z.output<typeof standInSettingsSchema>;

/** Settings as callers write them; absent keys have their defaults. */
export type StandInOptions = z.input<typeof standInSettingsSchema>;
