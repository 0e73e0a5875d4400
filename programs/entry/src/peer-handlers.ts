import { demandOf } from "@almondusher/admission/demand";
import type { TeamDemand } from "@almondusher/admission/admission-options";
import { formatSnapshot } from "@almondusher/fleet/fleet-state";
import type { Urgency } from "@almondusher/fleet/urgency";
import type { PeerHandlers } from "@almondusher/peer/peer-server";
import { memberFields, readMember } from "@almondusher/peer/peer-schema";
import type { EntryContext } from "./entry-context.js";
import { noteCaller, rememberUnregistered, selfPeer, unregisteredPeers, vmListAgeMs } from "./exchange-peers.js";
import type { AddressedGrant } from "./divide-slots.js";
import { applyGrants, deliver, takeReports } from "./share-slots.js";
import type { PoolRuntime } from "./pool-runtime.js";

const sumOf = (demands: readonly TeamDemand[], read: (demand: TeamDemand) => number): number =>
    demands.reduce((sum, demand) => sum + read(demand), 0);

const queuedOf = (demands: readonly TeamDemand[], urgency: Urgency): number =>
    sumOf(demands, demand => (demand.urgency === urgency ? demand.queued : 0));

const demandFields = (pool: PoolRuntime) => {
    const demands = demandOf(pool.admission);
    return {
        pool: pool.view.pool.name,
        running: sumOf(demands, demand => demand.running),
        queuedUrgent: queuedOf(demands, "urgent"),
        queuedNormal: queuedOf(demands, "normal"),
        queuedDeferrable: queuedOf(demands, "deferrable"),
    };
};

/** Requests of this entry on a VM, in all pools that it has been in. */
export const inFlightOn = (entry: EntryContext, vmId: string): number =>
    [...entry.tables.requests.values()].flatMap(flow => flow.running).filter(attempt => attempt.vm.id === vmId).length;

const ejectedVms = ({ tables }: EntryContext): string[] =>
    [...tables.pools.values()].flatMap(pool => [...pool.ejections.keys()]);

const goneEntryVms = ({ tables: { listing } }: EntryContext): string[] =>
    listing.knownVms.rows.filter(vm => vm.role === "entry" && !listing.vms.has(vm.id)).map(vm => vm.id);

/** The calls that this entry answers. */
export const peerHandlers = (entry: EntryContext): Partial<PeerHandlers> => ({
    exchange: request => {
        noteCaller(entry, readMember(request.sender));
        return {
            responder: memberFields(selfPeer(entry)),
            members: entry.tables.membership.peers.rows.map(memberFields),
        };
    },
    reportSlots: request => {
        const sender = readMember(request.sender);
        const grants = takeReports(entry, sender.processId, request.reports);
        const isOwn = (grant: AddressedGrant): boolean => grant.member === sender.processId;
        deliver(
            entry,
            grants.filter(grant => !isOwn(grant)),
        );
        return { grants: grants.filter(isOwn).map(({ grant }) => grant) };
    },
    applyGrants: request => ({ reports: [...applyGrants(entry, request.grants)] }),
    getSnapshot: request => {
        rememberUnregistered(entry, readMember(request.sender));
        const { tables } = entry;
        return {
            revision: BigInt(tables.view.state.revision),
            snapshot: tables.hasState ? formatSnapshot(tables.view.state) : "",
            vmList: JSON.stringify(tables.listing.vms.rows),
            vmListAgeMs: vmListAgeMs(entry),
        };
    },
    getStatus: request => ({
        responder: memberFields(selfPeer(entry)),
        drains: request.vmIds.map(vmId => ({ vmId, inFlight: inFlightOn(entry, vmId) })),
        unregistered: unregisteredPeers(entry).map(memberFields),
        demands: [...entry.tables.pools.values()].map(demandFields),
        goneEntryVmIds: goneEntryVms(entry),
        unresponsiveVmIds: ejectedVms(entry),
    }),
});
