import { demandOf } from "@almondusher/admission/demand";
import type { TeamDemand } from "@almondusher/admission/admission-options";
import { formatSnapshot } from "@almondusher/fleet/fleet-state";
import type { Urgency } from "@almondusher/fleet/urgency";
import type { PeerHandlers } from "@almondusher/peer/peer-server";
import { memberFields, readMember } from "@almondusher/peer/peer-schema";
import type { EntryContext } from "./entry-context.js";
import { addPeerContact, trackUnregisteredPeer, selfPeer, unregisteredPeers, vmListAgeMs } from "./exchange-peers.js";
import type { AddressedGrant } from "./allocate-slots.js";
import { applyGrants, deliverGrants, handleReports } from "./slot-grants.js";
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

/** Counts the attempts of this entry that are running on a VM, including those of pools that it was in earlier. */
export const inFlightOn = (entry: EntryContext, vmId: string): number =>
    [...entry.tables.requests.values()].flatMap(active => active.running).filter(attempt => attempt.vm.id === vmId)
        .length;

const unresponsiveVms = ({ tables }: EntryContext): string[] =>
    [...tables.pools.values()].flatMap(pool => [...pool.ejections.keys()]);

const goneEntryVms = ({ tables: { vmListing } }: EntryContext): string[] =>
    vmListing.knownVms.rows.filter(vm => vm.role === "entry" && !vmListing.vms.has(vm.id)).map(vm => vm.id);

/** Creates the handlers of the peer calls that an entry serves. */
export const peerHandlers = (entry: EntryContext): Partial<PeerHandlers> => ({
    exchange: request => {
        addPeerContact(entry, readMember(request.sender));
        return {
            responder: memberFields(selfPeer(entry)),
            members: entry.tables.membership.peers.rows.map(memberFields),
        };
    },
    reportSlots: request => {
        const sender = readMember(request.sender);
        const grants = handleReports(entry, sender.processId, request.reports);
        const isOwn = (grant: AddressedGrant): boolean => grant.member === sender.processId;
        deliverGrants(
            entry,
            grants.filter(grant => !isOwn(grant)),
        );
        return { grants: grants.filter(isOwn).map(({ grant }) => grant) };
    },
    applyGrants: request => ({ reports: [...applyGrants(entry, request.grants)] }),
    getSnapshot: request => {
        trackUnregisteredPeer(entry, readMember(request.sender));
        const { tables } = entry;
        return {
            revision: BigInt(tables.view.state.revision),
            snapshot: tables.hasState ? formatSnapshot(tables.view.state) : "",
            vmList: JSON.stringify(tables.vmListing.vms.rows),
            vmListAgeMs: vmListAgeMs(entry),
        };
    },
    getStatus: request => ({
        responder: memberFields(selfPeer(entry)),
        drains: request.vmIds.map(vmId => ({ vmId, inFlight: inFlightOn(entry, vmId) })),
        unregistered: unregisteredPeers(entry).map(memberFields),
        demands: [...entry.tables.pools.values()].map(demandFields),
        goneEntryVmIds: goneEntryVms(entry),
        unresponsiveVmIds: unresponsiveVms(entry),
    }),
});
