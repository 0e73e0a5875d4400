import { vmSchema } from "@almondusher/fleet/vm";
import { listenSchema } from "@almondusher/settings/listen-schema";
import { z } from "zod";

const DEFAULT_REBOOT_MS = 500;
const loopbackAnyPort = { ip: "127.0.0.1", port: 0 };

/** Schema of the settings. Each service has its own listener, so that each can fail independently. */
export const standInSettingsSchema = z.strictObject({
    table: listenSchema.default(loopbackAnyPort),
    objects: listenSchema.default(loopbackAnyPort),
    vmList: listenSchema.default(loopbackAnyPort),
    control: listenSchema.default(loopbackAnyPort),
    /** Initial list of VMs. */
    vms: z.array(vmSchema).default([]),
    /** Time for which a rebooting VM is absent from the list, after it was `leaving` for half of that time. */
    rebootMs: z.int().min(0).default(DEFAULT_REBOOT_MS),
    /** Age of the list that `GET /vms` returns. */
    listLagMs: z.int().min(0).default(0),
});

/** Settings as callers write them. Absent keys take their defaults. */
export type StandInOptions = z.input<typeof standInSettingsSchema>;
