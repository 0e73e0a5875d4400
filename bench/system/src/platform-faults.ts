import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { startTcpRelay, type TcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import { request } from "undici";
import type { DeployedEntry, Deployment } from "./deployment.js";
import { postControl } from "./operator-client.js";
import { endProcess, relaunchEntry, waitForReady } from "./process-faults.js";

interface ListedVm {
    readonly id: string;
    readonly state: string;
    readonly bootId: string;
}

/** Request counters of the platform stand-in by service. */
export type PlatformCounts = Record<
    "table" | "objects" | "vmList",
    readonly { readonly operation: string; readonly requests: number }[]
>;

/** Injects the same fault into all services of the platform; an empty object clears all faults. */
export const setPlatformFault = async (deployment: Deployment, fault: object): Promise<void> => {
    await postControl(`${deployment.platformControlUrl}/control`, { table: fault, objects: fault, vmList: fault });
};

/** Makes all services of the platform refuse connections or not respond. */
export const takePlatformDown = (deployment: Deployment, down: "refuse" | "hang" = "refuse"): Promise<void> =>
    setPlatformFault(deployment, { down });

/** Clears all faults of the platform. */
export const bringPlatformUp = (deployment: Deployment): Promise<void> => setPlatformFault(deployment, {});

/** Reads the request counters of the platform stand-in. */
export const readPlatformCounts = async (deployment: Deployment): Promise<PlatformCounts> => {
    const response = await request(`${deployment.platformControlUrl}/control`);
    return (await response.body.json()) as PlatformCounts;
};

/** Reads the VM list with which the platform stand-in was started. */
const initialVms = (deployment: Deployment): readonly ListedVm[] =>
    (JSON.parse(readFileSync(join(deployment.folder, "platform.json"), "utf8")) as { vms: readonly ListedVm[] }).vms;

/** Sets the VM list to the initial one, with one VM in state `leaving`. */
export const listVmAsLeaving = async (deployment: Deployment, vm: string): Promise<void> => {
    const vms = initialVms(deployment).map(row => (row.id === vm ? { ...row, state: "leaving" } : row));
    await postControl(`${deployment.platformControlUrl}/control`, { vms });
};

/** Restores the initial VM list. */
export const listInitialVms = async (deployment: Deployment): Promise<void> => {
    await postControl(`${deployment.platformControlUrl}/control`, { vms: initialVms(deployment) });
};

/** Relayed connections of one entry to the platform. */
export interface PlatformLink {
    disconnect: () => Promise<void>;
    reconnect: () => Promise<void>;
}

interface PlatformAddresses {
    readonly tableUrl: string;
    readonly objectUrl: string;
    readonly vmListUrl: string;
}

const targetOf = (url: string): string => new URL(url).host;
const portOf = (relay: TcpRelay): number => Number(relay.address.split(":").at(-1));

/** Restarts an entry with settings that connect it to the platform through TCP relays. */
export const relayPlatformTraffic = async (deployment: Deployment, entry: DeployedEntry): Promise<PlatformLink> => {
    const { platform } = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as { platform: PlatformAddresses };
    const targets = [platform.tableUrl, platform.objectUrl, platform.vmListUrl].map(targetOf);
    let relays = await Promise.all(targets.map(target => startTcpRelay({ target })));
    const ports = relays.map(portOf);
    const [tableUrl, objectUrl, vmListUrl] = ports.map(port => `http://127.0.0.1:${port}`);
    await endProcess(entry.child, "SIGTERM");
    relaunchEntry(deployment, entry, { platform: { ...platform, tableUrl, objectUrl, vmListUrl } });
    await waitForReady(deployment, entry);
    return {
        disconnect: async () => {
            const open = relays;
            relays = [];
            await Promise.all(open.map(relay => relay.close()));
        },
        reconnect: async () => {
            relays = await Promise.all(
                targets.map((target, index) => startTcpRelay({ target, port: ports[index] ?? 0 })),
            );
        },
    };
};

/** Writes settings for an additional entry that can reach neither the platform nor peers. */
export const writeIsolatedSettings = (deployment: Deployment, entry: DeployedEntry, ports: readonly number[]) => {
    const settings = JSON.parse(readFileSync(entry.settingsFile, "utf8")) as { platform: object };
    const unreachableUrl = "http://127.0.0.1:1";
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
            platform: {
                ...settings.platform,
                tableUrl: unreachableUrl,
                objectUrl: unreachableUrl,
                vmListUrl: unreachableUrl,
            },
        }),
    );
    return file;
};
