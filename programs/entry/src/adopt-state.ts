import { entityTable } from "@almondusher/fleet/entity-table";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { VmSlots } from "@almondusher/slots/vm-slots";
import { setFallback } from "@almondusher/slots/slot-ledger";
import { recordRevisionUse } from "@almondusher/telemetry/revision-use";
import { logEvent } from "@almondusher/telemetry/logger";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { fleetView } from "./fleet-view.js";
import { createPoolRuntime, type PoolRuntime, updatePoolRuntime } from "./pool-runtime.js";
import { poolDeletedRejection, rejectRequest, startWaitingRequests } from "./serve-request.js";

/** Adopts a fleet state with a higher revision; any other is ignored, so that the revision never decreases. */
export const adoptState = (entry: EntryContext, state: FleetState, from: "platform" | "peer"): void => {
    const { tables } = entry;
    if (tables.hasState && state.revision <= tables.view.state.revision) {
        return;
    }
    recordReturnedVms(entry, state);
    tables.hasState = true;
    rebuildView(entry, state);
    recordRevisionUse(entry.revisionUse, {
        process: entry.processId,
        revision: state.revision,
        sinceMs: Date.now(),
    });
    logEvent(entry.logger, { kind: "revision-adopted", revision: state.revision, from });
};

// The VM list is polled less often than the state. Until the next poll it still lists a returned VM as leaving, and a
// maintenance wave may drain the other VMs of the pool in the meantime.
const recordReturnedVms = ({ tables }: EntryContext, next: FleetState): void => {
    const before = tables.view.state.assignments;
    next.assignments.rows
        .filter(({ vm, phase }) => phase.kind === "serving" && (before.get(vm)?.phase.kind ?? "serving") !== "serving")
        .forEach(({ vm }) => tables.returnedVms.set(vm, monotonicMs()));
};

export interface VmListUpdate {
    readonly vms: readonly Vm[];
    readonly etag?: string;
    /**
     * Monotonic time at which the list was requested from the platform, in milliseconds; estimated from the age of the list
     * if a peer sent it.
     */
    readonly listedAtMs: number;
}

/** Replaces the VM list and recomputes the VMs that may receive requests. */
export const adoptVmList = (entry: EntryContext, listed: VmListUpdate): void => {
    const { tables } = entry;
    const vms = entityTable(listed.vms, vm => vm.id);
    tables.vmListing = {
        vms,
        knownVms: entityTable([...tables.vmListing.knownVms.rows, ...listed.vms], vm => vm.id),
        listedAtMs: listed.listedAtMs,
        ...(listed.etag === undefined ? {} : { etag: listed.etag }),
    };
    pruneReturnedVms(entry, listed.listedAtMs);
    rebuildView(entry, tables.view.state);
};

/** Records that the VM list was unchanged at the given monotonic time, in milliseconds. */
export const recordUnchangedVmList = (entry: EntryContext, listedAtMs: number): void => {
    const { tables } = entry;
    tables.vmListing = { ...tables.vmListing, listedAtMs };
    if (pruneReturnedVms(entry, listedAtMs)) {
        rebuildView(entry, tables.view.state);
    }
};

// Removes the VMs that returned before the list was read; returns whether there were any.
const pruneReturnedVms = ({ tables: { returnedVms } }: EntryContext, listedAtMs: number): boolean => {
    const outdated = [...returnedVms].filter(([, returnedAtMs]) => returnedAtMs <= listedAtMs);
    outdated.forEach(([vm]) => returnedVms.delete(vm));
    return outdated.length > 0;
};

const rebuildView = (entry: EntryContext, state: FleetState): void => {
    const { tables } = entry;
    const { vms, knownVms } = tables.vmListing;
    tables.view = fleetView({ state, vms, knownVms, returnedVms: new Set(tables.returnedVms.keys()) });
    tables.view.pools.rows.forEach(view => {
        const runtime = tables.pools.get(view.pool.name);
        if (runtime === undefined) {
            tables.pools.set(view.pool.name, createPoolRuntime(view, entry.settings));
        } else {
            updatePoolRuntime(runtime, view, entry.settings);
        }
    });
    removeDeletedPools(entry);
    recomputePartitions(entry);
};

// Requests of a deleted pool that have no running attempt must not be sent: the VMs may already serve another pool.
const removeDeletedPools = (entry: EntryContext): void => {
    const { tables } = entry;
    const deleted = [...tables.pools].filter(([name]) => !tables.view.pools.has(name));
    deleted.forEach(([name, runtime]) => {
        tables.pools.delete(name);
        runtime.isDeleted = true;
        runtime.view = { ...runtime.view, vms: [] };
    });
    [...tables.requests.values()]
        .filter(active => active.pool.isDeleted && active.running.length === 0 && active.phase !== "claiming")
        .forEach(active => rejectRequest(entry, active, poolDeletedRejection(active)));
};

/** Ids of the live entry processes, including this one. */
export const memberIds = (entry: EntryContext): readonly ProcessId[] => [
    entry.processId,
    ...entry.tables.membership.peers.rows.map(peer => peer.processId),
];

/** Recomputes the slot partition of every pool; call it after a change of the members, the pools or the VMs. */
export const recomputePartitions = (entry: EntryContext): void => {
    const members = memberIds(entry);
    entry.tables.pools.forEach(pool => recomputePartition(entry, pool, members));
};

const recomputePartition = (entry: EntryContext, pool: PoolRuntime, members: readonly ProcessId[]): void => {
    const vms = pool.view.vms.map(vm => vm.id);
    const { slotsPerVm } = pool.view.pool;
    const ownSlots = entry.rendezvous.partitionSlots({ vms, slotsPerVm, members, self: entry.processId });
    setFallback(pool.ledger, ownSlots.length > 0 ? ownSlots : singleSlot(entry.processId, vms), monotonicMs());
    startWaitingRequests(entry, pool);
};

// In a small pool the partition can leave an entry without slots, and without a grantor its requests would wait
// forever. Exceeding the capacity of the pool by one slot costs at most one refusal by the endpoint.
const singleSlot = (processId: ProcessId, vms: readonly VmId[]): readonly VmSlots[] =>
    vms
        .slice(Number.parseInt(processId, 16) % vms.length)
        .slice(0, 1)
        .map(vm => ({ vm, slots: 1 }));
