import type { Configuration } from "@almondusher/jobs/configuration";
import type { TenantName } from "@almondusher/jobs/ids";
import type { DispatcherMetrics } from "../process/dispatcher-metrics.js";

/** Counts calls by tenant. */
export type TenantCallCounter = (configuration: Configuration, tenant: TenantName | undefined) => void;

// A counter for each tenant would have no bound. The rest share one.
const MAX_COUNTED_TENANTS = 10;

/**
 * Creates counters of the calls of the largest tenants by weight, and one of those of the others. A tenant that has a
 * counter keeps it, also if a later version has larger ones.
 */
export const createTenantCallCounter = (metrics: Pick<DispatcherMetrics, "count">): TenantCallCounter => {
    const counted = new Set<TenantName>();
    const mayAdd = ({ tenants }: Configuration, tenant: TenantName): boolean =>
        counted.size < MAX_COUNTED_TENANTS &&
        tenants
            .toSorted((left, right) => right.weight - left.weight)
            .slice(0, MAX_COUNTED_TENANTS)
            .some(({ name }) => name === tenant);
    return (configuration, tenant) => {
        if (tenant === undefined) {
            return;
        }
        if (!counted.has(tenant) && mayAdd(configuration, tenant)) {
            counted.add(tenant);
        }
        metrics.count(counted.has(tenant) ? `tenant_calls{tenant=${labelOf(tenant)}}` : "calls_of_other_tenants");
    };
};

// JSON escapes what the Prometheus text format escapes: backslashes, quotes and line ends.
const labelOf = (tenant: TenantName): string => JSON.stringify(tenant);
