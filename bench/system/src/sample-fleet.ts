/** A service of a sample fleet: a pool of VMs and the route to it. */
export interface SampleService {
    readonly name: string;
    readonly vms: number;
    readonly spare?: boolean;
}

/** Size and layout of a fleet. */
export interface SampleFleet {
    readonly name: string;
    readonly dataCentres: readonly string[];
    readonly services: readonly SampleService[];
    readonly vmsPerRack: number;
    readonly entries: number;
}

/** Fleet of the Union des Experts en Tapis Tissés de Bretagne: three data centres, five services, 35 VMs. */
export const unionFleet: SampleFleet = {
    name: "union",
    dataCentres: ["quimper", "vannes", "morlaix"],
    services: [
        { name: "conditions", vms: 7 },
        { name: "provenance", vms: 7 },
        { name: "letters", vms: 6 },
        { name: "studies", vms: 9 },
        { name: "secretariat", vms: 6, spare: true },
    ],
    vmsPerRack: 4,
    entries: 7,
};

/** Fleet of Lapidaria Software: four data centres, five services of 8 VMs. */
export const lapidariaFleet: SampleFleet = {
    name: "lapidaria",
    dataCentres: ["torino", "milano", "verona", "trieste"],
    services: [
        { name: "plot-sheets", vms: 8 },
        { name: "section-redraws", vms: 8 },
        { name: "reprints", vms: 8 },
        { name: "archive", vms: 8 },
        { name: "servizi-vari", vms: 8, spare: true },
    ],
    vmsPerRack: 4,
    entries: 7,
};
