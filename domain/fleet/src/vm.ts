import { z } from "zod";
import type { DataCentreName, RackName, VmId } from "./ids.js";
import { nameSchema } from "./name-schema.js";

/** Schema of a VM in the platform's list. */
export const vmSchema = z.object({
    id: nameSchema<VmId>(),
    role: z.enum(["endpoint", "entry"]),
    state: z.enum(["live", "leaving"]),
    /** Changes with every boot of the VM. */
    bootId: z.string(),
    /** IP address and port, for example 10.0.0.7:8080. */
    address: z
        .string()
        .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "must be an IP address and a port"),
    rack: nameSchema<RackName>(),
    dataCentre: nameSchema<DataCentreName>(),
});

/** A VM as listed by the platform; the list may be out of date. */
export type Vm = z.infer<typeof vmSchema>;
