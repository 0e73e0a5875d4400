import {
    applyControl,
    type Control,
    type ControlTargets,
    readCounts,
    type StandInCounts,
    startControlService,
} from "./control-service.js";
import { startObjectService } from "./object-service.js";
import { type StandInOptions, standInSettingsSchema } from "./stand-in-settings.js";
import { startTableService } from "./table-service.js";
import { createVmList } from "./vm-list.js";
import { startVmService } from "./vm-service.js";

/** The URLs and controls of a started stand-in, which keeps all data in memory. */
export interface PlatformStandIn {
    readonly tableUrl: string;
    readonly objectUrl: string;
    readonly vmListUrl: string;
    readonly controlUrl: string;
    /** Applies a control request, as `POST /control` does. */
    control: (control: Control) => Promise<void>;
    counts: () => StandInCounts;
    close: () => Promise<void>;
}

/** Starts the table service, the object store, the VM list and the control API on separate ports. */
export const startPlatformStandIn = async (options: StandInOptions = {}): Promise<PlatformStandIn> => {
    const settings = standInSettingsSchema.parse(options);
    const list = createVmList(settings.vms, settings.listLagMs, settings.rebootMs);
    const targets: ControlTargets = {
        table: await startTableService(settings.table),
        objects: await startObjectService(settings.objects),
        vmList: await startVmService(settings.vmList, list),
        list,
    };
    const control = await startControlService(settings.control, targets);
    const services = [targets.table, targets.objects, targets.vmList, control];
    return {
        tableUrl: targets.table.url,
        objectUrl: targets.objects.url,
        vmListUrl: targets.vmList.url,
        controlUrl: control.url,
        control: request => applyControl(targets, request),
        counts: () => readCounts(targets),
        close: async () => {
            await Promise.all(services.map(service => service.close()));
        },
    };
};
