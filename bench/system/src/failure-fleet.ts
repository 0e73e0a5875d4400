import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { applyTables } from "./apply-tables.js";
import { type DeployedEntry, type Deployment, launchEntry, startDeployment } from "./deployment.js";
import { sampleTables } from "./fleet-layout.js";
import { control, pollUntil, readDump } from "./operator-client.js";
import type { SampleFleet } from "./sample-fleet.js";

const START_LIMIT_MS = 30_000;
const VM_LIST_MS = 200;

export interface FailureFleetOptions {
    /** One pool and one route for each name, so that the faults of one test reach no other. */
    readonly services: readonly string[];
    readonly vmsPerService: number;
    readonly entries: number;
    /** Addresses that replace those of the endpoint stand-in, such as those of a relay. */
    readonly addresses?: readonly VmAddress[];
    /** Keys that replace those of every route. */
    readonly routeKeys?: object;
    /** Keys that replace those of every pool. */
    readonly poolKeys?: object;
    readonly timing?: object;
    readonly limits?: object;
    readonly endpointSettings?: object;
}

/** Address of one endpoint VM: IP address and port. */
export interface VmAddress {
    readonly vm: string;
    readonly address: string;
}

const fleetOf = ({ services, vmsPerService, entries }: FailureFleetOptions): SampleFleet => ({
    name: "failures",
    dataCentres: ["quimper", "vannes"],
    services: services.map(name => ({ name, vms: vmsPerService })),
    vmsPerRack: 4,
    entries,
});

const tablesOf = (options: FailureFleetOptions) => {
    const { routes, pools } = sampleTables(fleetOf(options));
    return {
        routes: routes.map(route => ({ ...route, ...options.routeKeys })),
        pools: pools.map(pool => ({ ...pool, minAvailable: options.vmsPerService - 1, ...options.poolKeys })),
    };
};

interface ListedVm {
    readonly id: string;
    readonly address: string;
}

const listedVms = ({ folder }: Deployment): readonly ListedVm[] =>
    (JSON.parse(readFileSync(join(folder, "platform.json"), "utf8")) as { vms: readonly ListedVm[] }).vms;

/** Address at which the endpoint stand-in serves a VM. */
export const addressOf = (deployment: Deployment, vm: string): string =>
    listedVms(deployment).find(row => row.id === vm)?.address ?? "";

/** Lists VMs at other addresses, such as those of relays; the other VMs keep theirs. */
export const readdressVms = async (deployment: Deployment, addresses: readonly VmAddress[]): Promise<void> => {
    const vms = listedVms(deployment).map(row => ({
        ...row,
        address: addresses.find(other => other.vm === row.id)?.address ?? row.address,
    }));
    await control(`${deployment.platformControlUrl}/control`, { vms });
};

/** Waits until an entry sends to the given number of VMs. */
const waitForServing = (deployment: Deployment, entry: DeployedEntry, vms: number): Promise<true> =>
    pollUntil({
        what: `${vms} VMs serving in ${entry.vmId}`,
        timeoutMs: START_LIMIT_MS,
        read: async () => {
            const { sections } = await readDump(deployment, entry.operatorUrl);
            const serving = sections.assignments.filter(row => row.phase.kind === "serving").length;
            return sections.readiness.ready && serving >= vms ? true : undefined;
        },
    });

// Once all VMs serve, only the data path is under test; without managers every further write is one of an entry.
const stopManagers = async ({ managers }: Deployment): Promise<void> => {
    managers.forEach(manager => manager.child.process.kill("SIGTERM"));
    await Promise.all(managers.map(manager => manager.child.exited));
};

/** Starts a deployment for failure tests, without managers, and waits until every entry serves all pools. */
export const startFailureFleet = async (options: FailureFleetOptions): Promise<Deployment> => {
    const deployment = await startDeployment({
        fleet: fleetOf(options),
        folder: mkdtempSync(join(tmpdir(), "almondusher-failures-")),
        entrySettings: { timing: { vmListMs: VM_LIST_MS, ...options.timing }, limits: { ...options.limits } },
        endpointSettings: { ...options.endpointSettings },
    });
    try {
        await readdressVms(deployment, options.addresses ?? []);
        await applyTables(deployment, tablesOf(options));
        const vms = options.services.length * options.vmsPerService;
        await Promise.all(deployment.entries.map(entry => waitForServing(deployment, entry, vms)));
        await stopManagers(deployment);
        return deployment;
    } catch (error) {
        await deployment.stop();
        throw error;
    }
};

/** Starts a new process in the place of an entry that has ended, and waits until it serves. */
export const restartEntry = async (deployment: Deployment, entry: DeployedEntry, vms: number): Promise<void> => {
    entry.child = launchEntry(entry.vmId, entry.settingsFile, deployment.folder);
    await waitForServing(deployment, entry, vms);
};
