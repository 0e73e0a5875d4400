import type { Deployment } from "./deployment.js";
import type { EntryDump } from "./operator-client.js";
import { readOperator } from "./read-operator.js";

const SAMPLE_PERIOD_MS = 100;

/** Samples the state dumps of all processes and records every decrease of a revision. */
export interface RevisionWatch {
    /** Requires every ready entry to use at least this revision from now on. */
    requireRevision: (revision: number) => void;
    /** Stops sampling and returns the recorded faults. */
    stop: () => Promise<readonly string[]>;
    /** Number of dumps read so far. */
    samples: () => number;
}

interface WatchState {
    readonly highest: Map<string, number>;
    readonly faults: Set<string>;
    required: number;
    samples: number;
    stopped: boolean;
}

const recordDump = (state: WatchState, dump: EntryDump, requiredAtStart: number): void => {
    const known = state.highest.get(dump.processId) ?? 0;
    state.samples += 1;
    if (dump.revision < known) {
        state.faults.add(`${dump.processId} reverted from revision ${known} to ${dump.revision}`);
    }
    state.highest.set(dump.processId, Math.max(known, dump.revision));
    // Only entries report readiness. Managers are not checked, because a standby may keep the state from its last lease.
    const ready = (dump.sections as Partial<EntryDump["sections"]>).readiness?.ready;
    if (ready === true && dump.revision < requiredAtStart) {
        state.faults.add(
            `${dump.processId} is ready with revision ${dump.revision}; at least ${requiredAtStart} is required`,
        );
    }
};

const watchProcess = async (deployment: Deployment, url: string, state: WatchState): Promise<void> => {
    while (!state.stopped) {
        const requiredAtStart = state.required;
        const dump = await readOperator<EntryDump>(deployment, url, "/dump");
        if (dump !== undefined) {
            recordDump(state, dump, requiredAtStart);
        }
        await new Promise(resolve => setTimeout(resolve, SAMPLE_PERIOD_MS));
    }
};

/** Starts sampling the state dumps of all entries and managers. */
export const watchRevisions = (deployment: Deployment): RevisionWatch => {
    const state: WatchState = { highest: new Map(), faults: new Set(), required: 0, samples: 0, stopped: false };
    const urls = [...deployment.entries, ...deployment.managers].map(process => process.operatorUrl);
    const watches = urls.map(url => watchProcess(deployment, url, state));
    return {
        requireRevision: revision => {
            state.required = Math.max(state.required, revision);
        },
        stop: async () => {
            state.stopped = true;
            await Promise.all(watches);
            return [...state.faults];
        },
        samples: () => state.samples,
    };
};
