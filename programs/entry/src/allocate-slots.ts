import { isDeepStrictEqual } from "node:util";
import { poolGuarantees } from "@almondusher/admission/guarantees";
import type { PoolName, ProcessId } from "@almondusher/fleet/ids";
import { type ByUrgency, urgencies } from "@almondusher/fleet/urgency";
import { memberIds } from "./adopt-state.js";
import { divideQuotas, type QuotaShare } from "@almondusher/slots/divide-quotas";
import { createGrantTable, issueGrants, recordReport } from "@almondusher/slots/grant-table";
import { allocateSlots } from "@almondusher/slots/allocate-slots";
import { createShortReserve, updateShortReserve, shortReserveSlots } from "@almondusher/slots/short-reserve";
import { emptyDemand, rotationAt } from "@almondusher/slots/slot-targets";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import type { GrantorState } from "./grantor-state.js";
import { MAX_SHORT_RESERVE_SHARE, type PoolRuntime } from "./pool-runtime.js";
import { type GrantFields, grantFields, type ParsedReport } from "./slot-messages.js";

/** A grant and the member that it is for. */
export interface AddressedGrant {
    readonly member: ProcessId;
    readonly grant: GrantFields;
}

// Every member has at least one slot regardless of demand, so that its first request starts without waiting.
const RESERVED_SLOTS_PER_MEMBER = 1;
// Limits how fast slots without demand move between members, because the new holder of a slot has to open a connection.
const MAX_IDLE_SLOT_MOVES = 2;
const IDLE_SLOT_MOVE_PERIOD_MS = 500;
// A period of 20 ms needs a quarter more messages for the same result; see docs/decisions/slots.md.
const ALLOCATION_PERIOD_MS = 50;

/** Returns whether this process is the pool's grantor according to its own view of the membership. */
const isGrantor = (entry: EntryContext, pool: PoolName): boolean =>
    entry.rendezvous.grantorOf(pool, memberIds(entry)) === entry.processId;

const getOrCreateGrantorState = (entry: EntryContext, pool: PoolName): GrantorState => {
    const existing = entry.tables.grantorStates.get(pool);
    if (existing !== undefined) {
        return existing;
    }
    const created: GrantorState = {
        grantTable: createGrantTable(monotonicMs(), entry.settings.timing.grantTtlMs),
        reports: new Map(),
        allocation: { rows: [], targets: [] },
        shortRequestReserve: undefined,
        allocatedAtMs: -ALLOCATION_PERIOD_MS,
        isAllocationPending: false,
        view: undefined,
        members: [],
        nextIdleSlotMoveAtMs: 0,
    };
    entry.tables.grantorStates.set(pool, created);
    return created;
};

/** Drops the state of pools whose grantor is now another process. */
export const dropStaleGrantorStates = (entry: EntryContext): void => {
    [...entry.tables.grantorStates.keys()]
        .filter(pool => !isGrantor(entry, pool))
        .forEach(pool => entry.tables.grantorStates.delete(pool));
};

export interface HandleReportOptions {
    readonly read: ParsedReport;
    /** Called with the grants of an allocation that was deferred to the end of the allocation period. */
    readonly onDeferredGrants: (grants: readonly AddressedGrant[]) => void;
}

/**
 * Records a member's report and returns the grants that are due. The slots are reallocated at once if the members or
 * the pool changed, and at most once per allocation period if the demand changed or requests wait.
 */
export const handleReport = (
    entry: EntryContext,
    { read: parsed, onDeferredGrants }: HandleReportOptions,
): readonly AddressedGrant[] => {
    const runtime = entry.tables.pools.get(parsed.pool);
    if (runtime === undefined || !isGrantor(entry, parsed.pool)) {
        return [];
    }
    const grantorState = getOrCreateGrantorState(entry, parsed.pool);
    const previous = grantorState.reports.get(parsed.report.member);
    grantorState.reports.set(parsed.report.member, parsed);
    recordReport(grantorState.grantTable, parsed.report, monotonicMs());
    const members = memberIds(entry);
    if (!isAllocationCurrent(grantorState, members, runtime)) {
        reallocate(grantorState, members, runtime);
    } else if (previous === undefined || parsed.report.hasQueued || !hasSameDemand(previous, parsed)) {
        reallocateWhenDue(entry, parsed.pool, grantorState, onDeferredGrants);
    }
    return issuePoolGrants(entry, { pool: parsed.pool, grantor: grantorState, members, runtime });
};

// Reports that arrive within one allocation period are batched into a single allocation.
const reallocateWhenDue = (
    entry: EntryContext,
    pool: PoolName,
    grantorState: GrantorState,
    onDeferredGrants: HandleReportOptions["onDeferredGrants"],
): void => {
    const runtime = entry.tables.pools.get(pool);
    const waitMs = grantorState.allocatedAtMs + ALLOCATION_PERIOD_MS - monotonicMs();
    if (runtime === undefined || grantorState.isAllocationPending) {
        return;
    }
    if (waitMs <= 0) {
        reallocate(grantorState, memberIds(entry), runtime);
        return;
    }
    grantorState.isAllocationPending = true;
    setTimeout(() => {
        grantorState.isAllocationPending = false;
        const current = entry.tables.pools.get(pool);
        if (current !== undefined && entry.tables.grantorStates.get(pool) === grantorState) {
            const members = memberIds(entry);
            reallocate(grantorState, members, current);
            onDeferredGrants(issuePoolGrants(entry, { pool, grantor: grantorState, members, runtime: current }));
        }
    }, waitMs).unref();
};

// While this holds, a report without new demand only renews grants, as reallocating would give the same result.
const isAllocationCurrent = (
    grantorState: GrantorState,
    members: readonly ProcessId[],
    { view }: PoolRuntime,
): boolean => grantorState.view === view && isDeepStrictEqual(grantorState.members, members);

const hasSameDemand = (left: ParsedReport, right: ParsedReport): boolean =>
    isDeepStrictEqual(left.demand, right.demand) &&
    isDeepStrictEqual(left.used, right.used) &&
    isDeepStrictEqual(left.teams, right.teams);

interface GuaranteeInputs {
    readonly shares: ByUrgency<number>;
    readonly slots: number;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}

const shortRequestSlotsInUse = ({ demand }: ParsedReport): number =>
    urgencies.reduce((sum, urgency) => sum + demand.ownShort[urgency], demand.borrowed);

// The reserve for short requests is sized by the number of slots that short requests used in the last minutes.
const updateGuarantees = (grantorState: GrantorState, { shares, slots, now }: GuaranteeInputs): ByUrgency<number> => {
    const maxSlots = Math.floor(MAX_SHORT_RESERVE_SHARE * slots);
    const inUse = [...grantorState.reports.values()].reduce((sum, report) => sum + shortRequestSlotsInUse(report), 0);
    grantorState.shortRequestReserve = updateShortReserve(
        grantorState.shortRequestReserve ?? createShortReserve({ maxSlots, now }),
        inUse,
        now,
    );
    return poolGuarantees({
        shares,
        shortReserveSlots: shortReserveSlots(grantorState.shortRequestReserve, maxSlots),
        slots,
    });
};

const reallocate = (grantorState: GrantorState, members: readonly ProcessId[], { view }: PoolRuntime): void => {
    const now = monotonicMs();
    [...grantorState.reports.keys()].filter(id => !members.includes(id)).forEach(id => grantorState.reports.delete(id));
    const { slotsPerVm, shares } = view.pool;
    const vms = view.vms.map(vm => vm.id);
    const mayMoveIdleSlots = now >= grantorState.nextIdleSlotMoveAtMs;
    grantorState.allocation = allocateSlots({
        vms,
        slotsPerVm,
        demands: members.map(member => grantorState.reports.get(member)?.demand ?? emptyDemand(member)),
        inUse: [...grantorState.reports.values()].flatMap(({ report, used }) =>
            used.map(row => ({ ...row, member: report.member })),
        ),
        guarantees: updateGuarantees(grantorState, { shares, slots: vms.length * slotsPerVm, now }),
        reservePerMember: RESERVED_SLOTS_PER_MEMBER,
        maxIdleMoves: mayMoveIdleSlots ? MAX_IDLE_SLOT_MOVES : 0,
        rotation: rotationAt(now),
        previous: grantorState.allocation.rows,
    });
    grantorState.nextIdleSlotMoveAtMs = mayMoveIdleSlots
        ? now + IDLE_SLOT_MOVE_PERIOD_MS
        : grantorState.nextIdleSlotMoveAtMs;
    grantorState.allocatedAtMs = now;
    grantorState.view = view;
    grantorState.members = members;
};

interface IssueContext {
    readonly pool: PoolName;
    readonly grantor: GrantorState;
    readonly members: readonly ProcessId[];
    readonly runtime: PoolRuntime;
}

const issuePoolGrants = (
    entry: EntryContext,
    { pool, grantor: grantorState, members, runtime }: IssueContext,
): readonly AddressedGrant[] => {
    const { slotsPerVm, quotas } = runtime.view.pool;
    const wants = [...grantorState.reports.values()].flatMap(teamDemandOf);
    const shares = divideQuotas({ quotas, members, wants });
    const options = { allocation: grantorState.allocation, members, slotsPerVm };
    return issueGrants(grantorState.grantTable, options, monotonicMs()).map(grant => ({
        member: grant.member,
        grant: grantFields({ pool, grantor: entry.processId, grant, quotas: memberQuotas(shares, grant.member) }),
    }));
};

const teamDemandOf = ({ report, teams }: ParsedReport) =>
    teams.map(({ team, slots }) => ({ member: report.member, team, requests: slots }));

const memberQuotas = (shares: readonly QuotaShare[], member: ProcessId) =>
    shares.filter(share => share.member === member).map(({ team, slots }) => ({ team, slots }));
