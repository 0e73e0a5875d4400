import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { candidateVm } from "./candidate-rows.js";
import type { CandidateView } from "./candidate-view.js";
import { LEASE_TABLE, decodeLease, leaseRow, type LeaseRecord } from "./lease-rows.js";
import { waitAtMost } from "../store/wait-at-most.js";

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
    /** Returns the last observation of a lease; undefined if its row was not read or not found. */
    readonly observation: (key: string) => LeaseObservation | undefined;
    /** True if the row of a lease, or its absence, was read and all changes since then are followed. */
    readonly isFollowed: (key: string) => boolean;
    /** Records current rows of leases, such as those returned by a conflicting transaction. */
    readonly observe: (rows: readonly Row[]) => void;
    /**
     * Reads the changes of the leases whose rows were read, and begins to read the rows of the others. Fails if the changes
     * could not be read.
     */
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
// The store may leave reads of the part of one lease without an answer. A refresh that waited for it longer would, as above,
// keep the other leases from expiring.
const MAX_ROW_WAIT_MS = 300;

export const createLeaseView = ({ store, candidates, monotonicMs }: LeaseViewOptions): LeaseView => {
    const observations = new Map<string, LeaseObservation>();
    /** Reads of single rows that are under way, by the key of the lease. */
    const runningReads = new Map<string, Promise<void>>();
    /** Versions from which the changes of rows that were read are not followed yet, by the key of the lease. */
    const unfollowedSince = new Map<string, number>();
    /** Leases of which the feed of changes delivers all changes after the version `after`. */
    const followed = new Set<string>();
    let after: number | undefined;

    const extendUnchangedTimes = (nowMs: number): void =>
        observations.forEach((observation, key) => {
            if (followed.has(key)) {
                const gapMs = nowMs - observation.readAtMs;
                observation.unchangedMs += gapMs <= MAX_READ_GAP_MS ? gapMs : 0;
                observation.readAtMs = nowMs;
            }
        });
    const observe = (rows: readonly Row[]): void => {
        const readAtMs = monotonicMs();
        rows.filter(({ key }) => candidateVm(key) === undefined)
            .filter(({ key, version }) => (observations.get(key)?.version ?? 0) < version)
            .forEach(({ key, version, value }) =>
                observations.set(key, { version, record: decodeLease(value), unchangedMs: 0, readAtMs }),
            );
    };
    const readRow = async (key: string): Promise<void> => {
        const reading = await store.read(rangeOf(key));
        if (reading.kind === "rows") {
            observe(reading.rows);
            unfollowedSince.set(key, reading.version);
        }
    };
    const startRead = (key: string): Promise<void> => {
        const running = readRow(key).finally(() => runningReads.delete(key));
        runningReads.set(key, running);
        return running;
    };
    const readUnread = async (keys: readonly string[]): Promise<void> => {
        const unread = keys.filter(key => !followed.has(key) && !unfollowedSince.has(key) && !runningReads.has(key));
        if (unread.length > 0) {
            await waitAtMost(Promise.all(unread.map(startRead)), MAX_ROW_WAIT_MS);
        }
    };
    // Not while changes are being read, since these are of a time after a later version.
    const followReadRows = (): boolean => {
        if (unfollowedSince.size === 0) {
            return false;
        }
        after = Math.min(after ?? Infinity, ...unfollowedSince.values());
        [...unfollowedSince.keys()].forEach(key => followed.add(key));
        unfollowedSince.clear();
        return true;
    };
    const readChanges = async (version: number): Promise<RefreshResult> => {
        const reading = await store.changes({ table: LEASE_TABLE, after: version, waitMs: 0 });
        switch (reading.kind) {
            case "rows": {
                const present = reading.rows.filter(({ deleted }) => !deleted);
                // The changes that are missing in a truncated list may be renewals.
                if (!reading.truncated) {
                    extendUnchangedTimes(monotonicMs());
                }
                observe(present);
                present.forEach(({ key }) => followed.add(key));
                candidates.observe(reading.rows);
                after = reading.version;
                return reading.rows.length > 0 ? "changed" : "unchanged";
            }
            case "history-lost":
                after = undefined;
                followed.clear();
                unfollowedSince.clear();
                candidates.invalidate();
                return "failed";
            case "failed":
                return "failed";
        }
    };
    return {
        observation: key => observations.get(key),
        observe,
        isFollowed: key => followed.has(key),
        refresh: async keys => {
            await readUnread(keys);
            const isAnyNew = followReadRows();
            const changes = after === undefined ? "failed" : await readChanges(after);
            return isAnyNew && changes === "unchanged" ? "changed" : changes;
        },
    };
};

const rangeOf = (key: string): { readonly table: string; readonly part: string } => {
    const { table, part } = leaseRow(key);
    return { table, part };
};
