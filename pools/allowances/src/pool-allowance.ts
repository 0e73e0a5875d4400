import type { PoolName } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import type { Allowances, PoolUse, TenantUse } from "./allowances.js";
import { largerOf, NOTHING } from "./amounts.js";

/** What a pool goes by. */
export interface PoolAllowance {
    /** Revision of the division that the pool, or its former holder, goes by. */
    readonly revision: number;
    /** Undefined until a division was read that is at least as late as the one that the former holder has acknowledged. */
    readonly granted: ReadonlyMap<TenantName, Resources> | undefined;
    /** What the former holder said; undefined once all runs that it may have started are known. */
    readonly inherited: PoolUse | undefined;
}

const NOTHING_REPORTED: PoolUse = { acknowledged: 0, tenants: [] };

/** What a holder of a pool's lease begins with, after the last report of the former one. */
export const inheritAllowance = (reported: PoolUse | undefined): PoolAllowance => ({
    revision: reported?.acknowledged ?? 0,
    granted: undefined,
    inherited: reported ?? NOTHING_REPORTED,
});

/** Records that all runs that former holders may have started are known. */
export const withRunsKnown = (allowance: PoolAllowance): PoolAllowance =>
    allowance.inherited === undefined ? allowance : { ...allowance, inherited: undefined };

/** Takes over a division that was read, unless it is older than the one that the pool goes by. */
export const withDivision = (allowance: PoolAllowance, pool: PoolName, division: Allowances): PoolAllowance =>
    division.revision < allowance.revision ||
    (division.revision === allowance.revision && allowance.granted !== undefined)
        ? allowance
        : {
              ...allowance,
              revision: division.revision,
              granted: new Map(
                  division.entries.filter(entry => entry.pool === pool).map(({ tenant, granted }) => [tenant, granted]),
              ),
          };

/** What the runs of a tenant may use on the pool; nothing while runs of former holders may be unknown. */
export const grantOf = ({ granted, inherited }: PoolAllowance, tenant: TenantName): Resources =>
    inherited === undefined ? (granted?.get(tenant) ?? NOTHING) : NOTHING;

/** What the runs of a tenant use and what it wants. */
export interface MeasuredUse extends Omit<TenantUse, "held"> {
    /** What its runs use, with all that may still run or start by what was sent. */
    readonly used: Resources;
}

/**
 * What the pool has to say. While runs of the former holder may be unknown, that is what the former holder said: it may
 * have gone by a later division that it has not acknowledged, which stays reserved.
 */
export const reportUse = (allowance: PoolAllowance, measured: readonly MeasuredUse[]): PoolUse =>
    allowance.inherited ?? {
        acknowledged: allowance.revision,
        tenants: measured.map(({ used, ...use }) => ({ ...use, held: largerOf(used, grantOf(allowance, use.tenant)) })),
    };
