import { poolGuarantees } from "@almondusher/admission/guarantees";
import type { PoolName, ProcessId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import { memberIds } from "./adopt-state.js";
import { divideQuotas, type QuotaPart } from "@almondusher/slots/divide-quotas";
import { createGrantBook, type GrantBook, issueGrants, recordReport } from "@almondusher/slots/grant-book";
import { type Division, grantSlots } from "@almondusher/slots/grant-slots";
import type { MemberDemand } from "@almondusher/slots/slot-targets";
import { type EntryContext, monotonicMs } from "./entry-context.js";
import { QUICK_SHARE } from "./pool-runtime.js";
import { type GrantFields, grantFields, type ReadReport } from "./slot-messages.js";

/** What this process keeps for a pool while it is the pool's grantor. */
export interface Grantor {
    readonly book: GrantBook;
    readonly reports: Map<ProcessId, ReadReport>;
    division: Division;
    /** Monotonic time from which slots without demand may move again, in milliseconds. */
    nextSpareMoveAt: number;
}

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

const NO_REQUESTS: ByUrgency<number> = { urgent: 0, normal: 0, deferrable: 0 };

const emptyDemand = (member: ProcessId): MemberDemand => ({
    member,
    ownShort: NO_REQUESTS,
    ownLong: NO_REQUESTS,
    borrowed: 0,
    queuedShort: NO_REQUESTS,
    queuedLong: NO_REQUESTS,
});

/** True if this process divides the slots of the pool, by its own view of the members. */
export const isGrantor = (entry: EntryContext, pool: PoolName): boolean =>
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

/** Notes a report and divides the pool's slots anew; returns the grants that are due. */
export const takeReport = (entry: EntryContext, read: ReadReport): readonly AddressedGrant[] => {
    const runtime = entry.tables.pools.get(read.pool);
    if (runtime === undefined || !isGrantor(entry, read.pool)) {
        return [];
    }
    const now = monotonicMs();
    const grantor = grantorFor(entry, read.pool);
    grantor.reports.set(read.report.member, read);
    recordReport(grantor.book, read.report, now);
    return divide(entry, read.pool, grantor);
};

const divide = (entry: EntryContext, pool: PoolName, grantor: Grantor): readonly AddressedGrant[] => {
    const runtime = entry.tables.pools.get(pool);
    if (runtime === undefined) {
        return [];
    }
    const now = monotonicMs();
    const members = memberIds(entry);
    [...grantor.reports.keys()].filter(id => !members.includes(id)).forEach(id => grantor.reports.delete(id));
    const reports = [...grantor.reports.values()];
    const { slotsPerVm, shares, quotas } = runtime.view.pool;
    const vms = runtime.view.vms.map(vm => vm.id);
    const mayMoveSpare = now >= grantor.nextSpareMoveAt;
    grantor.division = grantSlots({
        vms,
        slotsPerVm,
        demands: members.map(member => grantor.reports.get(member)?.demand ?? emptyDemand(member)),
        inUse: reports.flatMap(({ report, used }) => used.map(row => ({ ...row, member: report.member }))),
        guarantees: poolGuarantees({ shares, quickShare: QUICK_SHARE, slots: vms.length * slotsPerVm }),
        reservePerMember: RESERVE_PER_MEMBER,
        maxSpareMoves: mayMoveSpare ? MAX_SPARE_MOVES : 0,
        previous: grantor.division.rows,
    });
    grantor.nextSpareMoveAt = mayMoveSpare ? now + SPARE_MOVE_PERIOD_MS : grantor.nextSpareMoveAt;
    const parts = divideQuotas({ quotas, members, wants: reports.flatMap(wantsOf) });
    return issueGrants(grantor.book, { division: grantor.division, members, slotsPerVm }, now).map(grant => ({
        member: grant.member,
        grant: grantFields({ pool, grantor: entry.processId, grant, quotas: partsOf(parts, grant.member) }),
    }));
};

const wantsOf = ({ report, teams }: ReadReport) =>
    teams.map(({ team, slots }) => ({ member: report.member, team, requests: slots }));

const partsOf = (parts: readonly QuotaPart[], member: ProcessId) =>
    parts.filter(part => part.member === member).map(({ team, slots }) => ({ team, slots }));
