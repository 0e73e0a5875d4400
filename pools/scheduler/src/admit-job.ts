import type { Job } from "@almondusher/jobs/job";
import { isFinal, type Progress, type StepProgress, type TaskFailures } from "@almondusher/jobs/progress";
import type { JobId } from "@almondusher/jobs/ids";
import { completeIfDone, failIfExhausted } from "./apply-report.js";
import { markStarted } from "./job-progress.js";
import { withSharedTerms } from "./job-terms.js";
import {
    addOccurrence,
    closeCompletedOccurrences,
    mayBeOpened,
    mergeCompletedOccurrences,
    openDueOccurrences,
} from "./open-occurrences.js";
import { markTasksDone, openTask } from "./open-tasks.js";
import { stepsOf, type OpenJob, type PoolTables, type Task } from "./pool-tables.js";

// Entries take about 100 bytes each. The limit is far above the number of jobs that finish during one read of the rows, which
// may last for minutes if the store answers only some of the calls.
const MAX_FINISHED_JOBS = 20_000;

/** A job as it was read from the store. */
export interface AdmittedJob {
    readonly job: Job;
    readonly progress: Progress;
    readonly progressVersion: number;
    /** When the job was accepted, in milliseconds of the monotonic clock. */
    readonly arrivedAtMs: number;
    /** When the job was read from the store, in milliseconds of the monotonic clock. */
    readonly readAtMs: number;
    /** The job was accepted before the current pool lease was taken. */
    readonly inherited: boolean;
}

/** Adds a job to the tables unless it is finished or already known. */
export const admitJob = (tables: PoolTables, admitted: AdmittedJob, wallMs: number): void => {
    const { job, progress } = admitted;
    if (tables.jobs.has(job.id) || tables.finished.has(job.id) || isFinal(progress)) {
        return;
    }
    const open: OpenJob = {
        job: withSharedTerms(tables, job),
        id: job.id,
        queue: job.queue,
        arrivedAtMs: admitted.arrivedAtMs,
        readAtMs: admitted.readAtMs,
        occurrences: new Map(),
        completedOccurrences: [],
        nextOccurrence: 0,
        state: progress.state,
        inherited: admitted.inherited,
        dirty: false,
        progressVersion: admitted.progressVersion,
    };
    restoreProgress(open, progress);
    // The next pass opens as many further ones as the pool may have.
    openDueOccurrences(open, wallMs, 1);
    failIfExhausted(tables, open, openTasksOf(open));
    completeIfDone(open);
    // Last, so that a job that cannot be opened is not half open.
    tables.jobs.set(job.id, open);
};

// Merges stored progress into the state of a job.
const restoreProgress = (open: OpenJob, progress: Progress): void => {
    if (progress.state === "running") {
        markStarted(open);
    }
    mergeCompletedOccurrences(open, progress.completedOccurrences ?? []);
    progress.steps.forEach(step => restoreStep(open, step));
    // Earlier versions store the tasks of completed occurrences.
    closeCompletedOccurrences(open, [...open.occurrences.keys()]);
};

/** Progress as it was read from the store. */
export interface StoredProgress {
    readonly progress: Progress;
    readonly version: number;
}

/** Merges progress that the previous lease holder stored after the job was read. Closes the job if it is finished. */
export const mergeProgress = (tables: PoolTables, open: OpenJob, { progress, version }: StoredProgress): void => {
    if (version <= open.progressVersion) {
        return;
    }
    open.progressVersion = version;
    restoreProgress(open, progress);
    if (isFinal(progress)) {
        // Runs of a closed job are stopped by its state.
        open.state = progress.state;
        closeJob(tables, open);
        return;
    }
    // Neither holder of the lease may have known of all failures, and of all tasks that are done.
    failIfExhausted(tables, open, openTasksOf(open));
    completeIfDone(open);
};

/** Ends the jobs of which a task has no attempt left under the configuration in use. */
export const failExhaustedJobs = (tables: PoolTables): void =>
    tables.jobs.forEach(job => failIfExhausted(tables, job, openTasksOf(job)));

const openTasksOf = (job: OpenJob): readonly Task[] => stepsOf(job).flatMap(({ tasks }) => tasks);

/** Removes a job whose final state is stored. */
export const closeJob = (tables: PoolTables, { id }: OpenJob): void => {
    tables.jobs.delete(id);
    tables.finished.add(id);
    if (tables.finished.size > MAX_FINISHED_JOBS) {
        tables.finished.delete(tables.finished.values().next().value as JobId);
    }
};

const restoreStep = (job: OpenJob, progress: StepProgress): void => {
    if (!mayBeOpened(job, progress.occurrence)) {
        return;
    }
    // Stored progress of an occurrence shows that it was due, even if this process's clock is behind.
    const step = (job.occurrences.get(progress.occurrence) ?? addOccurrence(job, progress.occurrence))[progress.step];
    if (step === undefined) {
        return;
    }
    markTasksDone(step, progress.done);
    progress.failures.forEach(failures => {
        const task = openTask(step, failures.index);
        if (task !== undefined) {
            restoreFailures(task, failures);
        }
    });
    progress.checkpoints.forEach(({ index, checkpoint }) => {
        const task = openTask(step, index);
        if (task !== undefined) {
            task.checkpoint = checkpoint;
        }
    });
};

const restoreFailures = (task: Task, { attempts, lastRun, runs }: TaskFailures): void => {
    if (runs === undefined) {
        task.countedUpToRun = Math.max(task.countedUpToRun, lastRun);
    }
    const uncounted = (runs ?? []).filter(run => !task.failedRuns.has(run));
    uncounted.forEach(run => task.failedRuns.add(run));
    task.failures = Math.max(task.failures + uncounted.length, attempts);
};
