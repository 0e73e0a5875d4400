import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { candidateVm } from "./candidate-rows.js";
import type { CandidateView } from "./candidate-view.js";
import { LEASE_TABLE, decodeLease, leaseRow, type LeaseRecord } from "./lease-rows.js";

/** A lease as it was read. */
export interface LeaseObservation {
    readonly version: number;
    readonly record: LeaseRecord | undefined;
    /** How long the row was observed without a change, in milliseconds. */
    unchangedMs: number;
    /** Monotonic time of the last read that covered the row, in milliseconds. */
    readAtMs: number;
}

/** The leases as this process has read them. */
export interface LeaseView {
    /** Returns the last observation of a lease; undefined if its row was not found. */
    readonly observation: (key: string) => LeaseObservation | undefined;
    /** Records current rows of leases, such as those returned by a conflicting transaction. */
    readonly observe: (rows: readonly Row[]) => void;
    /** Reads leases that are new to the view, then the changes of all leases. */
    readonly refresh: (keys: readonly string[]) => Promise<RefreshResult>;
}

type RefreshResult = "changed" | "unchanged" | "failed";

export interface LeaseViewOptions {
    readonly store: Pick<TableStore, "read" | "changes">;
    /** Gets the changed rows of candidates, which are in the same table. */
    readonly candidates: Pick<CandidateView, "observe" | "invalidate">;
    /** Monotonic clock in milliseconds. */
    readonly monotonicMs: () => number;
}

// If two reads are further apart, the time between them does not count as unchanged: the holder may have been unable to
// renew because of a store outage.
const MAX_READ_GAP_MS = 1500;

export const createLeaseView = ({ store, candidates, monotonicMs }: LeaseViewOptions): LeaseView => {
    const observations = new Map<string, LeaseObservation>();
    /** Keys that were read individually; afterwards the change feed of the table delivers their changes. */
    const individuallyReadKeys = new Set<string>();
    let after: number | undefined;

    const extendUnchangedTimes = (nowMs: number): void =>
        observations.forEach(observation => {
            const gapMs = nowMs - observation.readAtMs;
            observation.unchangedMs += gapMs <= MAX_READ_GAP_MS ? gapMs : 0;
            observation.readAtMs = nowMs;
        });
    const observe = (rows: readonly Row[]): void => {
        const readAtMs = monotonicMs();
        rows.filter(({ key }) => candidateVm(key) === undefined)
            .filter(({ key, version }) => (observations.get(key)?.version ?? 0) < version)
            .forEach(({ key, version, value }) =>
                observations.set(key, { version, record: decodeLease(value), unchangedMs: 0, readAtMs }),
            );
    };
    const readKey = async (key: string): Promise<boolean> => {
        const reading = await store.read(rangeOf(key));
        if (reading.kind !== "rows") {
            return false;
        }
        observe(reading.rows);
        after = Math.min(after ?? Infinity, reading.version);
        individuallyReadKeys.add(key);
        return true;
    };
    // Keys that were read stay so if others could not be read: the changes since then follow.
    const readKeys = async (keys: readonly string[]): Promise<boolean> => {
        const successes = await Promise.all(keys.map(readKey));
        return successes.every(isSuccess => isSuccess);
    };
    const readChanges = async (version: number): Promise<RefreshResult> => {
        const reading = await store.changes({ table: LEASE_TABLE, after: version, waitMs: 0 });
        switch (reading.kind) {
            case "rows":
                // The changes that are missing in a truncated list may be renewals.
                if (!reading.truncated) {
                    extendUnchangedTimes(monotonicMs());
                }
                observe(reading.rows.filter(({ deleted }) => !deleted));
                candidates.observe(reading.rows);
                after = reading.version;
                return reading.rows.length > 0 ? "changed" : "unchanged";
            case "history-lost":
                after = undefined;
                individuallyReadKeys.clear();
                candidates.invalidate();
                return "failed";
            case "failed":
                return "failed";
        }
    };
    return {
        observation: key => observations.get(key),
        observe,
        refresh: async keys => {
            const unread = keys.filter(key => !individuallyReadKeys.has(key));
            if (unread.length > 0 && !(await readKeys(unread))) {
                return "failed";
            }
            const changes = after === undefined ? "failed" : await readChanges(after);
            return unread.length > 0 && changes === "unchanged" ? "changed" : changes;
        },
    };
};

const rangeOf = (key: string): { readonly table: string; readonly part: string } => {
    const { table, part } = leaseRow(key);
    return { table, part };
};
