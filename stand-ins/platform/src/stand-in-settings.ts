import { vmSchema } from "@almondusher/fleet/vm";
import { listenSchema } from "@almondusher/settings/listen-schema";
import { z } from "zod";

const DEFAULT_REBOOT_MS = 500;
const anyPort = { ip: "127.0.0.1", port: 0 };

/** Schema of the settings of the stand-in; each service has a listener of its own, so that each can fail alone. */
export const standInSettingsSchema = z.strictObject({
    table: listenSchema.default(anyPort),
    objects: listenSchema.default(anyPort),
    vmList: listenSchema.default(anyPort),
    control: listenSchema.default(anyPort),
    /** VMs on the list at the start. */
    vms: z.array(vmSchema).default([]),
    /** Time that a VM is off the list while it reboots; before, it is leaving for half of that time. */
    rebootMs: z.int().min(0).default(DEFAULT_REBOOT_MS),
    /** Age of the list that `GET /vms` returns. */
    listLagMs: z.int().min(0).default(0),
});

/** Settings of the stand-in as written, with every key optional. */
export type StandInOptions = z.input<typeof standInSettingsSchema>;
