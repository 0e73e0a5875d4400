import type { VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";

/** One state of the list and the time from which it held, in milliseconds. */
interface ListVersion {
    readonly sinceMs: number;
    readonly number: number;
    readonly vms: readonly Vm[];
}

/** The VMs over time; readers see the list as it was a lag ago. */
export interface VmList {
    versions: readonly ListVersion[];
    lagMs: number;
    rebootMs: number;
    /** Further rows of any form, returned with every version. */
    extraRows: readonly unknown[];
}

/** Creates a list that holds from the start. */
export const createVmList = (vms: readonly Vm[], lagMs: number, rebootMs: number): VmList => ({
    versions: [{ sinceMs: -Infinity, number: 1, vms }],
    lagMs,
    rebootMs,
    extraRows: [],
});

const latest = (list: VmList): ListVersion => list.versions.at(-1) ?? { sinceMs: -Infinity, number: 0, vms: [] };

/** The VMs as they are now, without lag. */
export const currentVms = (list: VmList): readonly Vm[] => latest(list).vms;

/** The list as readers see it at the given time. */
export const visibleVersion = (list: VmList, nowMs: number): ListVersion =>
    list.versions.findLast(version => version.sinceMs <= nowMs - list.lagMs) ?? latest(list);

/** Replaces the list from now on and forgets the versions that no reader sees any more. */
export const replaceVms = (list: VmList, vms: readonly Vm[], nowMs: number): void => {
    const visible = visibleVersion(list, nowMs);
    const kept = list.versions.filter(version => version.number >= visible.number);
    list.versions = [...kept, { sinceMs: nowMs, number: latest(list).number + 1, vms }];
};

/** Replaces or removes one VM. */
export const changeVm = (list: VmList, id: VmId, vm: Vm | undefined, nowMs: number): void => {
    const others = currentVms(list).filter(other => other.id !== id);
    replaceVms(list, vm === undefined ? others : [...others, vm], nowMs);
};
