import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";

/** A set of processes that confirmed a drain, to be confirmed once more. */
export interface ConfirmedDrain {
    readonly vm: VmId;
    readonly sinceRevision: number;
    readonly processes: readonly ProcessId[];
    /** Latest question when the set was complete. */
    readonly round: number;
}

/** Since when something has been so, on the manager's clock. */
export interface Since<Id extends string> {
    readonly id: Id;
    readonly sinceMs: number;
}

/** Soft state of the planner; losing it costs time only. */
export interface PlannerState {
    /** Entry VMs that this manager has seen on the platform's list. */
    readonly seenEntryVms: readonly VmId[];
    /** Since when this manager has known the registered processes. */
    readonly registeredSince: readonly Since<ProcessId>[];
    readonly confirmedDrains: readonly ConfirmedDrain[];
    /** Phases other than serving, by VM. */
    readonly unavailableSince: readonly Since<VmId>[];
    /** Since when this manager has known that a boot of a VM is in maintenance; ids as `maintenanceId` forms them. */
    readonly maintenanceSince: readonly Since<string>[];
    /** Serving VMs that are not up. */
    readonly downSince: readonly Since<VmId>[];
    /** Last known place of the assigned VMs, for those that the platform stops listing. */
    readonly locations: readonly Pick<Vm, "id" | "rack" | "dataCentre">[];
    readonly rebootedAt: readonly Since<VmId>[];
    readonly shortSince: readonly Since<PoolName>[];
    readonly surplusSince: readonly Since<PoolName>[];
}

/** The state of a planner that has just started. */
export const initialPlannerState: PlannerState = {
    seenEntryVms: [],
    registeredSince: [],
    confirmedDrains: [],
    unavailableSince: [],
    maintenanceSince: [],
    downSince: [],
    locations: [],
    rebootedAt: [],
    shortSince: [],
    surplusSince: [],
};

/** Id of the maintenance of one boot of a VM. */
export const maintenanceId = (vm: VmId, bootId: string): string => `${vm}/${bootId}`;

/** The times of the given ids: kept where known, otherwise now. */
export const keepSince = <Id extends string>(
    earlier: readonly Since<Id>[],
    ids: readonly Id[],
    nowMs: number,
): readonly Since<Id>[] => {
    const known = new Map(earlier.map(entry => [entry.id, entry]));
    return ids.map(id => known.get(id) ?? { id, sinceMs: nowMs });
};

/** How long the condition of an id has lasted, in milliseconds; 0 if it does not hold. */
export const lasted = <Id extends string>(times: readonly Since<Id>[], id: Id, nowMs: number): number => {
    const entry = times.find(time => time.id === id);
    return entry === undefined ? 0 : nowMs - entry.sinceMs;
};
