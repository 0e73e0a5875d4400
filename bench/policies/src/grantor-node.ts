import { poolGuarantees } from "@almondusher/admission/guarantees";
import { type ProcessId, toId } from "@almondusher/fleet/ids";
import { type ByUrgency, urgencies } from "@almondusher/fleet/urgency";
import {
    createGrantTable,
    type GrantTable,
    type IssuedGrant,
    issueGrants,
    recordReport,
    type SlotReport,
} from "@almondusher/slots/grant-table";
import { type SlotAllocation, allocateSlots } from "@almondusher/slots/allocate-slots";
import {
    acknowledgedVersion,
    applyGrant,
    heldSlots,
    refreshAllowedSlots,
    type SlotLedger,
    usedSlots,
} from "@almondusher/slots/slot-ledger";
import {
    createShortReserve,
    updateShortReserve,
    type ShortReserve,
    shortReserveSlots,
} from "@almondusher/slots/short-reserve";
import { emptyDemand, type MemberDemand, rotationAt } from "@almondusher/slots/slot-targets";
import type { MemberSlots } from "@almondusher/slots/vm-slots";
import { schedule } from "./event-queue.js";
import { type EntryNode, type Simulation, startQueued } from "./simulation.js";

export interface GrantorOptions {
    readonly reportIntervalMs: number;
    readonly demandReportMs?: number;
    readonly allocationIntervalMs: number;
    readonly grantTtlMs: number;
    readonly shares: ByUrgency<number>;
    readonly quickShare: number;
    readonly reservePerMember: number;
    readonly maxSpareMoves: number;
}

/** Slots that the grantor moved between entries during a run. */
export interface GrantorCounts {
    readonly movedSlots: number;
}

/** Runs the grantor on the first entry; it allocates the slots of the pool to the entries by demand. */
export const runGrantor = (
    simulation: Simulation,
    ledgers: readonly SlotLedger[],
    options: GrantorOptions,
): GrantorCounts => {
    const grantor = createGrantor(simulation, ledgers, options);
    const { entries, events } = simulation;
    entries.forEach((entry, index) => {
        const report = (): void => sendReport(grantor, index);
        const repeat = (): void => {
            report();
            schedule(events, options.reportIntervalMs, repeat);
        };
        schedule(events, (index * options.reportIntervalMs) / entries.length, repeat);
        entry.onQueued = createDemandReporter(simulation, options.demandReportMs, report);
    });
    return grantor;
};

interface Grantor {
    readonly id: ProcessId;
    readonly simulation: Simulation;
    readonly ledgers: readonly SlotLedger[];
    readonly options: GrantorOptions;
    readonly members: readonly ProcessId[];
    readonly grantTable: GrantTable;
    readonly demands: Map<ProcessId, MemberDemand>;
    readonly inUse: Map<ProcessId, readonly MemberSlots[]>;
    shortReserve: ShortReserve;
    allocation: SlotAllocation;
    isAllocationPending: boolean;
    nextAllocationAt: number;
    nextIdleMovesAt: number;
    movedSlots: number;
}

const createGrantor = (simulation: Simulation, ledgers: readonly SlotLedger[], options: GrantorOptions): Grantor => {
    const members = simulation.entries.map(entry => entry.id);
    const { now } = simulation.events;
    return {
        id: members[0] ?? toId<ProcessId>("none"),
        simulation,
        ledgers,
        options,
        members,
        grantTable: createGrantTable(now, options.grantTtlMs),
        demands: new Map(),
        inUse: new Map(),
        shortReserve: createShortReserve({ maxSlots: maxShortReserveSlots(simulation, options), now }),
        allocation: { rows: [], targets: [] },
        isAllocationPending: false,
        nextAllocationAt: 0,
        nextIdleMovesAt: 0,
        movedSlots: 0,
    };
};

const totalSlots = ({ size }: Simulation): number => size.vms.length * size.slotsPerVm;

const maxShortReserveSlots = (simulation: Simulation, { quickShare }: GrantorOptions): number =>
    Math.floor(quickShare * totalSlots(simulation));

// Reports demand as soon as a request is queued, at most once per minimum interval; never if no interval is given.
const createDemandReporter = (
    simulation: Simulation,
    minIntervalMs: number | undefined,
    report: () => void,
): (() => void) => {
    const state = { isPending: false };
    return () => {
        if (minIntervalMs !== undefined && !state.isPending) {
            state.isPending = true;
            report();
            schedule(simulation.events, minIntervalMs, () => {
                state.isPending = false;
            });
        }
    };
};

// The grantor runs on the first entry, which therefore exchanges no messages with it.
const delayOf = ({ simulation }: Grantor, index: number): number => (index === 0 ? 0 : simulation.times.peerDelayMs);

const countMessage = ({ simulation }: Grantor, index: number): void => {
    simulation.messages += index === 0 ? 0 : 1;
};

const sendReport = (grantor: Grantor, index: number): void => {
    const { events, entries } = grantor.simulation;
    const entry = entries[index];
    const ledger = grantor.ledgers[index];
    if (entry === undefined || ledger === undefined) {
        return;
    }
    refreshAllowedSlots(ledger, events.now);
    const demand = { member: entry.id, ...entry.admission.demand() };
    const used = usedSlots(ledger).map(row => ({ ...row, member: entry.id }));
    const report = reportOf(grantor, { entry, ledger, demand });
    countMessage(grantor, index);
    schedule(events, delayOf(grantor, index), () => {
        grantor.demands.set(entry.id, demand);
        grantor.inUse.set(entry.id, used);
        recordReport(grantor.grantTable, report, events.now);
        scheduleAllocation(grantor);
    });
};

interface ReportInput {
    readonly entry: EntryNode;
    readonly ledger: SlotLedger;
    readonly demand: MemberDemand;
}

const reportOf = (grantor: Grantor, { entry, ledger, demand }: ReportInput): SlotReport => ({
    member: entry.id,
    sentAt: grantor.simulation.events.now,
    version: acknowledgedVersion(ledger, grantor.id),
    held: heldSlots(ledger),
    hasQueued: urgencies.some(urgency => demand.queuedShort[urgency] + demand.queuedLong[urgency] > 0),
});

const scheduleAllocation = (grantor: Grantor): void => {
    if (!grantor.isAllocationPending) {
        const { events } = grantor.simulation;
        grantor.isAllocationPending = true;
        schedule(events, Math.max(0, grantor.nextAllocationAt - events.now), () => allocate(grantor));
    }
};

const currentGuarantees = (grantor: Grantor): ByUrgency<number> => {
    const { simulation, options } = grantor;
    const shortInUse = [...grantor.demands.values()].reduce(
        (sum, demand) => urgencies.reduce((total, urgency) => total + demand.ownShort[urgency], sum + demand.borrowed),
        0,
    );
    grantor.shortReserve = updateShortReserve(grantor.shortReserve, shortInUse, simulation.events.now);
    return poolGuarantees({
        shares: options.shares,
        shortReserveSlots: shortReserveSlots(grantor.shortReserve, maxShortReserveSlots(simulation, options)),
        slots: totalSlots(simulation),
    });
};

const allocate = (grantor: Grantor): void => {
    const { simulation, options, members, grantTable } = grantor;
    const { now } = simulation.events;
    const areIdleMovesDue = now >= grantor.nextIdleMovesAt;
    const allocation = allocateSlots({
        ...simulation.size,
        ...options,
        guarantees: currentGuarantees(grantor),
        maxIdleMoves: areIdleMovesDue ? options.maxSpareMoves : 0,
        rotation: rotationAt(now),
        demands: members.map(member => grantor.demands.get(member) ?? emptyDemand(member)),
        inUse: [...grantor.inUse.values()].flat(),
        previous: grantor.allocation.rows,
    });
    grantor.movedSlots +=
        grantor.allocation.rows.length === 0 ? 0 : countMovedSlots(grantor.allocation.rows, allocation.rows);
    grantor.allocation = allocation;
    grantor.isAllocationPending = false;
    grantor.nextAllocationAt = now + options.allocationIntervalMs;
    grantor.nextIdleMovesAt = areIdleMovesDue ? now + options.reportIntervalMs : grantor.nextIdleMovesAt;
    issueGrants(grantTable, { ...simulation.size, allocation: allocation, members }, now).forEach(grant =>
        sendGrant(grantor, grant),
    );
};

const sendGrant = (grantor: Grantor, grant: IssuedGrant): void => {
    const index = grantor.members.indexOf(grant.member);
    countMessage(grantor, index);
    schedule(grantor.simulation.events, delayOf(grantor, index), () => receiveGrant(grantor, index, grant));
};

const receiveGrant = (grantor: Grantor, index: number, grant: IssuedGrant): void => {
    const { events, entries } = grantor.simulation;
    const entry = entries[index];
    const ledger = grantor.ledgers[index];
    if (entry === undefined || ledger === undefined) {
        return;
    }
    const isSmaller = [...ledger.allowed].some(
        ([vm, slots]) => (grant.rows.find(row => row.vm === vm)?.slots ?? 0) < slots,
    );
    const expiresAt = grant.reportSentAt + grantor.options.grantTtlMs;
    applyGrant(ledger, { ...grant, grantor: grantor.id, quotas: [], expiresAt }, events.now);
    startQueued(grantor.simulation, entry);
    // Reports at once, since the grantor reassigns slots only after this entry reported that it no longer uses them.
    if (isSmaller) {
        sendReport(grantor, index);
    }
};

// Number of slots that members have gained compared with the previous allocation.
const countMovedSlots = (before: readonly MemberSlots[], after: readonly MemberSlots[]): number =>
    after.reduce((sum, row) => {
        const old = before.find(({ member, vm }) => member === row.member && vm === row.vm)?.slots ?? 0;
        return sum + Math.max(0, row.slots - old);
    }, 0);
