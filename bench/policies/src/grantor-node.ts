import { poolGuarantees } from "@almondusher/admission/guarantees";
import { type ProcessId, toId } from "@almondusher/fleet/ids";
import { type ByUrgency, urgencies } from "@almondusher/fleet/urgency";
import {
    createGrantBook,
    type GrantBook,
    type IssuedGrant,
    issueGrants,
    recordReport,
    type SlotReport,
} from "@almondusher/slots/grant-book";
import { type Division, grantSlots } from "@almondusher/slots/grant-slots";
import {
    acknowledgedVersion,
    applyGrant,
    heldSlots,
    refreshAllowed,
    type SlotLedger,
    usedSlots,
} from "@almondusher/slots/slot-ledger";
import { createQuickReserve, learnShortUse, type QuickReserve, quickSlots } from "@almondusher/slots/quick-reserve";
import { emptyDemand, type MemberDemand, turnAt } from "@almondusher/slots/slot-targets";
import type { MemberSlots } from "@almondusher/slots/vm-slots";
import { schedule } from "./event-queue.js";
import { type EntryNode, type Simulation, startWaiting } from "./simulation.js";

/** Settings of the grantor in the simulation. */
export interface GrantorOptions {
    readonly reportIntervalMs: number;
    readonly demandReportMs?: number;
    readonly divisionIntervalMs: number;
    readonly grantTtlMs: number;
    readonly shares: ByUrgency<number>;
    readonly quickShare: number;
    readonly reservePerMember: number;
    readonly maxSpareMoves: number;
}

/** What the grantor did in a run. */
export interface GrantorCounts {
    readonly movedSlots: number;
}

/** Lets the first entry divide the slots of the pool by demand. */
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
        entry.onQueued = reportSoon(simulation, options.demandReportMs, report);
    });
    return grantor;
};

interface Grantor {
    readonly id: ProcessId;
    readonly simulation: Simulation;
    readonly ledgers: readonly SlotLedger[];
    readonly options: GrantorOptions;
    readonly members: readonly ProcessId[];
    readonly book: GrantBook;
    readonly demands: Map<ProcessId, MemberDemand>;
    readonly inUse: Map<ProcessId, readonly MemberSlots[]>;
    quickReserve: QuickReserve;
    division: Division;
    isDivisionPending: boolean;
    nextDivisionAt: number;
    nextDriftAt: number;
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
        book: createGrantBook(now, options.grantTtlMs),
        demands: new Map(),
        inUse: new Map(),
        quickReserve: createQuickReserve({ maxSlots: maxQuickSlots(simulation, options), now }),
        division: { rows: [], targets: [] },
        isDivisionPending: false,
        nextDivisionAt: 0,
        nextDriftAt: 0,
        movedSlots: 0,
    };
};

const totalSlots = ({ size }: Simulation): number => size.vms.length * size.slotsPerVm;

const maxQuickSlots = (simulation: Simulation, { quickShare }: GrantorOptions): number =>
    Math.floor(quickShare * totalSlots(simulation));

// A request that waits is reported at once, but not more often than the spacing.
const reportSoon = (simulation: Simulation, spacingMs: number | undefined, report: () => void): (() => void) => {
    const state = { isPending: false };
    return () => {
        if (spacingMs !== undefined && !state.isPending) {
            state.isPending = true;
            report();
            schedule(simulation.events, spacingMs, () => {
                state.isPending = false;
            });
        }
    };
};

// The grantor runs on the first entry, which needs no messages to reach it.
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
    refreshAllowed(ledger, events.now);
    const demand = { member: entry.id, ...entry.admission.demand() };
    const used = usedSlots(ledger).map(row => ({ ...row, member: entry.id }));
    const report = reportOf(grantor, { entry, ledger, demand });
    countMessage(grantor, index);
    schedule(events, delayOf(grantor, index), () => {
        grantor.demands.set(entry.id, demand);
        grantor.inUse.set(entry.id, used);
        recordReport(grantor.book, report, events.now);
        divideSoon(grantor);
    });
};

interface ReportParts {
    readonly entry: EntryNode;
    readonly ledger: SlotLedger;
    readonly demand: MemberDemand;
}

const reportOf = (grantor: Grantor, { entry, ledger, demand }: ReportParts): SlotReport => ({
    member: entry.id,
    sentAt: grantor.simulation.events.now,
    version: acknowledgedVersion(ledger, grantor.id),
    held: heldSlots(ledger),
    isWaiting: urgencies.some(urgency => demand.queuedShort[urgency] + demand.queuedLong[urgency] > 0),
});

const divideSoon = (grantor: Grantor): void => {
    if (!grantor.isDivisionPending) {
        const { events } = grantor.simulation;
        grantor.isDivisionPending = true;
        schedule(events, Math.max(0, grantor.nextDivisionAt - events.now), () => divide(grantor));
    }
};

const guaranteesNow = (grantor: Grantor): ByUrgency<number> => {
    const { simulation, options } = grantor;
    const shortInUse = [...grantor.demands.values()].reduce(
        (sum, demand) => urgencies.reduce((total, urgency) => total + demand.ownShort[urgency], sum + demand.borrowed),
        0,
    );
    grantor.quickReserve = learnShortUse(grantor.quickReserve, shortInUse, simulation.events.now);
    return poolGuarantees({
        shares: options.shares,
        quickSlots: quickSlots(grantor.quickReserve, maxQuickSlots(simulation, options)),
        slots: totalSlots(simulation),
    });
};

const divide = (grantor: Grantor): void => {
    const { simulation, options, members, book } = grantor;
    const { now } = simulation.events;
    const isDriftDue = now >= grantor.nextDriftAt;
    const next = grantSlots({
        ...simulation.size,
        ...options,
        guarantees: guaranteesNow(grantor),
        maxSpareMoves: isDriftDue ? options.maxSpareMoves : 0,
        turn: turnAt(now),
        demands: members.map(member => grantor.demands.get(member) ?? emptyDemand(member)),
        inUse: [...grantor.inUse.values()].flat(),
        previous: grantor.division.rows,
    });
    grantor.movedSlots += grantor.division.rows.length === 0 ? 0 : countMoves(grantor.division.rows, next.rows);
    grantor.division = next;
    grantor.isDivisionPending = false;
    grantor.nextDivisionAt = now + options.divisionIntervalMs;
    grantor.nextDriftAt = isDriftDue ? now + options.reportIntervalMs : grantor.nextDriftAt;
    issueGrants(book, { ...simulation.size, division: next, members }, now).forEach(grant => sendGrant(grantor, grant));
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
    startWaiting(grantor.simulation, entry);
    // The grantor gives freed slots out only once it knows that this entry no longer uses them.
    if (isSmaller) {
        sendReport(grantor, index);
    }
};

// Slots that a member has after a division and did not have before.
const countMoves = (before: readonly MemberSlots[], after: readonly MemberSlots[]): number =>
    after.reduce((sum, row) => {
        const old = before.find(({ member, vm }) => member === row.member && vm === row.vm)?.slots ?? 0;
        return sum + Math.max(0, row.slots - old);
    }, 0);
