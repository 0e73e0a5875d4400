import { requiresKeys, type Configuration, type Queue } from "@almondusher/jobs/configuration";
import type { KeyDigest, TenantName } from "@almondusher/jobs/ids";

/** Who sends a call, or why it is rejected before anything is read or stored. */
export type Caller =
    | { readonly kind: "identified"; readonly tenant: TenantName | undefined }
    | { readonly kind: "rejected"; readonly cause: "no-key" | "unknown-key" };

type TenantsByKey = ReadonlyMap<KeyDigest, TenantName>;

// Built once for each configuration. A version that is no longer in use is removed with its table.
const tables = new WeakMap<Configuration, TenantsByKey>();

/**
 * Identifies the tenant of a call by the digest of its key. Calls of public queues, and all calls under a configuration
 * without tenants, are accepted without a valid key. A key of several tenants is that of the first one, so that all
 * processes decide alike.
 */
export const identifyCaller = (
    configuration: Configuration,
    queue: Pick<Queue, "isPublic">,
    key: KeyDigest | undefined,
): Caller => {
    if (!requiresKeys(configuration)) {
        return { kind: "identified", tenant: undefined };
    }
    const tenant = key === undefined ? undefined : tenantsByKey(configuration).get(key);
    if (tenant !== undefined || queue.isPublic) {
        return { kind: "identified", tenant };
    }
    return { kind: "rejected", cause: key === undefined ? "no-key" : "unknown-key" };
};

const tenantsByKey = (configuration: Configuration): TenantsByKey => {
    const known = tables.get(configuration);
    if (known !== undefined) {
        return known;
    }
    // Of equal keys the last entry stays in a map, so the first tenant comes last.
    const built = new Map(
        configuration.tenants.toReversed().flatMap(({ name, keys }) => keys.map(key => [key, name] as const)),
    );
    tables.set(configuration, built);
    return built;
};
