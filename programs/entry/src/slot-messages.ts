import { demandOf, slotDemandOf } from "@almondusher/admission/demand";
import { type PoolName, type ProcessId, type TeamName, toId, type VmId } from "@almondusher/fleet/ids";
import type { ByUrgency } from "@almondusher/fleet/urgency";
import type {
    ClassCounts,
    PoolGrant,
    SlotReport as SlotReportMessage,
} from "@almondusher/peer/gen/almondusher/peer/v1/peer_pb";
import type { IssuedGrant, SlotReport } from "@almondusher/slots/grant-table";
import { acknowledgedVersion, type Grant, heldSlots, type TeamSlots, usedSlots } from "@almondusher/slots/slot-ledger";
import type { MemberDemand } from "@almondusher/slots/slot-targets";
import type { VmSlots } from "@almondusher/slots/vm-slots";
import { monotonicMs } from "./monotonic-clock.js";
import type { PoolRuntime } from "./pool-runtime.js";

/** A member's report on one pool, parsed for the grantor. */
export interface ParsedReport {
    readonly pool: PoolName;
    readonly report: SlotReport;
    readonly demand: MemberDemand;
    readonly used: readonly VmSlots[];
    readonly teams: readonly TeamSlots[];
}

const parseClassCounts = (counts: ClassCounts | undefined): ByUrgency<number> => ({
    urgent: counts?.urgent ?? 0,
    normal: counts?.normal ?? 0,
    deferrable: counts?.deferrable ?? 0,
});

const parseVmSlots = (rows: readonly { vmId: string; slots: number }[]): readonly VmSlots[] =>
    rows.map(({ vmId, slots }) => ({ vm: toId<VmId>(vmId), slots }));

const vmSlotFields = (rows: readonly VmSlots[]) => rows.map(({ vm, slots }) => ({ vmId: vm, slots }));

const parseTeamSlots = (rows: readonly { team: string; slots: number }[]): readonly TeamSlots[] =>
    rows.map(({ team, slots }) => ({ team: toId<TeamName>(team), slots }));

const quotaDemand = (pool: PoolRuntime): readonly TeamSlots[] => {
    const teamsWithQuota = new Set(pool.view.pool.quotas.map(quota => quota.team));
    const demandByTeam = new Map<TeamName, number>();
    demandOf(pool.admission)
        .filter(row => teamsWithQuota.has(row.team))
        .forEach(row => demandByTeam.set(row.team, (demandByTeam.get(row.team) ?? 0) + row.running + row.queued));
    return [...demandByTeam].map(([team, slots]) => ({ team, slots }));
};

/** Builds the fields of a pool's report to its grantor. */
export const reportFields = (pool: PoolRuntime, grantor: ProcessId) => ({
    pool: pool.view.pool.name,
    sentAtMs: monotonicMs(),
    grantVersion: BigInt(acknowledgedVersion(pool.ledger, grantor)),
    held: vmSlotFields(heldSlots(pool.ledger)),
    used: vmSlotFields(usedSlots(pool.ledger)),
    ...slotDemandOf(pool.admission),
    teams: [...quotaDemand(pool)],
});

/** Report fields, either built locally or received from a peer. */
export type ReportFields = ReturnType<typeof reportFields> | SlotReportMessage;

/** Parses a member's report. */
export const parseReport = (member: ProcessId, message: ReportFields): ParsedReport => {
    const queuedShort = parseClassCounts(message.queuedShort as ClassCounts);
    const queuedLong = parseClassCounts(message.queuedLong as ClassCounts);
    const queued = [...Object.values(queuedShort), ...Object.values(queuedLong)];
    return {
        pool: toId<PoolName>(message.pool),
        report: {
            member,
            sentAt: message.sentAtMs,
            version: Number(message.grantVersion),
            held: parseVmSlots(message.held),
            hasQueued: queued.some(count => count > 0),
        },
        demand: {
            member,
            ownShort: parseClassCounts(message.ownShort as ClassCounts),
            ownLong: parseClassCounts(message.ownLong as ClassCounts),
            borrowed: message.borrowed,
            queuedShort,
            queuedLong,
        },
        used: parseVmSlots(message.used),
        teams: parseTeamSlots(message.teams),
    };
};

export interface GrantFieldsOptions {
    readonly pool: PoolName;
    readonly grantor: ProcessId;
    readonly grant: IssuedGrant;
    readonly quotas: readonly TeamSlots[];
}

/** Builds the message fields of a grant. */
export const grantFields = ({ pool, grantor, grant, quotas }: GrantFieldsOptions) => ({
    pool,
    grantorProcessId: grantor,
    version: BigInt(grant.version),
    reportSentAtMs: grant.reportSentAt,
    vms: vmSlotFields(grant.rows),
    guarantees: grant.guarantees,
    quotas: [...quotas],
});

/** Grant fields, either built locally or received from a peer. */
export type GrantFields = ReturnType<typeof grantFields> | PoolGrant;

/** Parses a grant; its lifetime starts at the time of the report that it responds to. */
export const parseGrant = (message: GrantFields, grantTtlMs: number): Grant => ({
    grantor: toId<ProcessId>(message.grantorProcessId),
    version: Number(message.version),
    rows: parseVmSlots(message.vms),
    guarantees: parseClassCounts(message.guarantees as ClassCounts),
    quotas: parseTeamSlots(message.quotas),
    expiresAt: message.reportSentAtMs + grantTtlMs,
});
