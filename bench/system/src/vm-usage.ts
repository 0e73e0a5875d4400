import { request } from "undici";
import type { CallRecord } from "./balanced-load.js";
import type { Deployment } from "./deployment.js";
import { type EntryDump, pollUntil } from "./operator-client.js";
import { readOperator } from "./read-operator.js";

const SAMPLE_PERIOD_MS = 50;

/** What an endpoint VM counted itself. */
export interface VmUse {
    readonly vm: string;
    readonly runs: number;
    readonly slotsInUse: number;
}

interface EndpointCounts {
    readonly vms: readonly VmUse[];
    readonly keys: readonly { readonly id: string; readonly runs: number }[];
}

const readCounts = async (deployment: Deployment): Promise<EndpointCounts> => {
    const response = await request(`${deployment.endpointControlUrl}/counts`);
    return (await response.body.json()) as EndpointCounts;
};

/** Counts of one VM. */
export const readVmUse = async (deployment: Deployment, vm: string): Promise<VmUse> =>
    (await readCounts(deployment)).vms.find(row => row.vm === vm) ?? { vm, runs: 0, slotsInUse: 0 };

/** How often requests with an idempotency key ran on any VM. */
export const readKeyRuns = async (deployment: Deployment, key: string): Promise<number> =>
    (await readCounts(deployment)).keys.find(row => row.id === key)?.runs ?? 0;

/** Samples the runs of a VM until it is stopped. */
export interface RunWatch {
    /** Time of the last new run, in milliseconds since the watch began; 0 if there was none. */
    lastRunMs: () => number;
    stop: () => Promise<void>;
}

/** Starts to watch when a VM gets new work. */
export const watchRuns = (deployment: Deployment, vm: string): RunWatch => {
    const startedAt = performance.now();
    const state = { runs: -1, lastRunMs: 0, stopped: false };
    const sample = async (): Promise<void> => {
        while (!state.stopped) {
            const { runs } = await readVmUse(deployment, vm);
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

/** Waits until the first entry that answers has the VM serving in the pool; absent pool means no assignment. */
export const waitAssigned = (
    deployment: Deployment,
    vm: string,
    pool: string | undefined,
    timeoutMs: number,
): Promise<true> =>
    pollUntil({
        what: `${vm} ${pool === undefined ? "removed" : `serving in ${pool}`}`,
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

export interface MixedUseOptions {
    readonly records: readonly CallRecord[];
    readonly vm: string;
    /** Path prefix of the pool that the VM left. */
    readonly oldPath: string;
    /** Path prefix of the pool that it joined. */
    readonly newPath: string;
}

/** Requests of the old pool that were still running on the VM, or sent to it, after one of the new pool had run. */
export const mixedUse = ({ records, vm, oldPath, newPath }: MixedUseOptions): readonly CallRecord[] => {
    const onVm = records.filter(record => record.vm === vm);
    const firstNewEndMs = Math.min(
        ...onVm.filter(record => record.path.startsWith(newPath)).map(record => record.answeredAtMs),
    );
    return onVm.filter(record => record.path.startsWith(oldPath) && record.answeredAtMs > firstNewEndMs);
};
