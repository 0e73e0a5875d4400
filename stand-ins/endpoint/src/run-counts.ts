import type { VmId } from "@almondusher/fleet/ids";

/** Number of runs of one request id or idempotency key, and the VMs that ran it. */
export interface RunCount {
    readonly id: string;
    readonly runs: number;
    readonly vms: readonly VmId[];
}

/** VMs that ran each request, one element per run, over all VMs of the process. */
export interface RunCounts {
    readonly byRequest: Map<string, VmId[]>;
    readonly byKey: Map<string, VmId[]>;
}

export const createRunCounts = (): RunCounts => ({ byRequest: new Map(), byKey: new Map() });

/** Records one run of a request on a VM. */
export const countRun = (runs: Map<string, VmId[]>, id: string, vm: VmId): void => {
    const previous = runs.get(id);
    if (previous === undefined) {
        runs.set(id, [vm]);
    } else {
        previous.push(vm);
    }
};

/** Lists the ids with at least `minRuns` runs. */
export const listRuns = (runs: ReadonlyMap<string, readonly VmId[]>, minRuns = 1): RunCount[] =>
    [...runs]
        .filter(([, vms]) => vms.length >= minRuns)
        .map(([id, vms]) => ({ id, runs: vms.length, vms: [...new Set(vms)] }));
