import type { JobSizes, SizeClass } from "@almondusher/selection/job-sizes";
import type { JobId } from "@almondusher/jobs/ids";

/** The last selection of the jobs that are to be in time, and what the next one starts from. */
export interface SelectionState {
    /** Earliest time of the next selection, in milliseconds of the monotonic clock. */
    nextAtMs: number;
    /** Undefined while the pool has room for all jobs that are not late. */
    overload: Overload | undefined;
    /** A job that waited for very long and is served although it is late. */
    overdue: JobId | undefined;
    readonly sizes: JobSizes;
    /** Sizes of the jobs when they were first seen. */
    readonly classes: WeakMap<object, SizeClass>;
    /** Jobs for which it was recorded whether they were begun in time. */
    readonly served: WeakSet<object>;
}

/**
 * The selection while the pool has not enough room. Jobs that are in neither set are not started: they would take room that
 * selected jobs need, or arrived after the selection.
 */
export interface Overload {
    readonly selected: ReadonlySet<JobId>;
    /** Late jobs for which there is room besides the selected ones. */
    readonly deferred: ReadonlySet<JobId>;
}

/** The state before the first selection. */
export const initialSelectionState = (): SelectionState => ({
    nextAtMs: Number.NEGATIVE_INFINITY,
    overload: undefined,
    overdue: undefined,
    sizes: new Map(),
    classes: new WeakMap(),
    served: new WeakSet(),
});
