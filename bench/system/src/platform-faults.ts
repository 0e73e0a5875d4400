import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { startTcpRelay, type TcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import { request } from "undici";
import type { DeployedEntry, Deployment } from "./deployment.js";
import { control } from "./operator-client.js";
import { endProcess, relaunchEntry, waitForReady } from "./process-faults.js";

/** A VM as the platform stand-in lists it. */
interface ListedVm {
    readonly id: string;
    readonly state: string;
    readonly bootId: string;
}

/** Requests that the platform stand-in received, by service. */
export type PlatformCounts = Record<
    "table" | "objects" | "vmList",
    readonly { readonly operation: string; readonly requests: number }[]
>;

/** Sets the same fault for all services of the platform; no keys end all faults. */
export const setPlatformFault = async (deployment: Deployment, fault: object): Promise<void> => {
    await control(`${deployment.platformControlUrl}/control`, { table: fault, objects: fault, vmList: fault });
};

/** Takes all services of the platform down. */
export const takePlatformDown = (deployment: Deployment, down: "refuse" | "hang" = "refuse"): Promise<void> =>
    setPlatformFault(deployment, { down });

/** Ends all faults of the platform. */
export const bringPlatformUp = (deployment: Deployment): Promise<void> => setPlatformFault(deployment, {});

/** Reads the request counters of the platform stand-in. */
export const readPlatformCounts = async (deployment: Deployment): Promise<PlatformCounts> => {
    const response = await request(`${deployment.platformControlUrl}/control`);
    return (await response.body.json()) as PlatformCounts;
};

/** The VMs that the platform listed at the start of the deployment. */
const initialVms = (deployment: Deployment): readonly ListedVm[] =>
    (JSON.parse(readFileSync(join(deployment.folder, "platform.json"), "utf8")) as { vms: readonly ListedVm[] }).vms;

/** Lists a VM as leaving and all others as at the start. */
export const listLeaving = async (deployment: Deployment, vm: string): Promise<void> => {
    const vms = initialVms(deployment).map(row => (row.id === vm ? { ...row, state: "leaving" } : row));
    await control(`${deployment.platformControlUrl}/control`, { vms });
};

/** Lists all VMs as at the start. */
export const listInitial = async (deployment: Deployment): Promise<void> => {
    await control(`${deployment.platformControlUrl}/control`, { vms: initialVms(deployment) });
};

/** The way of one entry to the platform, which can be cut. */
export interface PlatformPath {
    cut: () => Promise<void>;
    restore: () => Promise<void>;
}

interface PlatformAddresses {
    readonly tableUrl: string;
    readonly objectUrl: string;
    readonly vmListUrl: string;
}

const targetOf = (url: string): string => new URL(url).host;
const portOf = (relay: TcpRelay): number => Number(relay.address.split(":").at(-1));

/** Replaces an entry by one that reaches the platform through relays. */
export const relayPlatform = async (deployment: Deployment, entry: DeployedEntry): Promise<PlatformPath> => {
    const { platform } = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as { platform: PlatformAddresses };
    const targets = [platform.tableUrl, platform.objectUrl, platform.vmListUrl].map(targetOf);
    let relays = await Promise.all(targets.map(target => startTcpRelay({ target })));
    const ports = relays.map(portOf);
    const [tableUrl, objectUrl, vmListUrl] = ports.map(port => `http://127.0.0.1:${port}`);
    await endProcess(entry.child, "SIGTERM");
    relaunchEntry(deployment, entry, { platform: { ...platform, tableUrl, objectUrl, vmListUrl } });
    await waitForReady(deployment, entry);
    return {
        cut: async () => {
            const open = relays;
            relays = [];
            await Promise.all(open.map(relay => relay.close()));
        },
        restore: async () => {
            relays = await Promise.all(
                targets.map((target, index) => startTcpRelay({ target, port: ports[index] ?? 0 })),
            );
        },
    };
};

/** Settings file of an entry without platform and peers. */
export const writeIsolatedSettings = (deployment: Deployment, entry: DeployedEntry, ports: readonly number[]) => {
    const settings = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as { platform: object };
    const dead = "http://127.0.0.1:1";
    const at = (port: number | undefined) => ({ ip: "127.0.0.1", port: port ?? 0 });
    const file = join(deployment.folder, "isolated.json");
    writeFileSync(
        file,
        JSON.stringify({
            ...settings,
            vmId: "entry-isolated",
            listen: at(ports[0]),
            peerListen: at(ports[1]),
            operatorListen: at(ports[2]),
            peers: [],
            platform: { ...settings.platform, tableUrl: dead, objectUrl: dead, vmListUrl: dead },
        }),
    );
    return file;
};
