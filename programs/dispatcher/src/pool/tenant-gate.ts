import { isWithin, minus, shareOf } from "@almondusher/allowances/amounts";
import { NO_ALLOWANCES, type PoolUse } from "@almondusher/allowances/allowances";
import {
    grantOf,
    inheritAllowance,
    reportUse,
    withDivision,
    withRunsKnown,
} from "@almondusher/allowances/pool-allowance";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import { cappedTenants, tenantDemands } from "@almondusher/scheduler/tenant-room";
import type { HeldLease } from "../leases/held-lease.js";
import {
    allowancesOf,
    poolUseOf,
    storedPoolUse,
    type StoredAllowances,
    type StoredPoolUse,
} from "../leases/tenant-rows.js";
import type { DispatcherContext } from "../process/dispatcher-context.js";

/** Keeps what the tenants run on a pool within what the fleet manager has granted it of their caps. */
export interface TenantGate {
    /** Takes over the division that was read last. Must be called before each placement. */
    readonly update: () => void;
    /** What the pool says of the tenants, for its lease row; undefined if there were never tenants. */
    readonly stored: () => StoredPoolUse | undefined;
    /** Requests a renewal if the fleet manager should know of a change before the next periodic one. */
    readonly requestIfChanged: () => void;
}

export interface TenantGateOptions {
    readonly context: Pick<DispatcherContext, "monotonicMs" | "metrics">;
    readonly tables: PoolTables;
    readonly lease: Pick<HeldLease, "predecessor">;
    /** True if the tables have all runs that former holders may have started. */
    readonly areRunsKnown: () => boolean;
    /** The division in the row of the fleet lease as last read. */
    readonly division: () => StoredAllowances | undefined;
    readonly requestRenewal: () => void;
}

// Bounds the renewals besides the periodic ones, since demand changes all the time.
const MIN_RENEWAL_INTERVAL_MS = 200;
// The fleet manager moves no smaller part of a cap.
const MIN_CHANGE = 0.02;

/** Starts from what the former holder of the pool lease has reported. */
export const createTenantGate = ({
    context,
    tables,
    lease,
    areRunsKnown,
    division,
    requestRenewal,
}: TenantGateOptions): TenantGate => {
    const reportedBefore = lease.predecessor?.tenantUse;
    let allowance = inheritAllowance(reportedBefore === undefined ? undefined : poolUseOf(reportedBefore));
    let readDivision: StoredAllowances | undefined;
    let reported: PoolUse | undefined;
    let requestedAtMs = Number.NEGATIVE_INFINITY;

    const update = (): void => {
        if (allowance.inherited !== undefined && areRunsKnown()) {
            allowance = withRunsKnown(allowance);
        }
        const current = division();
        if (current !== readDivision) {
            readDivision = current;
            allowance = withDivision(
                allowance,
                tables.pool,
                current === undefined ? NO_ALLOWANCES : allowancesOf(current),
            );
        }
        tables.tenantGrants.clear();
        cappedTenants(tables).forEach(tenant => tables.tenantGrants.set(tenant, grantOf(allowance, tenant)));
    };
    const report = (): PoolUse => {
        update();
        return reportUse(allowance, tenantDemands(tables, context.monotonicMs()));
    };
    const isDue = (now: PoolUse): boolean =>
        now.tenants.some(use => {
            const before = reported?.tenants.find(({ tenant }) => tenant === use.tenant);
            const cap = tables.tenants.get(use.tenant)?.cap;
            if (before === undefined || cap === undefined) {
                return true;
            }
            const grant = grantOf(allowance, use.tenant);
            const isNewlyShort =
                !isWithin(use.wanted, grant) && shareOf(minus(use.wanted, before.wanted), cap) >= MIN_CHANGE;
            const isGivenBack = shareOf(minus(before.held, use.held), cap) >= MIN_CHANGE;
            const isRaised = shareOf(minus(use.held, before.held), cap) >= MIN_CHANGE;
            return isNewlyShort || isGivenBack || isRaised;
        });
    return {
        update,
        stored: () => {
            if (tables.tenants.size === 0 && reportedBefore === undefined && reported === undefined) {
                return undefined;
            }
            reported = report();
            return storedPoolUse(reported);
        },
        requestIfChanged: () => {
            const nowMs = context.monotonicMs();
            if (cappedTenants(tables).size === 0 || nowMs - requestedAtMs < MIN_RENEWAL_INTERVAL_MS) {
                return;
            }
            if (isDue(report())) {
                requestedAtMs = nowMs;
                context.metrics.count("tenant_use_renewals");
                requestRenewal();
            }
        },
    };
};
