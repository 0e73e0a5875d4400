import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { VmId } from "@almondusher/fleet/ids";
import { createControlServer } from "./control-server.js";
import { type EndpointVm, startEndpointVm } from "./endpoint-vm.js";
import { createRunCounts, listRuns, type RunCount } from "./run-counts.js";
import { type StandInOptions, standInSettingsSchema } from "./stand-in-settings.js";

/** One or more simulated endpoint VMs and their control API. */
export interface EndpointStandIn {
    readonly vms: readonly EndpointVm[];
    /** IP address and port of the control API, or undefined if the settings do not enable it. */
    readonly controlAddress: string | undefined;
    /** Returns the VM with the given id, or throws if there is none. */
    vm: (vm: VmId) => EndpointVm;
    /** Run counts by almondusher-request-id. */
    runsByRequest: () => RunCount[];
    /** Run counts by Idempotency-Key. */
    runsByKey: () => RunCount[];
    close: () => Promise<void>;
}

/** Starts all VMs and, if the settings contain `control`, the control API. */
export const startEndpointStandIn = async (options: StandInOptions): Promise<EndpointStandIn> => {
    const settings = standInSettingsSchema.parse(options);
    const runCounts = createRunCounts();
    const vms = await Promise.all(
        settings.vms.map(({ vm, port }) => startEndpointVm({ vm, port, settings, runCounts })),
    );
    const control = settings.control === undefined ? undefined : createControlServer({ vms, runCounts });
    if (control !== undefined && settings.control !== undefined) {
        control.listen(settings.control.port, settings.control.ip);
        await once(control, "listening");
    }
    return {
        vms,
        controlAddress: control === undefined ? undefined : addressOf(control),
        vm: id => findVm(vms, id),
        runsByRequest: () => listRuns(runCounts.byRequest),
        runsByKey: () => listRuns(runCounts.byKey),
        close: async () => {
            control?.close();
            control?.closeAllConnections();
            await Promise.all(vms.map(vm => vm.close()));
        },
    };
};

const addressOf = (server: Server): string => {
    const { address, port } = server.address() as AddressInfo;
    return address.includes(":") ? `[${address}]:${port}` : `${address}:${port}`;
};

const findVm = (vms: readonly EndpointVm[], id: VmId): EndpointVm => {
    const found = vms.find(vm => vm.vm === id);
    if (found === undefined) {
        throw new Error(`this endpoint stand-in has no VM ${id}`);
    }
    return found;
};
