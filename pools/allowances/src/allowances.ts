import type { PoolName } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";

/** What one pool may use of the cap of a tenant. */
export interface TenantAllowance {
    readonly tenant: TenantName;
    readonly pool: PoolName;
    /** What the tenant's runs on the pool may use. A grant never expires; it is only changed. */
    readonly granted: Resources;
    /** The most that the tenant's runs on the pool may use at present, by any grant that the pool may still go by. */
    readonly reserved: Resources;
    /** Revision of the division in which the grant was last changed. */
    readonly revision: number;
}

/** The division of all caps among the pools. */
export interface Allowances {
    /** Rises with each change. */
    readonly revision: number;
    readonly entries: readonly TenantAllowance[];
}

/** What a pool says of one tenant with a cap. */
export interface TenantUse {
    readonly tenant: TenantName;
    /** The larger one of the grant in force and what the tenant's runs use or may use. */
    readonly held: Resources;
    /** What the tenant could use on the pool now, including its runs. */
    readonly wanted: Resources;
    /** What has to be granted at once for the tenant's next task, or gang, to start; nothing if none waits. */
    readonly unit: Resources;
}

/** What a pool says of the tenants with caps. */
export interface PoolUse {
    /** Revision of the division that the pool goes by; it never goes by an earlier one again. */
    readonly acknowledged: number;
    readonly tenants: readonly TenantUse[];
}

/** A division that grants nothing. */
export const NO_ALLOWANCES: Allowances = { revision: 0, entries: [] };
