import { request } from "undici";
import type { Deployment } from "./deployment.js";
import type { EntryDump } from "./operator-client.js";

// The kernel accepts connections for a paused process, which then does not respond.
const READ_TIMEOUT_MS = 1000;

/** Fields of the /status response that the tests read. */
export interface ProcessStatus {
    readonly processId: string;
    readonly revision: number;
    readonly ready: boolean;
    readonly reason?: string;
    readonly leading?: boolean;
    readonly drains: readonly {
        readonly vm: string;
        readonly pool: string;
        readonly waitingFor: readonly string[];
    }[];
}

/** Reads a path of an operator port; undefined if the process does not respond. */
export const readOperator = async <Body>(
    deployment: Deployment,
    operatorUrl: string,
    path: "/dump" | "/status",
): Promise<Body | undefined> => {
    try {
        const response = await request(`${operatorUrl}${path}`, {
            headers: { authorization: `Bearer ${deployment.operatorSecret}` },
            signal: AbortSignal.timeout(READ_TIMEOUT_MS),
        });
        return (await response.body.json()) as Body;
    } catch {
        return undefined;
    }
};

/** Reads the state dumps of all entries that respond. */
export const readEntryDumps = async (deployment: Deployment): Promise<readonly EntryDump[]> => {
    const dumps = await Promise.all(
        deployment.entries.map(entry => readOperator<EntryDump>(deployment, entry.operatorUrl, "/dump")),
    );
    return dumps.filter(dump => dump !== undefined);
};

/** Counters of failed attempts by cause and VM, of all entries that respond. */
export const readFailedAttempts = async (deployment: Deployment): Promise<readonly object[]> => {
    const dumps = await readEntryDumps(deployment);
    return dumps.flatMap(({ processId, sections }) =>
        sections.counters.filter(({ name }) => name === "failed-attempts").map(row => ({ processId, ...row })),
    );
};

/** Reads the status of all managers that respond, with their index in the deployment. */
export const readManagers = async (
    deployment: Deployment,
): Promise<readonly { readonly index: number; readonly status: ProcessStatus }[]> => {
    const statuses = await Promise.all(
        deployment.managers.map(manager => readOperator<ProcessStatus>(deployment, manager.operatorUrl, "/status")),
    );
    return statuses.flatMap((status, index) => (status === undefined ? [] : [{ index, status }]));
};
