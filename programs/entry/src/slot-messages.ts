import { demandOf, slotDemandOf } from "@almondusher/admission/demand";
import { type PoolName, type ProcessId, type TeamName, toId, type VmId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import type {
    ClassCounts,
    PoolGrant,
    SlotReport as SlotReportMessage,
} from "@almondusher/peer/gen/almondusher/peer/v1/peer_pb";
import type { IssuedGrant, SlotReport } from "@almondusher/slots/grant-book";
import { acknowledgedVersion, type Grant, heldSlots, type TeamSlots, usedSlots } from "@almondusher/slots/slot-ledger";
import type { MemberDemand } from "@almondusher/slots/slot-targets";
import type { VmSlots } from "@almondusher/slots/vm-slots";
import { monotonicMs } from "./monotonic-clock.js";
import type { PoolRuntime } from "./pool-runtime.js";

/** A report of one member as the grantor of a pool uses it. */
export interface ReadReport {
    readonly pool: PoolName;
    readonly report: SlotReport;
    readonly demand: MemberDemand;
    readonly used: readonly VmSlots[];
    readonly teams: readonly TeamSlots[];
}

const countsOf = (counts: ClassCounts | undefined): ByUrgency<number> => ({
    urgent: counts?.urgent ?? 0,
    normal: counts?.normal ?? 0,
    deferrable: counts?.deferrable ?? 0,
});

const rowsOf = (rows: readonly { vmId: string; slots: number }[]): readonly VmSlots[] =>
    rows.map(({ vmId, slots }) => ({ vm: toId<VmId>(vmId), slots }));

const rowFields = (rows: readonly VmSlots[]) => rows.map(({ vm, slots }) => ({ vmId: vm, slots }));

const teamsOf = (rows: readonly { team: string; slots: number }[]): readonly TeamSlots[] =>
    rows.map(({ team, slots }) => ({ team: toId<TeamName>(team), slots }));

const quotaTeams = (pool: PoolRuntime): readonly TeamSlots[] => {
    const limited = new Set(pool.view.pool.quotas.map(quota => quota.team));
    const wants = new Map<TeamName, number>();
    demandOf(pool.admission)
        .filter(row => limited.has(row.team))
        .forEach(row => wants.set(row.team, (wants.get(row.team) ?? 0) + row.running + row.queued));
    return [...wants].map(([team, slots]) => ({ team, slots }));
};

/** Fields of the report of a pool to its grantor. */
export const reportFields = (pool: PoolRuntime, grantor: ProcessId) => ({
    pool: pool.view.pool.name,
    sentAtMs: monotonicMs(),
    grantVersion: BigInt(acknowledgedVersion(pool.ledger, grantor)),
    held: rowFields(heldSlots(pool.ledger)),
    used: rowFields(usedSlots(pool.ledger)),
    ...slotDemandOf(pool.admission),
    teams: [...quotaTeams(pool)],
});

/** The fields of a report, as they are sent or as they were received. */
export type ReportFields = ReturnType<typeof reportFields> | SlotReportMessage;

/** Reads the report of a member. */
export const readReport = (member: ProcessId, message: ReportFields): ReadReport => {
    const queuedShort = countsOf(message.queuedShort as ClassCounts);
    const queuedLong = countsOf(message.queuedLong as ClassCounts);
    const queued = [...Object.values(queuedShort), ...Object.values(queuedLong)];
    return {
        pool: toId<PoolName>(message.pool),
        report: {
            member,
            sentAt: message.sentAtMs,
            version: Number(message.grantVersion),
            held: rowsOf(message.held),
            isWaiting: queued.some(count => count > 0),
        },
        demand: {
            member,
            ownShort: countsOf(message.ownShort as ClassCounts),
            ownLong: countsOf(message.ownLong as ClassCounts),
            borrowed: message.borrowed,
            queuedShort,
            queuedLong,
        },
        used: rowsOf(message.used),
        teams: teamsOf(message.teams),
    };
};

export interface GrantFieldsOptions {
    readonly pool: PoolName;
    readonly grantor: ProcessId;
    readonly grant: IssuedGrant;
    readonly quotas: readonly TeamSlots[];
}

/** Fields of a grant for an entry. */
export const grantFields = ({ pool, grantor, grant, quotas }: GrantFieldsOptions) => ({
    pool,
    grantorProcessId: grantor,
    version: BigInt(grant.version),
    reportSentAtMs: grant.reportSentAt,
    vms: rowFields(grant.rows),
    guarantees: grant.guarantees,
    quotas: [...quotas],
});

/** The fields of a grant, as they are sent or as they were received. */
export type GrantFields = ReturnType<typeof grantFields> | PoolGrant;

/** Reads a grant; it is valid for the given time from the report that it answers. */
export const readGrant = (message: GrantFields, grantTtlMs: number): Grant => ({
    grantor: toId<ProcessId>(message.grantorProcessId),
    version: Number(message.version),
    rows: rowsOf(message.vms),
    guarantees: countsOf(message.guarantees as ClassCounts),
    quotas: teamsOf(message.quotas),
    expiresAt: message.reportSentAtMs + grantTtlMs,
});
