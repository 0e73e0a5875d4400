import { entityTable } from "@almondusher/fleet/entity-table";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { VmSlots } from "@almondusher/slots/vm-slots";
import { setFallback } from "@almondusher/slots/slot-ledger";
import { noteRevisionUse } from "@almondusher/telemetry/revision-use";
import { logEvent } from "@almondusher/telemetry/logger";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { fleetView } from "./fleet-view.js";
import { createPoolRuntime, type PoolRuntime, updatePoolRuntime } from "./pool-runtime.js";
import { poolDeleted, rejectFlow, startWaiting } from "./serve-request.js";

/** Takes over a state with a higher revision; a lower one is dropped, so that a process never goes backward. */
export const adoptState = (entry: EntryContext, state: FleetState, from: "platform" | "peer"): void => {
    const { tables } = entry;
    if (tables.hasState && state.revision <= tables.view.state.revision) {
        return;
    }
    noteReturnedVms(entry, state);
    tables.hasState = true;
    rebuildView(entry, state);
    noteRevisionUse(entry.revisionUse, {
        process: entry.processId,
        revision: state.revision,
        sinceMs: Date.now(),
    });
    logEvent(entry.logger, { kind: "revision-adopted", revision: state.revision, from });
};

// The list is polled more slowly than the state, and a wave may drain the rest of a pool in between.
const noteReturnedVms = ({ tables }: EntryContext, next: FleetState): void => {
    const before = tables.view.state.assignments;
    next.assignments.rows
        .filter(({ vm, phase }) => phase.kind === "serving" && (before.get(vm)?.phase.kind ?? "serving") !== "serving")
        .forEach(({ vm }) => tables.returnedVms.set(vm, monotonicMs()));
};

export interface ListedVms {
    readonly vms: readonly Vm[];
    readonly etag?: string;
    /** Monotonic time at which the platform gave the list, in milliseconds. */
    readonly listedAtMs: number;
}

/** Takes over a newer VM list. */
export const adoptVms = (entry: EntryContext, listed: ListedVms): void => {
    const { tables } = entry;
    const vms = entityTable(listed.vms, vm => vm.id);
    tables.listing = {
        vms,
        knownVms: entityTable([...tables.listing.knownVms.rows, ...listed.vms], vm => vm.id),
        listedAtMs: listed.listedAtMs,
        ...(listed.etag === undefined ? {} : { etag: listed.etag }),
    };
    forgetReturnedVms(entry, listed.listedAtMs);
    rebuildView(entry, tables.view.state);
};

/** Notes that the VM list was unchanged at a monotonic time in milliseconds. */
export const confirmVms = (entry: EntryContext, listedAtMs: number): void => {
    const { tables } = entry;
    tables.listing = { ...tables.listing, listedAtMs };
    if (forgetReturnedVms(entry, listedAtMs)) {
        rebuildView(entry, tables.view.state);
    }
};

// True if there were any.
const forgetReturnedVms = ({ tables: { returnedVms } }: EntryContext, listedAtMs: number): boolean => {
    const outdated = [...returnedVms].filter(([, returnedAtMs]) => returnedAtMs <= listedAtMs);
    outdated.forEach(([vm]) => returnedVms.delete(vm));
    return outdated.length > 0;
};

const rebuildView = (entry: EntryContext, state: FleetState): void => {
    const { tables } = entry;
    const { vms, knownVms } = tables.listing;
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
    refreshSlots(entry);
};

// A request of a deleted pool that is not on a VM yet must not be sent: the VMs may already serve another pool.
const removeDeletedPools = (entry: EntryContext): void => {
    const { tables } = entry;
    const deleted = [...tables.pools].filter(([name]) => !tables.view.pools.has(name));
    deleted.forEach(([name, runtime]) => {
        tables.pools.delete(name);
        runtime.isDeleted = true;
        runtime.view = { ...runtime.view, vms: [] };
    });
    [...tables.requests.values()]
        .filter(flow => flow.pool.isDeleted && flow.running.length === 0 && flow.phase !== "claiming")
        .forEach(flow => rejectFlow(entry, flow, poolDeleted(flow)));
};

/** Live entry processes, this one included. */
export const memberIds = (entry: EntryContext): readonly ProcessId[] => [
    entry.processId,
    ...entry.tables.membership.peers.rows.map(peer => peer.processId),
];

/** Recomputes the partition of the slots; call it when the members, the pools or the VMs have changed. */
export const refreshSlots = (entry: EntryContext): void => {
    const members = memberIds(entry);
    entry.tables.pools.forEach(pool => refreshPool(entry, pool, members));
};

const refreshPool = (entry: EntryContext, pool: PoolRuntime, members: readonly ProcessId[]): void => {
    const vms = pool.view.vms.map(vm => vm.id);
    const { slotsPerVm } = pool.view.pool;
    const own = entry.rendezvous.partitionSlots({ vms, slotsPerVm, members, self: entry.processId });
    setFallback(pool.ledger, own.length > 0 ? own : oneSlot(entry.processId, vms), monotonicMs());
    startWaiting(entry, pool);
};

// In a small pool the partition can leave an entry without a slot, and its requests would wait for ever without a
// grantor. One slot more than there are costs a refusal by the endpoint at most.
const oneSlot = (processId: ProcessId, vms: readonly VmId[]): readonly VmSlots[] =>
    vms
        .slice(Number.parseInt(processId, 16) % vms.length)
        .slice(0, 1)
        .map(vm => ({ vm, slots: 1 }));
