import type { Deployment } from "./deployment.js";
import type { EntryDump } from "./operator-client.js";
import { readOperator } from "./read-operator.js";

const SAMPLE_PERIOD_MS = 100;

/** Samples the dumps of all processes and keeps every step back of a revision. */
export interface RevisionWatch {
    /** From now on every ready entry must use at least this revision. */
    requireFrom: (revision: number) => void;
    /** Stops sampling and returns the faults found. */
    stop: () => Promise<readonly string[]>;
    samples: () => number;
}

interface WatchState {
    readonly highest: Map<string, number>;
    readonly faults: Set<string>;
    required: number;
    samples: number;
    stopped: boolean;
}

const checkDump = (state: WatchState, dump: EntryDump, requiredAtStart: number): void => {
    const known = state.highest.get(dump.processId) ?? 0;
    state.samples += 1;
    if (dump.revision < known) {
        state.faults.add(`${dump.processId} went back from revision ${known} to ${dump.revision}`);
    }
    state.highest.set(dump.processId, Math.max(known, dump.revision));
    // Managers have no readiness in their dump; a standby keeps the state of its last term.
    const ready = (dump.sections as Partial<EntryDump["sections"]>).readiness?.ready;
    if (ready === true && dump.revision < requiredAtStart) {
        state.faults.add(`${dump.processId} is ready with revision ${dump.revision}, below ${requiredAtStart}`);
    }
};

const watchProcess = async (deployment: Deployment, url: string, state: WatchState): Promise<void> => {
    while (!state.stopped) {
        const requiredAtStart = state.required;
        const dump = await readOperator<EntryDump>(deployment, url, "/dump");
        if (dump !== undefined) {
            checkDump(state, dump, requiredAtStart);
        }
        await new Promise(resolve => setTimeout(resolve, SAMPLE_PERIOD_MS));
    }
};

/** Starts to sample the dumps of all entries and managers. */
export const watchRevisions = (deployment: Deployment): RevisionWatch => {
    const state: WatchState = { highest: new Map(), faults: new Set(), required: 0, samples: 0, stopped: false };
    const urls = [...deployment.entries, ...deployment.managers].map(process => process.operatorUrl);
    const watches = urls.map(url => watchProcess(deployment, url, state));
    return {
        requireFrom: revision => {
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
