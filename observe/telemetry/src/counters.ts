import type { PoolName, RouteName, VmId } from "@almondusher/fleet/ids";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";

/** Name and labels that identify a counter. */
export interface CounterLabels {
    /** Kebab-case name, for example `requests` or `failures`. */
    readonly name: string;
    readonly route?: RouteName | undefined;
    readonly pool?: PoolName | undefined;
    readonly vm?: VmId | undefined;
    readonly cause?: Cause | undefined;
    readonly verdict?: Verdict | undefined;
    /** `older` stands for all revisions that no longer have counters of their own. */
    readonly revision?: number | "older" | undefined;
}

export interface CounterRow extends CounterLabels {
    readonly value: number;
}

/** Direct access to one counter; stays valid when the counter is merged into that of the older revisions. */
export interface CounterHandle {
    value: number;
}

/** Limits of the number of counters. */
export interface CounterOptions {
    /** Number of revisions with counters of their own; the counters of older ones are merged. */
    readonly maxRevisions?: number;
    /** Total number of counters; above it, new labels are counted by name and cause only. */
    readonly maxRows?: number;
}

interface Cell {
    readonly labels: CounterLabels;
    total: number;
    /** The counter into which this one was merged. */
    successor: Cell | undefined;
}

/** All counters of a process. */
export interface Counters {
    readonly cells: Map<string, Cell>;
    readonly revisions: Set<number>;
    readonly maxRevisions: number;
    readonly maxRows: number;
}

// At 830 edits a day, 16 revisions cover 25 minutes on average, far more than the 10 s in which an edit propagates.
const DEFAULT_MAX_REVISIONS = 16;
// At about 300 bytes each, 6 MB of the 256 MB that a process may use.
const DEFAULT_MAX_ROWS = 20_000;

export const createCounters = (options: CounterOptions = {}): Counters => ({
    cells: new Map(),
    revisions: new Set(),
    maxRevisions: options.maxRevisions ?? DEFAULT_MAX_REVISIONS,
    maxRows: options.maxRows ?? DEFAULT_MAX_ROWS,
});

/** Increments a counter and creates it on first use. */
export const count = (counters: Counters, labels: CounterLabels, by = 1): void => {
    getOrAddCell(counters, labels).total += by;
};

/** Returns a handle of the counter with these labels. Callers on the hot path keep it and increment `value`. */
export const counterHandle = (counters: Counters, labels: CounterLabels): CounterHandle =>
    new CellHandle(getOrAddCell(counters, labels));

/** Returns all counters with their values, sorted by name and labels. */
export const listCounters = (counters: Counters): readonly CounterRow[] =>
    [...counters.cells.entries()]
        .sort(([left], [right]) => (left < right ? -1 : 1))
        .map(([, cell]) => ({ ...cell.labels, value: cell.total }));

const keyOf = (labels: CounterLabels): string =>
    `${labels.name}|${labels.route ?? ""}|${labels.pool ?? ""}|${labels.vm ?? ""}|${labels.cause ?? ""}|${labels.verdict ?? ""}|${labels.revision ?? ""}`;

const getOrAddCell = (counters: Counters, labels: CounterLabels): Cell =>
    counters.cells.get(keyOf(labels)) ?? addCell(counters, labels);

// This is a class because accessors on a prototype are several times faster than accessors on each object.
class CellHandle implements CounterHandle {
    private readonly cell: Cell;

    constructor(cell: Cell) {
        this.cell = cell;
    }

    get value(): number {
        return (this.cell.successor ?? this.cell).total;
    }

    set value(value: number) {
        (this.cell.successor ?? this.cell).total = value;
    }
}

const addCell = (counters: Counters, requested: CounterLabels): Cell => {
    const labels = limitRevisions(counters, requested);
    const limited = counters.cells.size < counters.maxRows ? { ...labels } : { name: labels.name, cause: labels.cause };
    const key = keyOf(limited);
    const existing = counters.cells.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const cell: Cell = { labels: limited, total: 0, successor: undefined };
    counters.cells.set(key, cell);
    return cell;
};

const limitRevisions = (counters: Counters, labels: CounterLabels): CounterLabels => {
    const { revision } = labels;
    if (typeof revision !== "number" || counters.revisions.has(revision)) {
        return labels;
    }
    const oldest = Math.min(...counters.revisions);
    if (counters.revisions.size >= counters.maxRevisions && revision < oldest) {
        return { ...labels, revision: "older" };
    }
    counters.revisions.add(revision);
    if (counters.revisions.size > counters.maxRevisions) {
        counters.revisions.delete(oldest);
        mergeIntoOlderRevisions(counters, oldest);
    }
    return labels;
};

const mergeIntoOlderRevisions = (counters: Counters, revision: number): void => {
    const merged = [...counters.cells.entries()].filter(([, cell]) => cell.labels.revision === revision);
    merged.forEach(([key, cell]) => {
        counters.cells.delete(key);
        const successor = getOrAddCell(counters, { ...cell.labels, revision: "older" });
        successor.total += cell.total;
        cell.successor = successor;
    });
};
