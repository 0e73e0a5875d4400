import type { DeployedEntry, Deployment } from "./deployment.js";
import { type EntryDump, pollUntil } from "./operator-client.js";
import { readOperator } from "./read-operator.js";

/** Time within which every entry must adopt an accepted edit. */
const PROPAGATION_TIMEOUT_MS = 10_000;

/** Reads the revision that an entry uses; undefined if it does not respond. */
export const revisionOf = async (deployment: Deployment, entry: DeployedEntry): Promise<number | undefined> =>
    (await readOperator<EntryDump>(deployment, entry.operatorUrl, "/dump"))?.revision;

/** Waits until every given entry uses at least the revision; resolves with the elapsed milliseconds. */
export const waitForRevision = async (
    deployment: Deployment,
    revision: number,
    entries: readonly DeployedEntry[] = deployment.entries,
): Promise<number> => {
    const startedAt = performance.now();
    await pollUntil({
        what: `revision ${revision} to be adopted by ${entries.map(entry => entry.vmId).join(", ")}`,
        timeoutMs: PROPAGATION_TIMEOUT_MS,
        read: async () => {
            const revisions = await Promise.all(entries.map(entry => revisionOf(deployment, entry)));
            return revisions.every(known => known !== undefined && known >= revision) ? true : undefined;
        },
    });
    return performance.now() - startedAt;
};

/** Waits until any entry uses at least the revision and returns that entry. */
export const waitForFirstEntry = (deployment: Deployment, revision: number): Promise<DeployedEntry> =>
    pollUntil({
        what: `revision ${revision} to be adopted by any entry`,
        timeoutMs: PROPAGATION_TIMEOUT_MS,
        read: async () => {
            const revisions = await Promise.all(deployment.entries.map(entry => revisionOf(deployment, entry)));
            return deployment.entries.find((entry, index) => (revisions[index] ?? 0) >= revision);
        },
    });
