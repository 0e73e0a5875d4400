import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { applyTables } from "./apply-tables.js";
import { type DeployedEntry, type Deployment, launchEntry, startDeployment } from "./deployment.js";
import { sampleTables } from "./fleet-layout.js";
import type { ProcessLimits } from "./limited-command.js";
import { postControl, pollUntil, readDump } from "./operator-client.js";
import { describeChild } from "./process-faults.js";
import type { SampleFleet } from "./sample-fleet.js";

const START_TIMEOUT_MS = 30_000;
const VM_LIST_INTERVAL_MS = 200;

export interface FailureFleetOptions {
    /** Each service gets its own pool and route, so that faults of one test do not affect the others. */
    readonly services: readonly string[];
    readonly vmsPerService: number;
    readonly entries: number;
    /** VM addresses to list instead of those of the endpoint stand-in, for example those of a relay. */
    readonly addresses?: readonly VmAddress[];
    /** Fields that override the defaults in every row of the routes table. */
    readonly routeKeys?: object;
    /** Fields that override the defaults in every row of the pools table. */
    readonly poolKeys?: object;
    readonly timing?: object;
    readonly limits?: object;
    readonly endpointSettings?: object;
    readonly entryLimits?: ProcessLimits;
}

/** Address of an endpoint VM in the form ip:port. */
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

/** Address of a VM's server in the endpoint stand-in. */
export const addressOf = (deployment: Deployment, vm: string): string =>
    listedVms(deployment).find(row => row.id === vm)?.address ?? "";

/** Replaces the addresses of the given VMs in the platform's VM list; all other VMs keep theirs. */
export const replaceVmAddresses = async (deployment: Deployment, addresses: readonly VmAddress[]): Promise<void> => {
    const vms = listedVms(deployment).map(row => ({
        ...row,
        address: addresses.find(other => other.vm === row.id)?.address ?? row.address,
    }));
    await postControl(`${deployment.platformControlUrl}/control`, { vms });
};

/** Waits until an entry is ready and has the given number of serving VMs. */
export const waitForServing = (deployment: Deployment, entry: DeployedEntry, vms: number): Promise<true> =>
    pollUntil({
        what: `${vms} serving VMs in ${entry.vmId}`,
        timeoutMs: START_TIMEOUT_MS,
        read: async () => {
            const { sections } = await readDump(deployment, entry.operatorUrl);
            const serving = sections.assignments.filter(row => row.phase.kind === "serving").length;
            return sections.readiness.ready && serving >= vms ? true : undefined;
        },
        describeState: () => describeChild(deployment, entry.child),
    });

// The failure tests cover the data path. Without managers every later write to the platform comes from an entry, so
// that tests can count writes of claims.
const stopManagers = async ({ managers }: Deployment): Promise<void> => {
    managers.forEach(manager => manager.child.process.kill("SIGTERM"));
    await Promise.all(managers.map(manager => manager.child.exited));
};

/** Starts a deployment, waits until all VMs serve in every entry, and then stops the managers. */
export const startFailureFleet = async (options: FailureFleetOptions): Promise<Deployment> => {
    const deployment = await startDeployment({
        fleet: fleetOf(options),
        folder: mkdtempSync(join(tmpdir(), "almondusher-failures-")),
        entrySettings: { timing: { vmListMs: VM_LIST_INTERVAL_MS, ...options.timing }, limits: { ...options.limits } },
        endpointSettings: { ...options.endpointSettings },
        entryLimits: options.entryLimits,
    });
    try {
        await replaceVmAddresses(deployment, options.addresses ?? []);
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

/** Restarts an entry whose process has exited and waits until it is ready with the given number of serving VMs. */
export const restartEntry = async (deployment: Deployment, entry: DeployedEntry, vms: number): Promise<void> => {
    entry.child = launchEntry(entry.vmId, entry.settingsFile, deployment.folder);
    await waitForServing(deployment, entry, vms);
};
