import type { FaultInput } from "@almondusher/endpoint-stand-in/fault-schema";
import { request } from "undici";
import type { Deployment } from "./deployment.js";
import { control } from "./operator-client.js";

/** How often a request id or an idempotency key was run. */
interface RunRow {
    readonly id: string;
    readonly runs: number;
}

/** What the endpoints counted. */
export interface EndpointCounts {
    readonly vms: readonly {
        readonly vm: string;
        readonly slotsInUse: number;
        readonly runs: number;
        readonly connections: number;
    }[];
    readonly requests: readonly RunRow[];
    readonly keys: readonly RunRow[];
}

/** Reads the endpoints' own counts. */
export const readCounts = async ({ endpointControlUrl }: Deployment): Promise<EndpointCounts> => {
    const response = await request(`${endpointControlUrl}/counts`);
    return (await response.body.json()) as EndpointCounts;
};

/** Runs that the endpoints counted for an idempotency key. */
export const runsOfKey = async (deployment: Deployment, key: string): Promise<number> =>
    (await readCounts(deployment)).keys.find(row => row.id === key)?.runs ?? 0;

/** Replaces the faults of the named VMs; no faults if absent. */
export const setFaults = async (
    deployment: Deployment,
    vms: readonly string[],
    faults: FaultInput = {},
): Promise<void> => {
    await Promise.all(vms.map(vm => control(`${deployment.endpointControlUrl}/faults`, { vm, faults })));
};
