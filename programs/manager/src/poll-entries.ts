import { type PoolName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { GetStatusResponse } from "@almondusher/peer/gen/almondusher/peer/v1/peer_pb";
import { readMember, readMembers } from "@almondusher/peer/peer-schema";
import type { Confirmation, PoolLoad } from "@almondusher/planner/plan-input";
import { count } from "@almondusher/telemetry/counters";
import { updateDemandAverage } from "./demand-average.js";
import type { EntryContact, ManagerContext } from "./manager-context.js";

const drainingVms = ({ tables }: ManagerContext): string[] =>
    tables.state.assignments.rows.filter(row => row.phase.kind === "draining").map(row => row.vm);

const listContacts = ({ tables }: ManagerContext): readonly EntryContact[] => {
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

const pollEntry = async (
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
        // An established connection may stay dead while new connections to the same process succeed.
        client.disconnect();
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

const removeStaleConfirmations = (manager: ManagerContext, contacts: readonly EntryContact[]): void => {
    const known = new Set<ProcessId>(contacts.map(contact => contact.processId));
    const { confirmations } = manager.tables;
    [...confirmations.keys()].filter(id => !known.has(id)).forEach(id => confirmations.delete(id));
};

// Requires more than half of the answering entries: a single entry that cannot reach a VM may itself have lost its
// network path.
const isReportedByMajority = (reports: number, answers: number): boolean => reports * 2 > answers;

const findUnresponsiveVms = (answers: readonly GetStatusResponse[]): readonly VmId[] => {
    const reports = answers.flatMap(answer => answer.unresponsiveVmIds);
    return [...new Set(reports)]
        .filter(vmId => isReportedByMajority(reports.filter(other => other === vmId).length, answers.length))
        .map(vmId => toId<VmId>(vmId));
};

/** Polls every known entry process for its drain confirmations, its load and the VMs that do not respond to it. */
export const pollEntries = async (manager: ManagerContext): Promise<void> => {
    const { tables } = manager;
    tables.round += 1;
    const contacts = listContacts(manager);
    const answers = (await Promise.all(contacts.map(contact => pollEntry(manager, contact, tables.round)))).filter(
        answer => answer !== undefined,
    );
    tables.unregistered = answers
        .flatMap(answer => readMembers(answer.unregistered))
        .map(({ vmId, processId, peerUrl }) => ({ vmId, processId, peerUrl }));
    tables.unresponsiveVms = findUnresponsiveVms(answers);
    tables.demand = updateDemandAverage(tables.demand, sumDemand(answers), performance.now());
    removeStaleConfirmations(manager, listContacts(manager));
    manager.peerClients.keepOnly(listContacts(manager).map(contact => contact.peerUrl));
};
