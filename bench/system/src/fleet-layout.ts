import type { SampleFleet } from "./sample-fleet.js";

/** A VM of a sample fleet with its data centre and rack. */
export interface PlacedVm {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly rack: string;
}

/** Distributes the VMs of every service round-robin over the data centres and fills one rack after the other. */
export const layOutVms = (fleet: SampleFleet): readonly PlacedVm[] => {
    const counts = new Map<string, number>();
    return fleet.services.flatMap(service =>
        Array.from({ length: service.vms }, (unused, index) => {
            const dataCentre = fleet.dataCentres[index % fleet.dataCentres.length] ?? "";
            const placed = counts.get(dataCentre) ?? 0;
            counts.set(dataCentre, placed + 1);
            return {
                id: `${service.name}-${index + 1}`,
                service: service.name,
                dataCentre,
                rack: `${dataCentre}-${Math.floor(placed / fleet.vmsPerRack) + 1}`,
            };
        }),
    );
};

/** Routes and pools of a sample fleet in the format of an operator's table file. */
export const sampleTables = (fleet: SampleFleet) => {
    const vms = layOutVms(fleet);
    const served = fleet.services.filter(service => service.spare !== true);
    return {
        routes: served.map(service => ({
            name: service.name,
            pathPrefix: `/${service.name}`,
            pool: service.name,
            team: `${service.name}-team`,
        })),
        pools: fleet.services.map(service => ({
            name: service.name,
            vms: vms.filter(vm => vm.service === service.name).map(vm => vm.id),
            minAvailable: service.spare === true ? 0 : service.vms - 2,
            spare: service.spare === true,
            maxBorrowed: service.spare === true ? 0 : 2,
        })),
    };
};
