import type { EditRecord } from "@almondusher/fleet/edit";
import type { ProcessId } from "@almondusher/fleet/ids";

/** From when on a process used a revision. */
export interface RevisionUseRow {
    readonly process: ProcessId;
    readonly revision: number;
    /** Wall clock in milliseconds. */
    readonly sinceMs: number;
}

/** The last revisions that were used, by process. */
export interface RevisionUse {
    readonly rows: RevisionUseRow[];
    readonly maxRows: number;
}

// A day of 830 edits; 100 KB.
const DEFAULT_MAX_ROWS = 1_000;

/** Creates an empty table. */
export const createRevisionUse = (maxRows = DEFAULT_MAX_ROWS): RevisionUse => ({ rows: [], maxRows });

/** Notes that a process uses a revision from now on; repeated and lower revisions are ignored. */
export const noteRevisionUse = (use: RevisionUse, row: RevisionUseRow): void => {
    const latest = use.rows.findLast(item => item.process === row.process);
    if (latest !== undefined && latest.revision >= row.revision) {
        return;
    }
    use.rows.push({ ...row });
    if (use.rows.length > use.maxRows) {
        use.rows.shift();
    }
};

/** All rows, oldest first. */
export const listRevisionUse = (use: RevisionUse): readonly RevisionUseRow[] => [...use.rows];

/** When each process began to use a revision at or above the given one. */
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
 * When the first process adopted an edit, wall clock in milliseconds.
 * The record holds the author's clock; a process that used an earlier revision before gives the exact time.
 */
export const adoptionTime = (edit: EditRecord, rows: readonly RevisionUseRow[]): number => {
    const running = new Set(rows.filter(row => row.revision < edit.revision).map(row => row.process));
    const first = firstUses(rows, edit.revision).find(row => running.has(row.process));
    return first?.sinceMs ?? Date.parse(edit.at);
};
