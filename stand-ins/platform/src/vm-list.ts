import type { VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";

/** One version of the list and the time from which it is valid. */
interface ListVersion {
    readonly sinceMs: number;
    readonly number: number;
    readonly vms: readonly Vm[];
}

/** The list of VMs over time. Readers see the version that was current `lagMs` ago. */
export interface VmList {
    versions: readonly ListVersion[];
    lagMs: number;
    rebootMs: number;
    /** Additional rows of any form that are returned with every version. */
    extraRows: readonly unknown[];
}

/** Creates a list whose first version readers see from the start, whatever the lag. */
export const createVmList = (vms: readonly Vm[], lagMs: number, rebootMs: number): VmList => ({
    versions: [{ sinceMs: -Infinity, number: 1, vms }],
    lagMs,
    rebootMs,
    extraRows: [],
});

const latestVersion = (list: VmList): ListVersion => list.versions.at(-1) ?? { sinceMs: -Infinity, number: 0, vms: [] };

/** Returns the current VMs, regardless of the lag. */
export const currentVms = (list: VmList): readonly Vm[] => latestVersion(list).vms;

/** Returns the version that readers see at the given time. */
export const visibleVersion = (list: VmList, nowMs: number): ListVersion =>
    list.versions.findLast(version => version.sinceMs <= nowMs - list.lagMs) ?? latestVersion(list);

/** Adds a version of the list and drops those that are older than the visible one. */
export const replaceVms = (list: VmList, vms: readonly Vm[], nowMs: number): void => {
    const visible = visibleVersion(list, nowMs);
    const kept = list.versions.filter(version => version.number >= visible.number);
    list.versions = [...kept, { sinceMs: nowMs, number: latestVersion(list).number + 1, vms }];
};

/** Replaces one VM, or removes it if `vm` is undefined. */
export const changeVm = (list: VmList, id: VmId, vm: Vm | undefined, nowMs: number): void => {
    const others = currentVms(list).filter(other => other.id !== id);
    replaceVms(list, vm === undefined ? others : [...others, vm], nowMs);
};
