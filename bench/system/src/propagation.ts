import type { DeployedEntry, Deployment } from "./deployment.js";
import { type EntryDump, pollUntil } from "./operator-client.js";
import { readOperator } from "./read-operator.js";

/** Time within which an accepted edit must be in force everywhere. */
const PROPAGATION_LIMIT_MS = 10_000;

/** Revision that an entry uses; undefined if it does not answer. */
export const revisionOf = async (deployment: Deployment, entry: DeployedEntry): Promise<number | undefined> =>
    (await readOperator<EntryDump>(deployment, entry.operatorUrl, "/dump"))?.revision;

/** Waits until every given entry uses at least the revision; resolves with the time that took. */
export const waitInForce = async (
    deployment: Deployment,
    revision: number,
    entries: readonly DeployedEntry[] = deployment.entries,
): Promise<number> => {
    const startedAt = performance.now();
    await pollUntil({
        what: `revision ${revision} in force in ${entries.map(entry => entry.vmId).join(", ")}`,
        timeoutMs: PROPAGATION_LIMIT_MS,
        read: async () => {
            const revisions = await Promise.all(entries.map(entry => revisionOf(deployment, entry)));
            return revisions.every(known => known !== undefined && known >= revision) ? true : undefined;
        },
    });
    return performance.now() - startedAt;
};

/** Waits until one of the entries uses the revision. */
export const waitForFirst = (deployment: Deployment, revision: number): Promise<DeployedEntry> =>
    pollUntil({
        what: `revision ${revision} in some entry`,
        timeoutMs: PROPAGATION_LIMIT_MS,
        read: async () => {
            const revisions = await Promise.all(deployment.entries.map(entry => revisionOf(deployment, entry)));
            return deployment.entries.find((entry, index) => (revisions[index] ?? 0) >= revision);
        },
    });
