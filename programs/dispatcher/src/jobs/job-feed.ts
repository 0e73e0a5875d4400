import type { PoolName } from "@almondusher/fleet/ids";
import type { JobId } from "@almondusher/jobs/ids";
import type { Job } from "@almondusher/jobs/job";
import { initialProgress, isFinal, type Progress } from "@almondusher/jobs/progress";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { createErrorReporter, repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import type { FinishedJob } from "./finished-job-rows.js";
import { CANCELLATION_VALUE, cancelledJobId, jobTablesOf } from "./job-rows.js";
import { readStoredJob, readStoredProgress } from "./read-stored-rows.js";
import { createRangeReading, type CompleteRange, type StorePoint } from "../store/read-all.js";

/** A job with its progress as read from the store. */
export interface StoredJob {
    readonly job: Job;
    readonly progress: Progress;
    readonly progressVersion: number;
    /** True if the job was already stored when the feed started. */
    readonly inherited: boolean;
}

/** Receives jobs and cancellations from the feed. */
interface JobFeedSink {
    /** Called for each open job that was loaded or is new. */
    readonly job: (stored: StoredJob) => void;
    /** Called for each job whose final state was loaded, also for those of other pools in the same tables. */
    readonly finished: (job: FinishedJob) => void;
    /** Called for each cancellation, also for jobs that are not known. */
    readonly cancelled: (id: JobId) => void;
    /** Called after the initial load and after each batch of changes. */
    readonly changed: () => void;
    /** Called after each successful read, with the state of the store whose jobs have all been delivered. */
    readonly readUpTo: (point: StorePoint) => void;
}

export interface JobFeedOptions {
    readonly context: DispatcherContext;
    readonly pool: PoolName;
    readonly sink: JobFeedSink;
    readonly isActive: () => boolean;
}

const LONG_POLL_MS = 2000;
const RETRY_DELAY_MS = 60;
const MAX_LOGGED_JOBS = 20;
const RELOAD_DELAY_MS = 1000;
const MAX_RELOAD_DELAY_MS = 30_000;

/**
 * Loads the stored jobs of a pool, then follows new jobs and cancellations while `isActive` returns true. A job whose delivery
 * fails does not keep the others back: all jobs are loaded again after a while.
 */
export const followJobs = async (options: JobFeedOptions): Promise<void> => {
    const { context, pool, isActive } = options;
    const tables = jobTablesOf(pool);
    const reportError = createErrorReporter({ context, part: "job-delivery" });
    let asOf: StorePoint | undefined;
    let inherited = true;
    let reading: JobsReading | undefined;
    let reloadAtMs: number | undefined;
    let reloadDelayMs = RELOAD_DELAY_MS;
    const contain =
        <Value>(deliver: (value: Value) => void) =>
        (value: Value): void => {
            try {
                deliver(value);
            } catch (error) {
                reportError(error);
                reloadAtMs ??= context.monotonicMs() + reloadDelayMs;
            }
        };
    const sink: JobFeedSink = {
        ...options.sink,
        job: contain(options.sink.job),
        cancelled: contain(options.sink.cancelled),
    };
    const isReloadDue = (): boolean => reloadAtMs !== undefined && context.monotonicMs() >= reloadAtMs;
    const load = async (): Promise<void> => {
        asOf = undefined;
        reading ??= createJobsReading(options);
        const stored = await reading.read();
        if (stored === undefined) {
            await sleep(RETRY_DELAY_MS);
            return;
        }
        reading = undefined;
        reloadAtMs = undefined;
        deliverStored({ ...options, sink }, { stored, inherited });
        reloadDelayMs = reloadAtMs === undefined ? RELOAD_DELAY_MS : Math.min(2 * reloadDelayMs, MAX_RELOAD_DELAY_MS);
        inherited = false;
        asOf = stored.jobs.asOf;
        sink.readUpTo(asOf);
        sink.changed();
    };
    const followFrom = async (known: StorePoint): Promise<void> => {
        const changes = await context.store.changes({
            table: tables.jobs,
            after: known.version,
            waitMs: LONG_POLL_MS,
        });
        if (!isActive()) {
            return;
        }
        switch (changes.kind) {
            case "rows":
                changes.rows.forEach(row => applyChange({ ...options, sink }, row));
                asOf = { version: changes.version, atMs: changes.truncated ? known.atMs : changes.nowMs };
                sink.readUpTo(asOf);
                if (changes.rows.some(({ deleted }) => !deleted)) {
                    sink.changed();
                }
                break;
            case "history-lost":
                asOf = undefined;
                break;
            case "failed":
                await sleep(RETRY_DELAY_MS);
                break;
        }
    };
    await repeatWhileActive({
        context,
        part: "job-feed",
        isActive,
        step: () => (asOf === undefined || isReloadDue() ? load() : followFrom(asOf)),
    });
};

/** All rows of the jobs of a pool, and of their progress. */
interface StoredRows {
    readonly jobs: CompleteRange;
    readonly progress: CompleteRange;
}

/** Reads the jobs of a pool with their progress, and keeps the pages that it has read. */
interface JobsReading {
    /** Resolves to undefined if the store failed; the next call continues after the last row that was read. */
    readonly read: () => Promise<StoredRows | undefined>;
}

// Jobs are read before progress. A job that is accepted between the two reads is missing in the first one and is
// delivered by the change feed. If both were read side by side, such a job could have no progress, and not be started.
const createJobsReading = ({ context, pool }: JobFeedOptions): JobsReading => {
    const tables = jobTablesOf(pool);
    const jobsReading = createRangeReading(context.store, { table: tables.jobs, part: tables.part });
    const progressReading = createRangeReading(context.store, { table: tables.progress, part: tables.part });
    return {
        read: async () => {
            const jobs = await jobsReading.read();
            const progress = jobs === undefined ? undefined : await progressReading.read();
            return jobs === undefined || progress === undefined ? undefined : { jobs, progress };
        },
    };
};

interface Delivery {
    readonly stored: StoredRows;
    /** True if the jobs were stored before the feed started. */
    readonly inherited: boolean;
}

const deliverStored = (options: JobFeedOptions, { stored: { jobs, progress }, inherited }: Delivery): void => {
    const { context, sink } = options;
    const storedProgress = new Map(
        progress.rows
            .filter(({ key }) => cancelledJobId(key) === undefined)
            .map(row => [row.key as JobId, { content: readStoredProgress(context, row), version: row.version }]),
    );
    const withoutProgress: JobId[] = [];
    jobs.rows.forEach(row => {
        const job = readJob(options, row);
        if (job === undefined) {
            return;
        }
        const found = storedProgress.get(job.id);
        if (found === undefined) {
            withoutProgress.push(job.id);
        } else if (found.content !== undefined && !isFinal(found.content)) {
            sink.job({ job, progress: found.content, progressVersion: found.version, inherited });
        }
    });
    jobs.rows.forEach(row => applyCancellation(sink, row));
    storedProgress.forEach(({ content }, id) => {
        if (content !== undefined && isFinal(content)) {
            sink.finished({ id, state: content.state });
        }
    });
    reportWithoutProgress(options, withoutProgress);
};

// Such a job is not started, since tasks that are done could run again: its progress was stored together with it.
const reportWithoutProgress = ({ context, pool }: JobFeedOptions, jobs: readonly JobId[]): void => {
    if (jobs.length > 0) {
        context.metrics.count("missing_progress_rows", jobs.length);
        context.log("progress-missing", { pool, count: jobs.length, jobs: jobs.slice(0, MAX_LOGGED_JOBS) });
    }
};

const applyChange = (options: JobFeedOptions, row: Row): void => {
    if (row.deleted) {
        return;
    }
    if (applyCancellation(options.sink, row)) {
        reportNeverAccepted(options, row);
        return;
    }
    const job = readJob(options, row);
    if (job !== undefined) {
        // A job and its initial progress are written in one transaction, so they have the same version.
        options.sink.job({ job, progress: initialProgress, progressVersion: row.version, inherited: false });
    }
};

// The changes of progress are not followed, so the cancellation of a job that was never accepted says so as well.
const reportNeverAccepted = ({ context, sink }: JobFeedOptions, row: Row): void => {
    const id = cancelledJobId(row.key);
    const isMark = id !== undefined && row.value !== CANCELLATION_VALUE;
    if (isMark && readStoredProgress(context, row)?.neverAccepted === true) {
        sink.finished({ id, state: "cancelled" });
    }
};

const applyCancellation = (sink: JobFeedSink, { key }: Row): boolean => {
    const cancelled = cancelledJobId(key);
    if (cancelled !== undefined) {
        sink.cancelled(cancelled);
    }
    return cancelled !== undefined;
};

const readJob = ({ context, pool }: JobFeedOptions, row: Row): Job | undefined => {
    const job = cancelledJobId(row.key) === undefined ? readStoredJob(context, row) : undefined;
    return job?.pool === pool ? job : undefined;
};
