import { type PoolName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { GetStatusResponse } from "@almondusher/peer/gen/almondusher/peer/v1/peer_pb";
import { readMember, readMembers } from "@almondusher/peer/peer-schema";
import type { Confirmation, PoolLoad } from "@almondusher/planner/plan-input";
import { count } from "@almondusher/telemetry/counters";
import { averageDemand } from "./demand-average.js";
import type { EntryContact, ManagerContext } from "./manager-context.js";

const drainingVms = ({ tables }: ManagerContext): string[] =>
    tables.state.assignments.rows.filter(row => row.phase.kind === "draining").map(row => row.vm);

const contactsOf = ({ tables }: ManagerContext): readonly EntryContact[] => {
    const registered = new Set(tables.registrations.map(registration => registration.processId));
    return [...tables.registrations, ...tables.unregistered.filter(entry => !registered.has(entry.processId))];
};

const toConfirmation = (answer: GetStatusResponse, round: number): Confirmation => {
    const responder = readMember(answer.responder);
    return {
        processId: responder.processId,
        vm: responder.vmId,
        revision: responder.revision,
        round,
        inFlightVms: answer.drains.filter(drain => drain.inFlight > 0).map(drain => toId<VmId>(drain.vmId)),
        passedTo: readMembers(answer.unregistered).map(peer => ({ processId: peer.processId, vm: peer.vmId })),
        goneEntryVms: answer.goneEntryVmIds.map(vmId => toId<VmId>(vmId)),
    };
};

const askEntry = async (
    manager: ManagerContext,
    contact: EntryContact,
    round: number,
): Promise<GetStatusResponse | undefined> => {
    const client = manager.peerClients.clientFor(contact.peerUrl);
    const vmIds = drainingVms(manager);
    try {
        const answer = await client.calls.getStatus({ vmIds });
        const confirmation = toConfirmation(answer, round);
        manager.tables.confirmations.set(confirmation.processId, confirmation);
        return answer;
    } catch {
        count(manager.counters, { name: "unanswered-status-calls" });
        // A connection may be silent for good while new ones work.
        client.reconnect();
        return undefined;
    }
};

const sumDemand = (answers: readonly GetStatusResponse[]): readonly PoolLoad[] => {
    const sums = new Map<PoolName, number>();
    answers
        .flatMap(answer => answer.demands)
        .forEach(demand => {
            const pool = toId<PoolName>(demand.pool);
            const slots = demand.running + demand.queuedUrgent + demand.queuedNormal + demand.queuedDeferrable;
            sums.set(pool, (sums.get(pool) ?? 0) + slots);
        });
    return [...sums].map(([pool, demandSlots]) => ({ pool, demandSlots }));
};

const forgetEnded = (manager: ManagerContext, contacts: readonly EntryContact[]): void => {
    const known = new Set<ProcessId>(contacts.map(contact => contact.processId));
    const { confirmations } = manager.tables;
    [...confirmations.keys()].filter(id => !known.has(id)).forEach(id => confirmations.delete(id));
};

// Half of the entries: one entry that cannot reach a VM may be the one with the lost path.
const isFoundByMost = (reports: number, answers: number): boolean => reports * 2 > answers;

const findUnresponsive = (answers: readonly GetStatusResponse[]): readonly VmId[] => {
    const reports = answers.flatMap(answer => answer.unresponsiveVmIds);
    return [...new Set(reports)]
        .filter(vmId => isFoundByMost(reports.filter(other => other === vmId).length, answers.length))
        .map(vmId => toId<VmId>(vmId));
};

/** Asks every entry what it knows about drains, and for its load. */
export const askEntries = async (manager: ManagerContext): Promise<void> => {
    const { tables } = manager;
    tables.round += 1;
    const contacts = contactsOf(manager);
    const answers = (await Promise.all(contacts.map(contact => askEntry(manager, contact, tables.round)))).filter(
        answer => answer !== undefined,
    );
    tables.unregistered = answers
        .flatMap(answer => readMembers(answer.unregistered))
        .map(({ vmId, processId, peerUrl }) => ({ vmId, processId, peerUrl }));
    tables.unresponsive = findUnresponsive(answers);
    tables.demand = averageDemand(tables.demand, sumDemand(answers), performance.now());
    forgetEnded(manager, contactsOf(manager));
    manager.peerClients.keepOnly(contactsOf(manager).map(contact => contact.peerUrl));
};
