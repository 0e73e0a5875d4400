import type { VmId } from "@almondusher/fleet/ids";

/** Runs of one request id or idempotency key. */
export interface RunCount {
    readonly id: string;
    readonly runs: number;
    readonly vms: readonly VmId[];
}

/** Counts how often each request was run, over all VMs of the process. */
export interface RunCounts {
    readonly byRequest: Map<string, VmId[]>;
    readonly byKey: Map<string, VmId[]>;
}

/** Creates empty counts. */
export const createRunCounts = (): RunCounts => ({ byRequest: new Map(), byKey: new Map() });

/** Records one run. */
export const countRun = (runs: Map<string, VmId[]>, id: string, vm: VmId): void => {
    const known = runs.get(id);
    if (known === undefined) {
        runs.set(id, [vm]);
    } else {
        known.push(vm);
    }
};

/** Lists the counted ids, those with at least the given number of runs. */
export const listRuns = (runs: ReadonlyMap<string, readonly VmId[]>, least = 1): RunCount[] =>
    [...runs]
        .filter(([, vms]) => vms.length >= least)
        .map(([id, vms]) => ({ id, runs: vms.length, vms: [...new Set(vms)] }));
