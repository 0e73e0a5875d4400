import type { FaultInput } from "@almondusher/endpoint-stand-in/fault-schema";
import { request } from "undici";
import type { Deployment } from "./deployment.js";
import { postControl } from "./operator-client.js";

/** Number of runs of the requests with a request id or an idempotency key. */
interface RunRow {
    readonly id: string;
    readonly runs: number;
}

/** Counters of the endpoint stand-in. */
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

/** Reads the counters of the endpoint stand-in. */
export const readCounts = async ({ endpointControlUrl }: Deployment): Promise<EndpointCounts> => {
    const response = await request(`${endpointControlUrl}/counts`);
    return (await response.body.json()) as EndpointCounts;
};

/** Number of runs of requests with an idempotency key, on all endpoints. */
export const runsOfKey = async (deployment: Deployment, key: string): Promise<number> =>
    (await readCounts(deployment)).keys.find(row => row.id === key)?.runs ?? 0;

/** Replaces the injected faults of the given VMs; clears them if `faults` is omitted. */
export const setFaults = async (
    deployment: Deployment,
    vms: readonly string[],
    faults: FaultInput = {},
): Promise<void> => {
    await Promise.all(vms.map(vm => postControl(`${deployment.endpointControlUrl}/faults`, { vm, faults })));
};
