import { request } from "undici";
import type { CallRecord } from "./balanced-load.js";
import type { Deployment } from "./deployment.js";
import { type EntryDump, pollUntil } from "./operator-client.js";
import { readOperator } from "./read-operator.js";

const SAMPLE_PERIOD_MS = 50;

/** Counters of one VM in the endpoint stand-in. */
export interface VmCounts {
    readonly vm: string;
    readonly runs: number;
    readonly slotsInUse: number;
}

interface EndpointCounts {
    readonly vms: readonly VmCounts[];
    readonly keys: readonly { readonly id: string; readonly runs: number }[];
}

const readCounts = async (deployment: Deployment): Promise<EndpointCounts> => {
    const response = await request(`${deployment.endpointControlUrl}/counts`);
    return (await response.body.json()) as EndpointCounts;
};

/** Reads the counters of one VM; zeros if it is unknown. */
export const readVmCounts = async (deployment: Deployment, vm: string): Promise<VmCounts> =>
    (await readCounts(deployment)).vms.find(row => row.vm === vm) ?? { vm, runs: 0, slotsInUse: 0 };

/** Number of runs of requests with an idempotency key, on all VMs. */
export const readKeyRuns = async (deployment: Deployment, key: string): Promise<number> =>
    (await readCounts(deployment)).keys.find(row => row.id === key)?.runs ?? 0;

/** Sampler of the number of runs on a VM. */
export interface RunWatch {
    /** Time of the last observed new run in milliseconds since sampling began; 0 if there was none. */
    lastRunMs: () => number;
    stop: () => Promise<void>;
}

/** Starts sampling the number of runs on a VM. */
export const watchRuns = (deployment: Deployment, vm: string): RunWatch => {
    const startedAt = performance.now();
    const state = { runs: -1, lastRunMs: 0, stopped: false };
    const sample = async (): Promise<void> => {
        while (!state.stopped) {
            const { runs } = await readVmCounts(deployment, vm);
            if (state.runs >= 0 && runs > state.runs) {
                state.lastRunMs = performance.now() - startedAt;
            }
            state.runs = runs;
            await new Promise(resolve => setTimeout(resolve, SAMPLE_PERIOD_MS));
        }
    };
    const sampling = sample();
    return {
        lastRunMs: () => state.lastRunMs,
        stop: async () => {
            state.stopped = true;
            await sampling;
        },
    };
};

/** Waits until the first entry shows the VM as serving in the pool, or without assignment if `pool` is undefined. */
export const waitForAssignment = (
    deployment: Deployment,
    vm: string,
    pool: string | undefined,
    timeoutMs: number,
): Promise<true> =>
    pollUntil({
        what: `${vm} ${pool === undefined ? "to be removed" : `to serve in ${pool}`}`,
        timeoutMs,
        read: async () => {
            const dump = await readOperator<EntryDump>(deployment, deployment.entries[0]?.operatorUrl ?? "", "/dump");
            const row = dump?.sections.assignments.find(assignment => assignment.vm === vm);
            if (dump === undefined) {
                return undefined;
            }
            const reached = pool === undefined ? row === undefined : row?.pool === pool && row.phase.kind === "serving";
            return reached ? true : undefined;
        },
    });

export interface MoveCheckOptions {
    readonly records: readonly CallRecord[];
    readonly vm: string;
    /** Path prefix of the pool from which the VM was moved. */
    readonly oldPath: string;
    /** Path prefix of the pool to which it was moved. */
    readonly newPath: string;
}

/** Finds requests of the old pool that the VM answered after its first response to a request of the new pool. */
export const findOldPoolRequestsAfterMove = ({
    records,
    vm,
    oldPath,
    newPath,
}: MoveCheckOptions): readonly CallRecord[] => {
    const onVm = records.filter(record => record.vm === vm);
    const firstNewEndMs = Math.min(
        ...onVm.filter(record => record.path.startsWith(newPath)).map(record => record.endedAtMs),
    );
    return onVm.filter(record => record.path.startsWith(oldPath) && record.endedAtMs > firstNewEndMs);
};
