import { NO_ALLOWANCES } from "@almondusher/allowances/allowances";
import { divideCaps, type DividedPool } from "@almondusher/allowances/divide-caps";
import type { PoolName } from "@almondusher/fleet/ids";
import type { HeldLease } from "../leases/held-lease.js";
import type { LeaseManager } from "../leases/lease-manager.js";
import { allowancesOf, poolUseOf, storedAllowances, type StoredAllowances } from "../leases/tenant-rows.js";
import type { OperatorFeed } from "../operator/operator-feed.js";
import type { DispatcherContext } from "../process/dispatcher-context.js";

/** Divides the caps of the tenants among the pools, for the row of the fleet lease. */
export interface CapDivision {
    /** Brings the division up to date with what the pools say. */
    readonly update: () => void;
    /** The division to store; undefined if there was never a tenant with a cap. */
    readonly stored: () => StoredAllowances | undefined;
}

export interface CapDivisionOptions {
    readonly context: Pick<DispatcherContext, "monotonicMs" | "log" | "metrics">;
    readonly lease: HeldLease;
    readonly operator: Pick<OperatorFeed, "configuration">;
    readonly leases: Pick<LeaseManager, "lastRecord">;
    /** Requests a lease renewal without waiting for the next periodic one. */
    readonly requestRenewal: () => void;
}

// Bounds the renewals besides the periodic ones, since demand changes all the time, and the work of dividing many caps.
const MIN_DIVISION_INTERVAL_MS = 200;

/** Goes on with the division of the former holder. */
export const createCapDivision = ({
    context,
    lease,
    operator,
    leases,
    requestRenewal,
}: CapDivisionOptions): CapDivision => {
    const inherited = lease.predecessor?.allowances;
    let division = inherited === undefined ? NO_ALLOWANCES : allowancesOf(inherited);
    let dividedAtMs = Number.NEGATIVE_INFINITY;

    // What a row says holds however old it is: a grant never expires, and a pool changes its row before it acts on more.
    const readPool = (pool: PoolName): DividedPool => {
        const record = leases.lastRecord({ kind: "pool", pool });
        if (record === undefined) {
            return { pool, use: "unread" };
        }
        return { pool, use: record.tenantUse === undefined ? "not-reported" : poolUseOf(record.tenantUse) };
    };
    const update = (): void => {
        const configuration = operator.configuration();
        const nowMs = context.monotonicMs();
        if (configuration === undefined || nowMs - dividedAtMs < MIN_DIVISION_INTERVAL_MS) {
            return;
        }
        dividedAtMs = nowMs;
        const caps = new Map(configuration.tenants.map(({ name, cap }) => [name, cap]));
        if (caps.size === 0 && division.entries.length === 0) {
            return;
        }
        const pools = configuration.pools.filter(({ spare }) => !spare).map(({ name }) => readPool(name));
        const before = division.revision;
        division = divideCaps(division, { caps, pools, token: lease.epoch });
        if (division.revision > before) {
            context.metrics.count("tenant_cap_divisions");
            requestRenewal();
        }
    };
    return {
        update,
        stored: () => (division.revision === 0 ? undefined : storedAllowances(division)),
    };
};
