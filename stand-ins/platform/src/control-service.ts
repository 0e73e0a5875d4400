import { vmSchema } from "@almondusher/fleet/vm";
import type { ListenAddress } from "@almondusher/settings/listen-schema";
import { z } from "zod";
import { faultSchema } from "./fault.js";
import { type OperationCount, type Service, type ServiceReply, type ServiceRequest, startService } from "./service.js";
import { replaceVms, type VmList } from "./vm-list.js";

/** Schema of a control request. Absent keys leave the corresponding state unchanged. */
const controlSchema = z.strictObject({
    table: faultSchema.optional(),
    objects: faultSchema.optional(),
    vmList: faultSchema.optional(),
    listLagMs: z.int().min(0).optional(),
    rebootMs: z.int().min(0).optional(),
    /** Replaces the whole list of VMs. */
    vms: z.array(vmSchema).optional(),
    /** Additional rows of any form in the VM list, to test how clients handle malformed rows. */
    extraRows: z.array(z.unknown()).optional(),
});

/** A control request as callers write it. */
export type Control = z.input<typeof controlSchema>;

/** Services and state that the control API changes. */
export interface ControlTargets {
    readonly table: Service;
    readonly objects: Service;
    readonly vmList: Service;
    readonly list: VmList;
}

/** Number of requests that each service has received since the start, by operation. */
export interface StandInCounts {
    readonly table: readonly OperationCount[];
    readonly objects: readonly OperationCount[];
    readonly vmList: readonly OperationCount[];
}

export const readCounts = ({ table, objects, vmList }: ControlTargets): StandInCounts => ({
    table: table.counts(),
    objects: objects.counts(),
    vmList: vmList.counts(),
});

/** Applies a control request. Throws a ZodError if it is malformed. */
export const applyControl = async (targets: ControlTargets, input: unknown): Promise<void> => {
    const control = controlSchema.parse(input);
    const { list } = targets;
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
                await targets[name].setFault(fault);
            }
        }),
    );
};

const reply = (status: number, body: unknown): ServiceReply => ({
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
});

const answer = async (targets: ControlTargets, request: ServiceRequest): Promise<ServiceReply> => {
    if (request.path !== "/control") {
        return reply(404, { message: "unknown path; use GET or POST /control" });
    }
    if (request.method === "POST") {
        try {
            await applyControl(targets, JSON.parse(request.body));
        } catch (error) {
            return reply(400, { message: error instanceof z.ZodError ? z.prettifyError(error) : String(error) });
        }
    }
    return reply(200, readCounts(targets));
};

/** Starts the control API: `POST /control` sets faults, lag and VMs, and `GET /control` returns the request counts. */
export const startControlService = (listen: ListenAddress, targets: ControlTargets): Promise<Service> =>
    startService({
        listen,
        operationOf: request => request.method,
        isWrite: () => false,
        answer: request => answer(targets, request),
        busyReply: { status: 503 },
    });
