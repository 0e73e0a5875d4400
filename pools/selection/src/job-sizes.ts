/** Size of a job among the recent ones of its kind: the largest tenth, the fifth below it, and the rest. */
export type SizeClass = "largest" | "large" | "usual";

/** Work of the most recent jobs by kind, the oldest first. */
export type JobSizes = Map<string, KindSizes>;

interface KindSizes {
    readonly served: Record<SizeClass, ServedJobs>;
    readonly recent: number[];
    /** `recent` in ascending order; undefined after a change. */
    sorted: readonly number[] | undefined;
}

/** Numbers of recent jobs, in which older ones count less. */
interface ServedJobs {
    all: number;
    inTime: number;
}

// Enough to tell the largest tenth, and few enough to follow a change of the demand.
const MAX_RECENT = 200;
const LARGEST_FROM = 0.9;
const LARGE_FROM = 0.7;
// Large jobs have to be served at least half as often as all of their kind; the rest is for errors of the estimates.
const MIN_SERVED_SHARE = 0.85;
// Weight of the earlier jobs of a size when one is added: some dozens count.
const MEMORY = 0.97;
// A part of a job's worth does not depend on its work, and a job far above the mean is worth no more than one of this size.
const FIXED_WORTH = 0.3;
const MAX_RELATIVE_WORK = 4;

/** Records the work of a job that has arrived. */
export const recordSize = (sizes: JobSizes, kind: string, work: number): void => {
    const known = knownOf(sizes, kind);
    known.recent.push(work);
    known.recent.splice(0, known.recent.length - MAX_RECENT);
    known.sorted = undefined;
};

/** The size of a job among the recorded ones of its kind. */
export const sizeClassOf = (sizes: JobSizes, kind: string, work: number): SizeClass => {
    const sorted = sortedOf(sizes.get(kind));
    const isAbove = (share: number): boolean => work > (sorted[Math.floor(sorted.length * share)] ?? Infinity);
    if (isAbove(LARGEST_FROM)) {
        return "largest";
    }
    return isAbove(LARGE_FROM) ? "large" : "usual";
};

/** What a job is worth for its work, relative to one of the mean size of its kind. */
export const densityOf = (sizes: JobSizes, kind: string, work: number): number => {
    const recent = sizes.get(kind)?.recent ?? [];
    const mean = recent.reduce((sum, size) => sum + size, 0) / recent.length;
    const relative = mean > 0 && work > 0 ? work / mean : 1;
    return (FIXED_WORTH + (1 - FIXED_WORTH) * Math.min(relative, MAX_RELATIVE_WORK)) / relative;
};

/** Records whether a job was begun in time. */
export const recordServed = (sizes: JobSizes, kind: string, sizeClass: SizeClass, isInTime: boolean): void => {
    const served = knownOf(sizes, kind).served[sizeClass];
    served.all = served.all * MEMORY + 1;
    served.inTime = served.inTime * MEMORY + Number(isInTime);
};

/** True if jobs of the size are served clearly less often than all of their kind. */
export const isNeglected = (sizes: JobSizes, kind: string, sizeClass: SizeClass): boolean => {
    const { served } = knownOf(sizes, kind);
    const total = Object.values(served).reduce((sum, { all, inTime }) => ({
        all: sum.all + all,
        inTime: sum.inTime + inTime,
    }));
    return served[sizeClass].inTime * total.all < MIN_SERVED_SHARE * total.inTime * served[sizeClass].all;
};

const knownOf = (sizes: JobSizes, kind: string): KindSizes => {
    const known = sizes.get(kind) ?? {
        served: { largest: { all: 0, inTime: 0 }, large: { all: 0, inTime: 0 }, usual: { all: 0, inTime: 0 } },
        recent: [],
        sorted: undefined,
    };
    sizes.set(kind, known);
    return known;
};

const sortedOf = (known: KindSizes | undefined): readonly number[] => {
    if (known === undefined) {
        return [];
    }
    known.sorted ??= known.recent.toSorted((left, right) => left - right);
    return known.sorted;
};
