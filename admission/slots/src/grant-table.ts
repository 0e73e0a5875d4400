import { isDeepStrictEqual } from "node:util";
import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import type { SlotAllocation } from "./allocate-slots.js";
import type { VmSlots } from "./vm-slots.js";

/** The grantor's record, for one pool, of the slots that each entry may still be using. */
export interface GrantTable {
    readonly createdAt: number;
    readonly grantTtlMs: number;
    readonly members: Map<ProcessId, MemberRecord>;
}

/** A report of an entry to the grantor of a pool. */
export interface SlotReport {
    readonly member: ProcessId;
    /** Time at which the entry sent the report, on its own clock. */
    readonly sentAt: number;
    /** Version of the grant from this grantor that the entry applied last; 0 for none. */
    readonly version: number;
    /** Slots that the entry may use or has requests in flight on. */
    readonly held: readonly VmSlots[];
    /**
     * True if requests are queued at the entry; a changed grant is then sent to it without waiting for its next report.
     */
    readonly hasQueued: boolean;
}

/** A grant to be sent to an entry. */
export interface IssuedGrant {
    readonly member: ProcessId;
    readonly version: number;
    readonly rows: readonly VmSlots[];
    /** Share of the guaranteed slots of each class that this entry may use. */
    readonly guarantees: ByUrgency<number>;
    /** `sentAt` of the report that the grant answers; the entry measures the validity of the grant from it. */
    readonly reportSentAt: number;
}

/** Allocation, members and capacity from which `issueGrants` derives the grants. */
export interface IssueOptions {
    /** Result of `allocateSlots`. */
    readonly allocation: SlotAllocation;
    readonly members: readonly ProcessId[];
    readonly slotsPerVm: number;
}

interface MemberRecord {
    version: number;
    report: SlotReport;
    /** True once the newest report has been answered. */
    isAnswered: boolean;
    /** Time on the grantor's clock at which every grant issued so far has expired. */
    expiresAt: number;
    newest: IssuedGrant | undefined;
    /** Grants that the entry has not acknowledged, oldest first. */
    sent: IssuedGrant[];
}

/** Creates the table of a process that becomes the grantor; entries may still hold grants of the previous grantor. */
export const createGrantTable = (now: number, grantTtlMs: number): GrantTable => ({
    createdAt: now,
    grantTtlMs,
    members: new Map(),
});

/**
 * Records a report unless it is older than the last one recorded. The grant that it acknowledges and all older ones no
 * longer count as unacknowledged.
 */
export const recordReport = (table: GrantTable, report: SlotReport, now: number): void => {
    const record = table.members.get(report.member);
    const expiresAt = now + table.grantTtlMs;
    if (record === undefined) {
        const version = report.version;
        table.members.set(report.member, {
            version,
            report,
            isAnswered: false,
            expiresAt,
            newest: undefined,
            sent: [],
        });
    } else if (report.sentAt >= record.report.sentAt) {
        record.report = report;
        record.isAnswered = false;
        record.expiresAt = expiresAt;
        record.sent = record.sent.filter(grant => grant.version > report.version);
    }
};

/**
 * Returns the grants to send now: to entries whose grant changes and to entries that have reported since their last
 * grant. A smaller grant is issued at once; the slots that it frees are granted to other entries only after the entry
 * has acknowledged it, or has left the members and every grant issued to it has expired.
 */
export const issueGrants = (table: GrantTable, options: IssueOptions, now: number): readonly IssuedGrant[] => {
    removeExpiredMembers(table, options.members, now);
    const isKnown = options.members.every(member => table.members.has(member));
    if (!isKnown && now < table.createdAt + table.grantTtlMs) {
        return [];
    }
    const outstanding = totalOutstanding(table);
    return options.members.flatMap(member => {
        const record = table.members.get(member);
        const grant = record === undefined ? undefined : issueToMember(table, options, { record, outstanding });
        return grant === undefined ? [] : [grant];
    });
};

// Upper bound of the slots that an entry may be using, whichever of its unacknowledged grants it has applied.
const outstandingSlots = (table: GrantTable, member: ProcessId): readonly VmSlots[] => {
    const record = table.members.get(member);
    const most = new Map<VmId, number>();
    [record?.report.held ?? [], ...(record?.sent ?? []).map(grant => grant.rows)]
        .flat()
        .forEach(({ vm, slots }) => most.set(vm, Math.max(slots, most.get(vm) ?? 0)));
    return [...most].map(([vm, slots]) => ({ vm, slots }));
};

// Outstanding slots of all members on each VM, updated as grants are issued.
type OutstandingSlots = Map<VmId, number>;

const totalOutstanding = (table: GrantTable): OutstandingSlots => {
    const outstanding: OutstandingSlots = new Map();
    [...table.members.keys()].forEach(member => changeOutstanding(outstanding, outstandingSlots(table, member), 1));
    return outstanding;
};

const changeOutstanding = (outstanding: OutstandingSlots, rows: readonly VmSlots[], sign: 1 | -1): void =>
    rows.forEach(({ vm, slots }) => outstanding.set(vm, (outstanding.get(vm) ?? 0) + sign * slots));

// An entry that has left the membership may still dispatch requests until its last grant expires.
const removeExpiredMembers = (table: GrantTable, members: readonly ProcessId[], now: number): void => {
    const live = new Set(members);
    [...table.members.entries()]
        .filter(([member, record]) => !live.has(member) && now >= record.expiresAt)
        .forEach(([member]) => table.members.delete(member));
};

const NO_GUARANTEES: ByUrgency<number> = { urgent: 0, normal: 0, deferrable: 0 };

// Bounds the memory used for a member that no longer reports.
const MAX_UNACKNOWLEDGED = 16;

interface IssueContext {
    readonly record: MemberRecord;
    readonly outstanding: OutstandingSlots;
}

// A grant is sent if its slots differ from those of the newest grant, if its guarantees differ and requests are queued,
// or to renew the newest grant after a report.
const issueToMember = (
    table: GrantTable,
    options: IssueOptions,
    { record, outstanding }: IssueContext,
): IssuedGrant | undefined => {
    const { member } = record.report;
    const before = outstandingSlots(table, member);
    changeOutstanding(outstanding, before, -1);
    const next = nextGrant(options, { record, outstanding });
    const grant = isDue(record, next) ? send(record, next) : undefined;
    changeOutstanding(outstanding, outstandingSlots(table, member), 1);
    return grant;
};

const isDue = (record: MemberRecord, next: IssuedGrant): boolean => {
    if (!record.isAnswered) {
        return true;
    }
    const isChanged =
        !isDeepStrictEqual(record.newest?.rows, next.rows) ||
        (record.report.hasQueued && !isDeepStrictEqual(record.newest?.guarantees, next.guarantees));
    return isChanged && record.sent.length < MAX_UNACKNOWLEDGED;
};

const send = (record: MemberRecord, next: IssuedGrant): IssuedGrant => {
    record.isAnswered = true;
    if (record.newest === undefined || !isSameGrant(record.newest, next)) {
        record.version += 1;
        record.newest = { ...next, version: record.version };
        record.sent.push(record.newest);
    }
    return { ...next, version: record.version };
};

const nextGrant = ({ allocation, slotsPerVm }: IssueOptions, { record, outstanding }: IssueContext): IssuedGrant => {
    const { member, sentAt } = record.report;
    const rows = allocation.rows
        .filter(row => row.member === member)
        .map(({ vm, slots }) => ({ vm, slots: Math.min(slots, slotsPerVm - (outstanding.get(vm) ?? 0)) }))
        .filter(row => row.slots > 0);
    const guarantees = allocation.targets.find(target => target.member === member)?.guarantees ?? NO_GUARANTEES;
    return { member, version: record.version, rows, guarantees, reportSentAt: sentAt };
};

const isSameGrant = (left: IssuedGrant, right: IssuedGrant): boolean =>
    isDeepStrictEqual(left.rows, right.rows) && isDeepStrictEqual(left.guarantees, right.guarantees);
