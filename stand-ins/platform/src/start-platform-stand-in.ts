import {
    applyControl,
    type Control,
    type Controlled,
    readCounts,
    type StandInCounts,
    startControlService,
} from "./control-service.js";
import { startObjectService } from "./object-service.js";
import { type StandInOptions, standInSettingsSchema } from "./stand-in-settings.js";
import { startTableService } from "./table-service.js";
import { createVmList } from "./vm-list.js";
import { startVmService } from "./vm-service.js";

/** A running stand-in; it keeps everything in memory. */
export interface PlatformStandIn {
    readonly tableUrl: string;
    readonly objectUrl: string;
    readonly vmListUrl: string;
    readonly controlUrl: string;
    /** Does what `POST /control` does. */
    control: (control: Control) => Promise<void>;
    counts: () => StandInCounts;
    close: () => Promise<void>;
}

/** Starts the table service, the object store, the VM list and the control API, each on a port of its own. */
export const startPlatformStandIn = async (options: StandInOptions = {}): Promise<PlatformStandIn> => {
    const settings = standInSettingsSchema.parse(options);
    const list = createVmList(settings.vms, settings.listLagMs, settings.rebootMs);
    const controlled: Controlled = {
        table: await startTableService(settings.table),
        objects: await startObjectService(settings.objects),
        vmList: await startVmService(settings.vmList, list),
        list,
    };
    const control = await startControlService(settings.control, controlled);
    const services = [controlled.table, controlled.objects, controlled.vmList, control];
    return {
        tableUrl: controlled.table.url,
        objectUrl: controlled.objects.url,
        vmListUrl: controlled.vmList.url,
        controlUrl: control.url,
        control: request => applyControl(controlled, request),
        counts: () => readCounts(controlled),
        close: async () => {
            await Promise.all(services.map(service => service.close()));
        },
    };
};
