import { vmSchema } from "@almondusher/fleet/vm";
import type { Listen } from "@almondusher/settings/listen-schema";
import { z } from "zod";
import { faultSchema } from "./fault.js";
import { type OperationCount, type Service, type ServiceReply, type ServiceRequest, startService } from "./service.js";
import { replaceVms, type VmList } from "./vm-list.js";

/** Schema of a control request; a key left out leaves that part as it is. */
const controlSchema = z.strictObject({
    table: faultSchema.optional(),
    objects: faultSchema.optional(),
    vmList: faultSchema.optional(),
    listLagMs: z.int().min(0).optional(),
    rebootMs: z.int().min(0).optional(),
    /** The whole list of VMs. */
    vms: z.array(vmSchema).optional(),
    /** Rows that the list returns in addition, to test readers with malformed ones. */
    extraRows: z.array(z.unknown()).optional(),
});

/** A control request as written. */
export type Control = z.input<typeof controlSchema>;

/** What the control API can reach. */
export interface Controlled {
    readonly table: Service;
    readonly objects: Service;
    readonly vmList: Service;
    readonly list: VmList;
}

/** Requests that each service has received since the start. */
export interface StandInCounts {
    readonly table: readonly OperationCount[];
    readonly objects: readonly OperationCount[];
    readonly vmList: readonly OperationCount[];
}

/** Reads the request counters. */
export const readCounts = ({ table, objects, vmList }: Controlled): StandInCounts => ({
    table: table.counts(),
    objects: objects.counts(),
    vmList: vmList.counts(),
});

/** Applies a control request; throws a ZodError if it is malformed. */
export const applyControl = async (controlled: Controlled, input: unknown): Promise<void> => {
    const control = controlSchema.parse(input);
    const { list } = controlled;
    list.lagMs = control.listLagMs ?? list.lagMs;
    list.rebootMs = control.rebootMs ?? list.rebootMs;
    list.extraRows = control.extraRows ?? list.extraRows;
    if (control.vms !== undefined) {
        replaceVms(list, control.vms, performance.now());
    }
    const services = ["table", "objects", "vmList"] as const;
    await Promise.all(
        services.map(async name => {
            const fault = control[name];
            if (fault !== undefined) {
                await controlled[name].setFault(fault);
            }
        }),
    );
};

const reply = (status: number, body: unknown): ServiceReply => ({
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
});

const answer = async (controlled: Controlled, request: ServiceRequest): Promise<ServiceReply> => {
    if (request.path !== "/control") {
        return reply(404, { message: "use /control" });
    }
    if (request.method === "POST") {
        try {
            await applyControl(controlled, JSON.parse(request.body));
        } catch (error) {
            return reply(400, { message: error instanceof z.ZodError ? z.prettifyError(error) : String(error) });
        }
    }
    return reply(200, readCounts(controlled));
};

/** Starts the control API: `POST /control` sets faults, the lag and VMs; `GET /control` returns the counters. */
export const startControlService = (listen: Listen, controlled: Controlled): Promise<Service> =>
    startService({
        listen,
        operationOf: request => request.method,
        isWrite: () => false,
        answer: request => answer(controlled, request),
        busyReply: { status: 503 },
    });
