import type { AppliedEnd } from "@almondusher/scheduler/apply-report";
import type { Executor, OpenJob, PoolTables } from "@almondusher/scheduler/pool-tables";

/** Run ends that an executor may discard once the jobs that they have changed are stored. */
export interface UnstoredEnds {
    readonly executor: Executor;
    readonly incarnation: number;
    /** Highest number of the ends. */
    readonly lastEnd: number;
    /** The changed jobs that are not stored yet. */
    readonly jobs: Set<OpenJob>;
}

/** Knows which jobs the run ends of each executor have changed since they were last stored. */
export interface UnstoredEndTracker {
    readonly add: (executor: Executor, ends: readonly AppliedEnd[]) => void;
    /** Returns the ends of all executors, and removes them, so that ends that are added later are kept apart. */
    readonly takeAll: () => readonly UnstoredEnds[];
    /** Adds ends again whose jobs could not all be stored. */
    readonly putBack: (ends: UnstoredEnds) => void;
}

export const createUnstoredEndTracker = (tables: PoolTables): UnstoredEndTracker => {
    const jobsByExecutor = new WeakMap<Executor, Set<OpenJob>>();
    const jobsOf = (executor: Executor): Set<OpenJob> => {
        const known = jobsByExecutor.get(executor) ?? new Set<OpenJob>();
        jobsByExecutor.set(executor, known);
        return known;
    };
    // A job that is not open has been stored in a final state.
    const isUnstored = (job: OpenJob): boolean => job.dirty && tables.jobs.get(job.id) === job;
    const take = (executor: Executor): UnstoredEnds => {
        const jobs = new Set([...jobsOf(executor)].filter(isUnstored));
        jobsByExecutor.delete(executor);
        return { executor, incarnation: executor.incarnation, lastEnd: executor.lastAppliedEnd, jobs };
    };
    return {
        add: (executor, ends) => {
            const jobs = jobsOf(executor);
            ends.forEach(({ task }) => task !== undefined && jobs.add(task.step.job));
        },
        takeAll: () =>
            [...tables.executors.values()]
                .filter(({ lastStoredEnd, lastAppliedEnd }) => lastStoredEnd < lastAppliedEnd)
                .map(take),
        putBack: ({ executor, jobs }) => {
            const known = jobsOf(executor);
            jobs.forEach(job => known.add(job));
        },
    };
};
