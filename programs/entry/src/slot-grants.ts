import type { PoolName, ProcessId } from "@almondusher/fleet/ids";
import type { LivePeer } from "@almondusher/peer/membership";
import { memberFields } from "@almondusher/peer/peer-schema";
import { applyGrant, refreshAllowedSlots } from "@almondusher/slots/slot-ledger";
import { count } from "@almondusher/telemetry/counters";
import { memberIds } from "./adopt-state.js";
import { type AddressedGrant, dropStaleGrantorStates, handleReport } from "./allocate-slots.js";
import type { EntryContext } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";
import { selfPeer } from "./exchange-peers.js";
import { applyQuotas, poolLoad, type PoolRuntime } from "./pool-runtime.js";
import { MIN_REPORT_PERIOD_MS, reportPeriodMs } from "./report-period.js";
import { startWaitingRequests } from "./serve-request.js";
import { type GrantFields, parseGrant, parseReport, type ReportFields, reportFields } from "./slot-messages.js";

const grantorOf = (entry: EntryContext, pool: PoolName): ProcessId | undefined =>
    entry.rendezvous.grantorOf(pool, memberIds(entry));

const findPeer = (entry: EntryContext, processId: ProcessId): LivePeer | undefined =>
    entry.tables.membership.peers.rows.find(peer => peer.processId === processId);

/** Sends the reports that are due to the grantors: to renew grants, and to request slots for waiting requests. */
export const reportDuePools = (entry: EntryContext): void => {
    const now = monotonicMs();
    const due = [...entry.tables.pools.values()].filter(pool => isReportDue(entry, pool, now));
    if (due.length === 0) {
        return;
    }
    dropStaleGrantorStates(entry);
    const byGrantor = new Map<ProcessId, PoolRuntime[]>();
    due.forEach(pool => {
        const grantor = grantorOf(entry, pool.view.pool.name);
        if (grantor !== undefined) {
            byGrantor.set(grantor, [...(byGrantor.get(grantor) ?? []), pool]);
        }
    });
    byGrantor.forEach((pools, grantor) => reportPools(entry, grantor, pools));
};

const isReportDue = (entry: EntryContext, pool: PoolRuntime, now: number): boolean =>
    now - pool.reportedAtMs >=
    reportPeriodMs({
        current: poolLoad(pool),
        lastReported: pool.reportedLoad,
        grantTtlMs: entry.settings.timing.grantTtlMs,
    });

/** Reports a pool ahead of its period because a request has started to wait. */
export const reportWaitingRequests = (entry: EntryContext, pool: PoolRuntime): void => {
    const grantor = grantorOf(entry, pool.view.pool.name);
    if (grantor !== undefined && monotonicMs() - pool.reportedAtMs >= MIN_REPORT_PERIOD_MS) {
        reportPools(entry, grantor, [pool]);
    }
};

const reportPools = (entry: EntryContext, grantor: ProcessId, pools: readonly PoolRuntime[]): void => {
    const reports = pools.map(pool => {
        pool.reportedAtMs = monotonicMs();
        pool.reportedLoad = poolLoad(pool);
        return reportFields(pool, grantor);
    });
    if (grantor === entry.processId) {
        deliverGrants(entry, handleReports(entry, entry.processId, reports));
        return;
    }
    const peer = findPeer(entry, grantor);
    if (peer !== undefined) {
        void sendReports(entry, peer, reports);
    }
};

const sendReports = async (
    entry: EntryContext,
    peer: LivePeer,
    reports: readonly ReturnType<typeof reportFields>[],
): Promise<void> => {
    try {
        const { calls } = entry.peerClients.clientFor(peer.peerUrl);
        const response = await calls.reportSlots({ sender: memberFields(selfPeer(entry)), reports: [...reports] });
        applyGrants(entry, response.grants);
    } catch {
        count(entry.counters, { name: "failed-slot-reports" });
    }
};

/** Handles the reports of one member and returns the grants that are due, which may be addressed to any member. */
export const handleReports = (
    entry: EntryContext,
    member: ProcessId,
    reports: readonly ReportFields[],
): readonly AddressedGrant[] =>
    reports.flatMap(fields =>
        handleReport(entry, {
            read: parseReport(member, fields),
            onDeferredGrants: grants => deliverGrants(entry, grants),
        }),
    );

/** Pushes grants to their members; grants addressed to this process are applied directly. */
export const deliverGrants = (entry: EntryContext, grants: readonly AddressedGrant[]): void => {
    const byMember = new Map<ProcessId, GrantFields[]>();
    grants.forEach(({ member, grant }) => byMember.set(member, [...(byMember.get(member) ?? []), grant]));
    byMember.forEach((rows, member) => {
        if (member === entry.processId) {
            const acknowledged = applyGrants(entry, rows);
            deliverGrants(entry, handleReports(entry, entry.processId, acknowledged));
        } else {
            void pushGrants(entry, member, rows);
        }
    });
};

const pushGrants = async (entry: EntryContext, member: ProcessId, grants: readonly GrantFields[]): Promise<void> => {
    const peer = findPeer(entry, member);
    if (peer === undefined) {
        return;
    }
    try {
        const { calls } = entry.peerClients.clientFor(peer.peerUrl);
        const response = await calls.applyGrants({
            sender: memberFields(selfPeer(entry)),
            grants: [...grants],
        });
        deliverGrants(entry, handleReports(entry, member, response.reports));
    } catch {
        count(entry.counters, { name: "failed-grant-pushes" });
    }
};

/** Applies grants; returns a report for each pool that lost slots, so that the grantor can grant them to others. */
export const applyGrants = (
    entry: EntryContext,
    grants: readonly GrantFields[],
): readonly ReturnType<typeof reportFields>[] =>
    grants.flatMap(fields => {
        const grant = parseGrant(fields, entry.settings.timing.grantTtlMs);
        const pool = [...entry.tables.pools.values()].find(({ view }) => view.pool.name === fields.pool);
        if (pool === undefined || grantorOf(entry, pool.view.pool.name) !== grant.grantor) {
            return [];
        }
        const before = new Map(pool.ledger.allowed);
        applyGrant(pool.ledger, grant, monotonicMs());
        applyQuotas(pool, grant.quotas, entry.settings);
        startWaitingRequests(entry, pool);
        const hasLostSlots = [...before].some(([vm, slots]) => (pool.ledger.allowed.get(vm) ?? 0) < slots);
        return hasLostSlots ? [reportFields(pool, grant.grantor)] : [];
    });

/** Removes expired grants, so that this entry uses its fallback slots for these pools. */
export const expireGrants = (entry: EntryContext): void => {
    const now = monotonicMs();
    entry.tables.pools.forEach(({ ledger }) => {
        if (ledger.grant !== undefined && ledger.grant.expiresAt <= now) {
            refreshAllowedSlots(ledger, now);
            ledger.grant = undefined;
        }
    });
};
