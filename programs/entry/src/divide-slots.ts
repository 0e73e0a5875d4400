import { isDeepStrictEqual } from "node:util";
import { poolGuarantees } from "@almondusher/admission/guarantees";
import type { PoolName, ProcessId } from "@almondusher/fleet/ids";
import { type ByUrgency, urgencies } from "@almondusher/fleet/urgency";
import { memberIds } from "./adopt-state.js";
import { divideQuotas, type QuotaPart } from "@almondusher/slots/divide-quotas";
import { createGrantBook, issueGrants, recordReport } from "@almondusher/slots/grant-book";
import { grantSlots } from "@almondusher/slots/grant-slots";
import { createQuickReserve, learnShortUse, quickSlots } from "@almondusher/slots/quick-reserve";
import { emptyDemand, turnAt } from "@almondusher/slots/slot-targets";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import type { Grantor } from "./grantor.js";
import { type PoolRuntime, QUICK_SHARE } from "./pool-runtime.js";
import { type GrantFields, grantFields, type ReadReport } from "./slot-messages.js";

/** A grant and the member that it is for. */
export interface AddressedGrant {
    readonly member: ProcessId;
    readonly grant: GrantFields;
}

// Each member keeps a slot without asking, so that its first request starts at once.
const RESERVE_PER_MEMBER = 1;
// Slots that nobody asks for move slowly, as each move costs a connection.
const MAX_SPARE_MOVES = 2;
const SPARE_MOVE_PERIOD_MS = 500;
// Dividing every 20 ms needs a quarter more messages for the same result; docs/decisions/slots.md.
const DIVISION_PERIOD_MS = 50;

/** True if this process divides the slots of the pool, by its own view of the members. */
const isGrantor = (entry: EntryContext, pool: PoolName): boolean =>
    entry.rendezvous.grantorOf(pool, memberIds(entry)) === entry.processId;

const grantorFor = (entry: EntryContext, pool: PoolName): Grantor => {
    const known = entry.tables.grantors.get(pool);
    if (known !== undefined) {
        return known;
    }
    const created: Grantor = {
        book: createGrantBook(monotonicMs(), entry.settings.timing.grantTtlMs),
        reports: new Map(),
        division: { rows: [], targets: [] },
        quickReserve: undefined,
        dividedAtMs: -DIVISION_PERIOD_MS,
        isDivisionPending: false,
        view: undefined,
        members: [],
        nextSpareMoveAt: 0,
    };
    entry.tables.grantors.set(pool, created);
    return created;
};

/** Forgets the pools that other processes grant now. */
export const forgetGrantors = (entry: EntryContext): void => {
    [...entry.tables.grantors.keys()]
        .filter(pool => !isGrantor(entry, pool))
        .forEach(pool => entry.tables.grantors.delete(pool));
};

export interface ReportTaking {
    readonly read: ReadReport;
    /** Gets the grants of a division that had to wait for its turn. */
    readonly onLateGrants: (grants: readonly AddressedGrant[]) => void;
}

/** Notes a report, divides the pool's slots anew if it asks for more or less, or waits for its turn; returns the grants that are due. */
export const takeReport = (entry: EntryContext, { read, onLateGrants }: ReportTaking): readonly AddressedGrant[] => {
    const runtime = entry.tables.pools.get(read.pool);
    if (runtime === undefined || !isGrantor(entry, read.pool)) {
        return [];
    }
    const grantor = grantorFor(entry, read.pool);
    const known = grantor.reports.get(read.report.member);
    grantor.reports.set(read.report.member, read);
    recordReport(grantor.book, read.report, monotonicMs());
    const members = memberIds(entry);
    if (!isSettled(grantor, members, runtime)) {
        redivide(grantor, members, runtime);
    } else if (known === undefined || read.report.isWaiting || !asksForTheSame(known, read)) {
        redivideInTurn(entry, read.pool, grantor, onLateGrants);
    }
    return issue(entry, { pool: read.pool, grantor, members, runtime });
};

// Entries that report one after the other are served by one division.
const redivideInTurn = (
    entry: EntryContext,
    pool: PoolName,
    grantor: Grantor,
    onLateGrants: ReportTaking["onLateGrants"],
): void => {
    const runtime = entry.tables.pools.get(pool);
    const waitMs = grantor.dividedAtMs + DIVISION_PERIOD_MS - monotonicMs();
    if (runtime === undefined || grantor.isDivisionPending) {
        return;
    }
    if (waitMs <= 0) {
        redivide(grantor, memberIds(entry), runtime);
        return;
    }
    grantor.isDivisionPending = true;
    setTimeout(() => {
        grantor.isDivisionPending = false;
        const current = entry.tables.pools.get(pool);
        if (current !== undefined && entry.tables.grantors.get(pool) === grantor) {
            const members = memberIds(entry);
            redivide(grantor, members, current);
            onLateGrants(issue(entry, { pool, grantor, members, runtime: current }));
        }
    }, waitMs).unref();
};

// A quiet pool only renews its grants; dividing again would find the same.
const isSettled = (grantor: Grantor, members: readonly ProcessId[], { view }: PoolRuntime): boolean =>
    grantor.view === view && isDeepStrictEqual(grantor.members, members);

const asksForTheSame = (left: ReadReport, right: ReadReport): boolean =>
    isDeepStrictEqual(left.demand, right.demand) &&
    isDeepStrictEqual(left.used, right.used) &&
    isDeepStrictEqual(left.teams, right.teams);

interface PoolSlots {
    readonly shares: ByUrgency<number>;
    readonly slots: number;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}

const shortInUse = ({ demand }: ReadReport): number =>
    urgencies.reduce((sum, urgency) => sum + demand.ownShort[urgency], demand.borrowed);

// The reserve for short requests follows what short requests used in the last minutes.
const learnGuarantees = (grantor: Grantor, { shares, slots, now }: PoolSlots): ByUrgency<number> => {
    const maxSlots = Math.floor(QUICK_SHARE * slots);
    const inUse = [...grantor.reports.values()].reduce((sum, report) => sum + shortInUse(report), 0);
    grantor.quickReserve = learnShortUse(grantor.quickReserve ?? createQuickReserve({ maxSlots, now }), inUse, now);
    return poolGuarantees({ shares, quickSlots: quickSlots(grantor.quickReserve, maxSlots), slots });
};

const redivide = (grantor: Grantor, members: readonly ProcessId[], { view }: PoolRuntime): void => {
    const now = monotonicMs();
    [...grantor.reports.keys()].filter(id => !members.includes(id)).forEach(id => grantor.reports.delete(id));
    const { slotsPerVm, shares } = view.pool;
    const vms = view.vms.map(vm => vm.id);
    const mayMoveSpare = now >= grantor.nextSpareMoveAt;
    grantor.division = grantSlots({
        vms,
        slotsPerVm,
        demands: members.map(member => grantor.reports.get(member)?.demand ?? emptyDemand(member)),
        inUse: [...grantor.reports.values()].flatMap(({ report, used }) =>
            used.map(row => ({ ...row, member: report.member })),
        ),
        guarantees: learnGuarantees(grantor, { shares, slots: vms.length * slotsPerVm, now }),
        reservePerMember: RESERVE_PER_MEMBER,
        maxSpareMoves: mayMoveSpare ? MAX_SPARE_MOVES : 0,
        turn: turnAt(now),
        previous: grantor.division.rows,
    });
    grantor.nextSpareMoveAt = mayMoveSpare ? now + SPARE_MOVE_PERIOD_MS : grantor.nextSpareMoveAt;
    grantor.dividedAtMs = now;
    grantor.view = view;
    grantor.members = members;
};

interface IssueContext {
    readonly pool: PoolName;
    readonly grantor: Grantor;
    readonly members: readonly ProcessId[];
    readonly runtime: PoolRuntime;
}

const issue = (entry: EntryContext, { pool, grantor, members, runtime }: IssueContext): readonly AddressedGrant[] => {
    const { slotsPerVm, quotas } = runtime.view.pool;
    const wants = [...grantor.reports.values()].flatMap(wantsOf);
    const parts = divideQuotas({ quotas, members, wants });
    const options = { division: grantor.division, members, slotsPerVm };
    return issueGrants(grantor.book, options, monotonicMs()).map(grant => ({
        member: grant.member,
        grant: grantFields({ pool, grantor: entry.processId, grant, quotas: partsOf(parts, grant.member) }),
    }));
};

const wantsOf = ({ report, teams }: ReadReport) =>
    teams.map(({ team, slots }) => ({ member: report.member, team, requests: slots }));

const partsOf = (parts: readonly QuotaPart[], member: ProcessId) =>
    parts.filter(part => part.member === member).map(({ team, slots }) => ({ team, slots }));
