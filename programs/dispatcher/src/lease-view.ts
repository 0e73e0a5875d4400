import type { Row, TableStore } from "@almondusher/platform-adapter/table-store";
import { LEASE_TABLE, decodeLease, leaseRow, type LeaseRecord } from "./lease-rows.js";

/** A lease as it was read. */
export interface LeaseObservation {
    readonly version: number;
    readonly record: LeaseRecord | undefined;
    /** Time for which the row was seen unchanged, in milliseconds. */
    unchangedMs: number;
    readAtMs: number;
}

/** What a process has read of the leases. */
export interface LeaseView {
    /** Undefined for a lease that nobody has written. */
    readonly observation: (key: string) => LeaseObservation | undefined;
    /** Notes the current row of a lease, as a conflict shows it. */
    readonly observe: (rows: readonly Row[]) => void;
    readonly refresh: (keys: readonly string[]) => Promise<RefreshResult>;
}

/** What a reading of the leases told. */
type RefreshResult = "changed" | "unchanged" | "failed";

/** Options of a view. */
export interface LeaseViewOptions {
    readonly store: Pick<TableStore, "read" | "changes">;
    /** Steady clock in milliseconds. */
    readonly monotonicMs: () => number;
}

// Readings further apart prove nothing about the time between them.
const MAX_READ_GAP_MS = 1500;

/** Creates a view that knows nothing yet. */
export const createLeaseView = ({ store, monotonicMs }: LeaseViewOptions): LeaseView => {
    const observations = new Map<string, LeaseObservation>();
    /** Keys that were read by themselves, after which the changes of the table tell everything. */
    const known = new Set<string>();
    let after: number | undefined;

    const extendUnchangedTimes = (nowMs: number): void =>
        observations.forEach(observation => {
            const gapMs = nowMs - observation.readAtMs;
            observation.unchangedMs += gapMs <= MAX_READ_GAP_MS ? gapMs : 0;
            observation.readAtMs = nowMs;
        });
    const observe = (rows: readonly Row[]): void => {
        const readAtMs = monotonicMs();
        rows.filter(({ key, version }) => (observations.get(key)?.version ?? 0) < version).forEach(
            ({ key, version, value }) =>
                observations.set(key, { version, record: decodeLease(value), unchangedMs: 0, readAtMs }),
        );
    };
    const readKeys = async (keys: readonly string[]): Promise<boolean> => {
        const readings = await Promise.all(keys.map(key => store.read(rangeOf(key))));
        const read = readings.filter(reading => reading.kind === "rows");
        if (read.length < keys.length) {
            return false;
        }
        read.forEach(({ rows }) => observe(rows));
        after = Math.min(after ?? Infinity, ...read.map(({ version }) => version));
        keys.forEach(key => known.add(key));
        return true;
    };
    const readChanges = async (version: number): Promise<RefreshResult> => {
        const reading = await store.changes({ table: LEASE_TABLE, after: version, waitMs: 0 });
        switch (reading.kind) {
            case "rows":
                extendUnchangedTimes(monotonicMs());
                observe(reading.rows.filter(({ deleted }) => !deleted));
                after = reading.version;
                return reading.rows.length > 0 ? "changed" : "unchanged";
            case "history-lost":
                after = undefined;
                known.clear();
                return "failed";
            case "failed":
                return "failed";
        }
    };
    return {
        observation: key => observations.get(key),
        observe,
        refresh: async keys => {
            const unread = keys.filter(key => !known.has(key));
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
