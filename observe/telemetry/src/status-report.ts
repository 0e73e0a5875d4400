import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import { nameSchema } from "@almondusher/fleet/name-schema";
import { z } from "zod";
import type { OperatorRoute } from "./operator-server.js";

const countSchema = z.int().min(0);

/** Schema of the response of GET /status. */
export const statusReportSchema = z.object({
    program: z.string(),
    processId: nameSchema<ProcessId>(),
    vm: nameSchema<VmId>(),
    /** Revision of the fleet state that the process uses. */
    revision: countSchema,
    ready: z.boolean(),
    /** Why the process is not ready. */
    reason: z.string().optional(),
    /** Managers only: true if this one holds the lease. */
    leading: z.boolean().optional(),
    /** Drains in progress. A manager sets `waitingFor` of each drain, an entry sets `inFlight`. */
    drains: z.array(
        z.object({
            vm: nameSchema<VmId>(),
            pool: nameSchema<PoolName>(),
            /** Requests of this process in flight on the VM. */
            inFlight: countSchema.optional(),
            /** Processes that have not confirmed the drain yet, with the reason. */
            waitingFor: z.array(z.string()).default([]),
        }),
    ),
    /** Maintenance waves in progress. */
    waves: z
        .array(
            z.object({
                pool: nameSchema<PoolName>(),
                done: countSchema,
                total: countSchema,
                /** VMs in maintenance or being drained for it. */
                underWay: z.array(nameSchema<VmId>()),
                /** Why the maintenance of the next VM cannot start yet. */
                waitingFor: z.string().optional(),
            }),
        )
        .default([]),
});

/** State of one process, with the drains and maintenance waves that it knows of. */
export type StatusReport = z.infer<typeof statusReportSchema>;

/** Creates the operator route GET /status. */
export const statusRoute = (read: () => StatusReport): OperatorRoute => ({
    method: "GET",
    path: "/status",
    handle: () => ({ status: 200, body: read() }),
});
