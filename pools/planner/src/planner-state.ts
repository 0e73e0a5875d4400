import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";

/** A drain that all required processes have confirmed once and must confirm a second time. */
export interface ConfirmedDrain {
    readonly vm: VmId;
    readonly sinceRevision: number;
    readonly processes: readonly ProcessId[];
    /** Number of the latest status poll when all of the processes had confirmed. */
    readonly round: number;
}

/** Start of a condition of an id, on the manager's clock. */
export interface TimedCondition<Id extends string> {
    readonly id: Id;
    readonly sinceMs: number;
}

/** Soft state of the planner; losing it, as after a restart of the manager, only delays decisions. */
export interface PlannerState {
    /** Entry VMs that this manager has seen on the platform's list. */
    readonly seenEntryVms: readonly VmId[];
    /** When this manager first saw each registered process. */
    readonly registeredSince: readonly TimedCondition<ProcessId>[];
    readonly confirmedDrains: readonly ConfirmedDrain[];
    /** Since when each VM has been draining or in maintenance. */
    readonly unavailableSince: readonly TimedCondition<VmId>[];
    /** When this manager first saw that a boot of a VM is in maintenance; ids are created by `maintenanceId`. */
    readonly maintenanceSince: readonly TimedCondition<string>[];
    /** Since when each serving VM has been down. */
    readonly downSince: readonly TimedCondition<VmId>[];
    /** Last known location of the assigned VMs, which is still needed when the platform no longer lists them. */
    readonly locations: readonly Pick<Vm, "id" | "rack" | "dataCentre">[];
    readonly rebootedAt: readonly TimedCondition<VmId>[];
    readonly shortSince: readonly TimedCondition<PoolName>[];
    readonly surplusSince: readonly TimedCondition<PoolName>[];
}

/** State of a planner that has just started. */
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

/** Returns the id of the maintenance of one boot of a VM. */
export const maintenanceId = (vm: VmId, bootId: string): string => `${vm}/${bootId}`;

/** Returns the start times of the given ids: the known one, or now for a new id. */
export const trackSince = <Id extends string>(
    earlier: readonly TimedCondition<Id>[],
    ids: readonly Id[],
    nowMs: number,
): readonly TimedCondition<Id>[] => {
    const known = new Map(earlier.map(entry => [entry.id, entry]));
    return ids.map(id => known.get(id) ?? { id, sinceMs: nowMs });
};

/** Returns how long the condition of an id has lasted in milliseconds; 0 if it does not hold. */
export const elapsedSince = <Id extends string>(
    times: readonly TimedCondition<Id>[],
    id: Id,
    nowMs: number,
): number => {
    const entry = times.find(time => time.id === id);
    return entry === undefined ? 0 : nowMs - entry.sinceMs;
};
