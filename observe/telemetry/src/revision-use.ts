import type { EditRecord } from "@almondusher/fleet/edit";
import type { ProcessId } from "@almondusher/fleet/ids";

/** When a process started to use a revision. */
export interface RevisionUseRow {
    readonly process: ProcessId;
    readonly revision: number;
    /** Wall clock in milliseconds. */
    readonly sinceMs: number;
}

/** When processes started to use revisions; above `maxRows`, the oldest row is removed. */
export interface RevisionUseLog {
    /** Oldest first. */
    readonly rows: RevisionUseRow[];
    readonly maxRows: number;
}

// Holds the 830 edits of a day and takes about 100 KB.
const DEFAULT_MAX_ROWS = 1_000;

export const createRevisionUseLog = (maxRows = DEFAULT_MAX_ROWS): RevisionUseLog => ({ rows: [], maxRows });

/** Records that a process started to use a revision; a revision that is not above its latest one is ignored. */
export const recordRevisionUse = (use: RevisionUseLog, row: RevisionUseRow): void => {
    const latest = use.rows.findLast(item => item.process === row.process);
    if (latest !== undefined && latest.revision >= row.revision) {
        return;
    }
    use.rows.push({ ...row });
    if (use.rows.length > use.maxRows) {
        use.rows.shift();
    }
};

/** Returns all rows, oldest first. */
export const listRevisionUse = (use: RevisionUseLog): readonly RevisionUseRow[] => [...use.rows];

/** Returns when each process started to use the given revision or a later one, earliest first. */
export const firstUses = (rows: readonly RevisionUseRow[], revision: number): readonly RevisionUseRow[] => {
    const first = new Map<ProcessId, RevisionUseRow>();
    rows.filter(row => row.revision >= revision).forEach(row => {
        const known = first.get(row.process);
        if (known === undefined || row.sinceMs < known.sinceMs) {
            first.set(row.process, row);
        }
    });
    return [...first.values()].sort((left, right) => left.sinceMs - right.sinceMs);
};

/**
 * Returns when the first process started to use an edit, wall clock in milliseconds. Only processes that used an earlier
 * revision before are considered, since a process started later would give a later time. Without one, the time of the
 * edit record is returned, which is by the author's clock.
 */
export const adoptionTime = (edit: EditRecord, rows: readonly RevisionUseRow[]): number => {
    const earlierProcesses = new Set(rows.filter(row => row.revision < edit.revision).map(row => row.process));
    const first = firstUses(rows, edit.revision).find(row => earlierProcesses.has(row.process));
    return first?.sinceMs ?? Date.parse(edit.at);
};
