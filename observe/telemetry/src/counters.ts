import type { PoolName, RouteName, VmId } from "@almondusher/fleet/ids";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";

/** What a counter counts; counters with equal labels are the same counter. */
export interface CounterLabels {
    /** Kebab-case name, for example `requests` or `failures`. */
    readonly name: string;
    readonly route?: RouteName | undefined;
    readonly pool?: PoolName | undefined;
    readonly vm?: VmId | undefined;
    readonly cause?: Cause | undefined;
    readonly verdict?: Verdict | undefined;
    /** `older` collects the revisions that no longer have counters of their own. */
    readonly revision?: number | "older" | undefined;
}

/** A counter as it is listed. */
export interface CounterRow extends CounterLabels {
    readonly value: number;
}

/** Direct access to one counter; stays valid when the revision of the counter is folded. */
export interface CounterHandle {
    value: number;
}

/** Bounds of the number of counters. */
export interface CounterOptions {
    /** Revisions with counters of their own; older ones are folded into one. */
    readonly maxRevisions?: number;
    /** Counters in total; labels seen after that are counted by name and cause only. */
    readonly maxRows?: number;
}

interface Cell {
    readonly labels: CounterLabels;
    total: number;
    /** The counter that took over the total of this one. */
    successor: Cell | undefined;
}

/** All counters of a process. */
export interface Counters {
    readonly cells: Map<string, Cell>;
    readonly revisions: Set<number>;
    readonly maxRevisions: number;
    readonly maxRows: number;
}

// At 830 edits a day this covers the last 25 minutes on average, far longer than the 10 s of propagation.
const DEFAULT_MAX_REVISIONS = 16;
// About 300 bytes each, 6 MB of the 256 MB that a daemon may use.
const DEFAULT_MAX_ROWS = 20_000;

/** Creates an empty set of counters. */
export const createCounters = (options: CounterOptions = {}): Counters => ({
    cells: new Map(),
    revisions: new Set(),
    maxRevisions: options.maxRevisions ?? DEFAULT_MAX_REVISIONS,
    maxRows: options.maxRows ?? DEFAULT_MAX_ROWS,
});

/** Adds to a counter; creates it at first use. */
export const count = (counters: Counters, labels: CounterLabels, by = 1): void => {
    findCell(counters, labels).total += by;
};

/** The counter with these labels; callers on the hot path keep the handle and increment `value`. */
export const counterHandle = (counters: Counters, labels: CounterLabels): CounterHandle =>
    new CellHandle(findCell(counters, labels));

/** All counters with their values, sorted by labels. */
export const listCounters = (counters: Counters): readonly CounterRow[] =>
    [...counters.cells.entries()]
        .sort(([left], [right]) => (left < right ? -1 : 1))
        .map(([, cell]) => ({ ...cell.labels, value: cell.total }));

const keyOf = (labels: CounterLabels): string =>
    `${labels.name}|${labels.route ?? ""}|${labels.pool ?? ""}|${labels.vm ?? ""}|${labels.cause ?? ""}|${labels.verdict ?? ""}|${labels.revision ?? ""}`;

const findCell = (counters: Counters, labels: CounterLabels): Cell =>
    counters.cells.get(keyOf(labels)) ?? addCell(counters, labels);

// A class, since accessors on a prototype are several times faster than accessors of each object.
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

const addCell = (counters: Counters, wanted: CounterLabels): Cell => {
    const labels = limitRevisions(counters, wanted);
    const bounded = counters.cells.size < counters.maxRows ? { ...labels } : { name: labels.name, cause: labels.cause };
    const key = keyOf(bounded);
    const existing = counters.cells.get(key);
    if (existing !== undefined) {
        return existing;
    }
    const cell: Cell = { labels: bounded, total: 0, successor: undefined };
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
        mergeRevision(counters, oldest);
    }
    return labels;
};

const mergeRevision = (counters: Counters, revision: number): void => {
    const folded = [...counters.cells.entries()].filter(([, cell]) => cell.labels.revision === revision);
    folded.forEach(([key, cell]) => {
        counters.cells.delete(key);
        const successor = findCell(counters, { ...cell.labels, revision: "older" });
        successor.total += cell.total;
        cell.successor = successor;
    });
};
