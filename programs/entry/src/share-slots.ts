import type { PoolName, ProcessId } from "@almondusher/fleet/ids";
import type { HeardPeer } from "@almondusher/peer/membership";
import { memberFields } from "@almondusher/peer/peer-schema";
import { applyGrant, refreshAllowed } from "@almondusher/slots/slot-ledger";
import { count } from "@almondusher/telemetry/counters";
import { memberIds } from "./adopt-state.js";
import { type AddressedGrant, forgetGrantors, takeReport } from "./divide-slots.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { selfPeer } from "./exchange-peers.js";
import { applyQuotas, type PoolRuntime, workOf } from "./pool-runtime.js";
import { DEMAND_REPORT_MS, reportPeriodMs } from "./report-period.js";
import { startWaiting } from "./serve-request.js";
import { type GrantFields, readGrant, readReport, type ReportFields, reportFields } from "./slot-messages.js";

const grantorOf = (entry: EntryContext, pool: PoolName): ProcessId | undefined =>
    entry.rendezvous.grantorOf(pool, memberIds(entry));

const peerOf = (entry: EntryContext, processId: ProcessId): HeardPeer | undefined =>
    entry.tables.membership.peers.rows.find(peer => peer.processId === processId);

/** Reports the pools that are due: those whose grant is to be renewed and those where requests wait. */
export const reportDuePools = (entry: EntryContext): void => {
    const now = monotonicMs();
    const due = [...entry.tables.pools.values()].filter(pool => isDue(entry, pool, now));
    if (due.length === 0) {
        return;
    }
    forgetGrantors(entry);
    const byGrantor = new Map<ProcessId, PoolRuntime[]>();
    due.forEach(pool => {
        const grantor = grantorOf(entry, pool.view.pool.name);
        if (grantor !== undefined) {
            byGrantor.set(grantor, [...(byGrantor.get(grantor) ?? []), pool]);
        }
    });
    byGrantor.forEach((pools, grantor) => report(entry, grantor, pools));
};

const isDue = (entry: EntryContext, pool: PoolRuntime, now: number): boolean =>
    now - pool.reportedAtMs >=
    reportPeriodMs({
        now: workOf(pool),
        reported: pool.reportedWork,
        grantTtlMs: entry.settings.timing.grantTtlMs,
    });

/** Reports a pool in which a request has begun to wait. */
export const reportWaiting = (entry: EntryContext, pool: PoolRuntime): void => {
    const grantor = grantorOf(entry, pool.view.pool.name);
    if (grantor !== undefined && monotonicMs() - pool.reportedAtMs >= DEMAND_REPORT_MS) {
        report(entry, grantor, [pool]);
    }
};

const report = (entry: EntryContext, grantor: ProcessId, pools: readonly PoolRuntime[]): void => {
    const reports = pools.map(pool => {
        pool.reportedAtMs = monotonicMs();
        pool.reportedWork = workOf(pool);
        return reportFields(pool, grantor);
    });
    if (grantor === entry.processId) {
        deliver(entry, takeReports(entry, entry.processId, reports));
        return;
    }
    const peer = peerOf(entry, grantor);
    if (peer !== undefined) {
        void sendReports(entry, peer, reports);
    }
};

const sendReports = async (
    entry: EntryContext,
    peer: HeardPeer,
    reports: readonly ReturnType<typeof reportFields>[],
): Promise<void> => {
    try {
        const { calls } = entry.peerClients.clientFor(peer.peerUrl);
        const answer = await calls.reportSlots({ sender: memberFields(selfPeer(entry)), reports: [...reports] });
        applyGrants(entry, answer.grants);
    } catch {
        count(entry.counters, { name: "failed-slot-reports" });
    }
};

/** Takes reports of one member; returns the grants that are due to any member. */
export const takeReports = (
    entry: EntryContext,
    member: ProcessId,
    reports: readonly ReportFields[],
): readonly AddressedGrant[] =>
    reports.flatMap(fields =>
        takeReport(entry, {
            read: readReport(member, fields),
            onLateGrants: grants => deliver(entry, grants),
        }),
    );

/** Sends grants to their members; those of this process are applied at once. */
export const deliver = (entry: EntryContext, grants: readonly AddressedGrant[]): void => {
    const byMember = new Map<ProcessId, GrantFields[]>();
    grants.forEach(({ member, grant }) => byMember.set(member, [...(byMember.get(member) ?? []), grant]));
    byMember.forEach((rows, member) => {
        if (member === entry.processId) {
            const acknowledged = applyGrants(entry, rows);
            deliver(entry, takeReports(entry, entry.processId, acknowledged));
        } else {
            void pushGrants(entry, member, rows);
        }
    });
};

const pushGrants = async (entry: EntryContext, member: ProcessId, grants: readonly GrantFields[]): Promise<void> => {
    const peer = peerOf(entry, member);
    if (peer === undefined) {
        return;
    }
    try {
        const { calls } = entry.peerClients.clientFor(peer.peerUrl);
        const answer = await calls.applyGrants({
            sender: memberFields(selfPeer(entry)),
            grants: [...grants],
        });
        deliver(entry, takeReports(entry, member, answer.reports));
    } catch {
        count(entry.counters, { name: "failed-grant-pushes" });
    }
};

/** Puts grants into force; returns a report of each pool that lost slots, which lets the grantor pass them on. */
export const applyGrants = (
    entry: EntryContext,
    grants: readonly GrantFields[],
): readonly ReturnType<typeof reportFields>[] =>
    grants.flatMap(fields => {
        const grant = readGrant(fields, entry.settings.timing.grantTtlMs);
        const pool = [...entry.tables.pools.values()].find(({ view }) => view.pool.name === fields.pool);
        if (pool === undefined || grantorOf(entry, pool.view.pool.name) !== grant.grantor) {
            return [];
        }
        const before = new Map(pool.ledger.allowed);
        applyGrant(pool.ledger, grant, monotonicMs());
        applyQuotas(pool, grant.quotas, entry.settings);
        startWaiting(entry, pool);
        const isSmaller = [...before].some(([vm, slots]) => (pool.ledger.allowed.get(vm) ?? 0) < slots);
        return isSmaller ? [reportFields(pool, grant.grantor)] : [];
    });

/** Drops expired grants. */
export const expireGrants = (entry: EntryContext): void => {
    const now = monotonicMs();
    entry.tables.pools.forEach(({ ledger }) => {
        if (ledger.grant !== undefined && ledger.grant.expiresAt <= now) {
            refreshAllowed(ledger, now);
            ledger.grant = undefined;
        }
    });
};
