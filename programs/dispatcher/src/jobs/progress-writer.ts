import type { Row, TransactionResult } from "@almondusher/platform-adapter/table-store";
import { mergeProgress } from "@almondusher/scheduler/admit-job";
import { endJob, type AppliedEnd } from "@almondusher/scheduler/apply-report";
import { isJobEnded } from "@almondusher/scheduler/job-progress";
import type { Executor, OpenJob, PoolTables } from "@almondusher/scheduler/pool-tables";
import { createErrorReporter } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { jobTablesOf, progressRow } from "./job-rows.js";
import { encodeGivenUp, encodeWrite, hasCheckpoints, toBatches, type ProgressWrite } from "./progress-batches.js";
import { readStoredProgress } from "./read-stored-rows.js";
import { createUnstoredEndTracker, type UnstoredEnds } from "./unstored-ends.js";
import { withdrawJob } from "../entry/withdraw-job.js";

/** Stores the progress of jobs. Run ends are acknowledged to executors only after they are stored. */
export interface ProgressWriter {
    /** Records run ends that were applied. They are acknowledged once the jobs that they have changed are stored. */
    readonly addEnds: (executor: Executor, ends: readonly AppliedEnd[]) => void;
    /** Requests that changed jobs are stored. Requests made during a write are merged into the next one. */
    readonly request: () => void;
    /** Resolves once all changes that the store accepts are stored, or after the timeout. */
    readonly flush: (timeoutMs: number) => Promise<void>;
}

export interface ProgressWriterOptions {
    readonly context: DispatcherContext;
    readonly tables: PoolTables;
    /** Called for each executor that has run ends which were stored and can now be acknowledged. */
    readonly onEndsStored: (executor: Executor) => void;
    /** Called after the final state of a job was stored. */
    readonly onJobFinished: (job: OpenJob) => void;
    readonly isActive: () => boolean;
    /** False while another scheduler may have taken over and may rely on this one storing nothing more. */
    readonly mayStore: () => boolean;
}

/** Why progress could not be stored, though it may be later. */
type HoldBackCause = "rejected" | "not-encoded" | "row-missing" | "row-unreadable";

/** A job whose progress the store does not accept; it is written apart from the others, at growing intervals. */
interface RejectedJob {
    readonly rejections: number;
    readonly cause: HoldBackCause;
    isRetryDue: boolean;
}

type OnStored = (write: ProgressWrite, version: number) => void;

const RETRY_DELAY_MS = 50;
const REJECTED_RETRY_DELAY_MS = 500;
const MAX_REJECTED_RETRY_DELAY_MS = 8000;
// The last of them is 1.5 s after the first one.
const MIN_REJECTIONS_TO_GIVE_UP = 3;
const FLUSH_POLL_INTERVAL_MS = 10;

export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
    const { context, tables } = options;
    const jobTables = jobTablesOf(tables.pool);
    const reportError = createErrorReporter({ context, part: "progress-writer" });
    const unstoredEnds = createUnstoredEndTracker(tables);
    const rejectedJobs = new Map<OpenJob, RejectedJob>();
    /** Jobs that are stored without checkpoints, since the store does not accept their progress with them. */
    const jobsWithoutCheckpoints = new WeakSet<OpenJob>();
    let running = false;
    let writing = false;
    let requested = false;

    const dirtyJobs = (): readonly OpenJob[] => [...tables.jobs.values()].filter(job => job.dirty);
    const acknowledge = ({ executor, incarnation, lastEnd }: UnstoredEnds): void => {
        if (executor.incarnation === incarnation && executor.lastStoredEnd < lastEnd) {
            executor.lastStoredEnd = lastEnd;
            options.onEndsStored(executor);
        }
    };
    const writeAll = async (): Promise<boolean> => {
        const ends = unstoredEnds.takeAll();
        const onStored: OnStored = ({ job, final, isGivenUp }, version) => {
            if (isGivenUp) {
                endGivenUp(job, "failed");
            }
            job.progressVersion = version;
            rejectedJobs.delete(job);
            ends.filter(({ jobs }) => jobs.delete(job) && jobs.size === 0).forEach(acknowledge);
            if (final) {
                options.onJobFinished(job);
            }
        };
        ends.filter(({ jobs }) => jobs.size === 0).forEach(acknowledge);
        const jobs = dirtyJobs();
        const retried = jobs.filter(job => rejectedJobs.get(job)?.isRetryDue);
        const givenUp = retried.filter(job => isHopeless(job) && isHidingEnds(job, ends));
        const batches = [
            ...toBatches(encodeAll(jobs.filter(job => !rejectedJobs.has(job)))),
            ...encodeAll(retried.filter(job => !givenUp.includes(job))).map(write => [write]),
            ...givenUp.map(job => [encodeGivenUp(job)]),
        ];
        const results = await Promise.all(batches.map(batch => writeBatch(batch, onStored)));
        ends.filter(({ jobs }) => jobs.size > 0).forEach(unstoredEnds.putBack);
        return results.every(ok => ok);
    };
    const isHopeless = (job: OpenJob): boolean => {
        const rejected = rejectedJobs.get(job);
        return !isJobEnded(job) && rejected?.cause === "rejected" && rejected.rejections >= MIN_REJECTIONS_TO_GIVE_UP;
    };
    // Called only once a row that closes the job is stored: a store that rejects everything for a while ends no job.
    const endGivenUp = (job: OpenJob, state: "failed" | "cancelled"): void => {
        context.metrics.count("jobs_given_up");
        context.log("job-given-up", { job: job.id, state, rejections: rejectedJobs.get(job)?.rejections });
        endJob(job, state);
    };
    const encodeAll = (jobs: readonly OpenJob[]): readonly ProgressWrite[] =>
        jobs.flatMap(job => {
            try {
                return [encodeWrite(job, { withCheckpoints: !jobsWithoutCheckpoints.has(job) })];
            } catch (error) {
                holdBack(job, "not-encoded", String(error));
                return [];
            }
        });
    const writeBatch = async (batch: readonly ProgressWrite[], onStored: OnStored): Promise<boolean> => {
        if (batch.length === 0) {
            return true;
        }
        // Reset before the write, so that changes made during it mark the job as dirty again.
        batch.forEach(({ job }) => (job.dirty = false));
        try {
            const commit = await context.store.transact({
                expect: batch.map(({ job }) => ({ ...progressRow(jobTables, job.id), version: job.progressVersion })),
                writes: batch.map(({ job, value }) => ({ ...progressRow(jobTables, job.id), value })),
            });
            return await applyCommit(batch, commit, onStored);
        } catch (error) {
            reportError(error);
            markDirty(batch);
            return false;
        }
    };
    const applyCommit = async (
        batch: readonly ProgressWrite[],
        commit: TransactionResult,
        onStored: OnStored,
    ): Promise<boolean> => {
        switch (commit.kind) {
            case "committed":
                batch.forEach(write => onStored(write, commit.version));
                return true;
            case "conflict":
                return applyConflict(batch, commit.rows, onStored);
            case "rejected":
                return applyRejection(batch, commit.reason, onStored);
            case "not-run":
            case "unknown":
                markDirty(batch);
                context.metrics.count("progress_writes_failed");
                return false;
        }
    };
    const applyRejection = async (
        batch: readonly ProgressWrite[],
        reason: string,
        onStored: OnStored,
    ): Promise<boolean> => {
        const [first] = batch;
        if (first?.isGivenUp) {
            return withdraw(first, onStored);
        }
        return leaveOutCheckpoints(batch)
            ? writeBatch(encodeAll(batch.map(({ job }) => job)), onStored)
            : writeApart(batch, "rejected", reason, onStored);
    };
    // The store does not even accept the final state.
    const withdraw = async (write: ProgressWrite, onStored: OnStored): Promise<boolean> => {
        const { job } = write;
        const withdrawal = await withdrawJob(context, jobTables, job);
        switch (withdrawal.kind) {
            case "withdrawn":
                endGivenUp(job, "cancelled");
                onStored({ ...write, isGivenUp: false }, job.progressVersion);
                return true;
            case "rejected":
                return writeApart([write], "rejected", withdrawal.reason, onStored);
            case "failed":
                markDirty([write]);
                context.metrics.count("progress_writes_failed");
                return false;
        }
    };
    // A task without a stored checkpoint starts over after a takeover, while one whose end is not stored holds up its executor.
    const leaveOutCheckpoints = (batch: readonly ProgressWrite[]): boolean => {
        const [first, ...others] = batch;
        if (
            first === undefined ||
            others.length > 0 ||
            jobsWithoutCheckpoints.has(first.job) ||
            !hasCheckpoints(first.job)
        ) {
            return false;
        }
        jobsWithoutCheckpoints.add(first.job);
        context.metrics.count("progress_without_checkpoints");
        context.log("progress-without-checkpoints", { job: first.job.id });
        return true;
    };
    const markDirty = (batch: readonly ProgressWrite[]): void => batch.forEach(({ job }) => (job.dirty = true));
    const applyConflict = async (
        batch: readonly ProgressWrite[],
        rows: readonly Row[],
        onStored: OnStored,
    ): Promise<boolean> => {
        if (!batch.some(({ job }) => conflictingRow(job, rows) !== undefined)) {
            return writeApart(batch, "row-missing", "the stored progress is missing", onStored);
        }
        batch.forEach(write => resolveConflict(write, conflictingRow(write.job, rows), onStored));
        return batch.every(({ job }) => !job.dirty);
    };
    // The store rejects a transaction as a whole, also if it does not accept only one of its rows.
    const writeApart = async (
        batch: readonly ProgressWrite[],
        cause: HoldBackCause,
        reason: string,
        onStored: OnStored,
    ): Promise<boolean> => {
        markDirty(batch);
        const [first, ...others] = batch;
        if (first !== undefined && others.length === 0) {
            holdBack(first.job, cause, reason);
            return true;
        }
        const middle = Math.ceil(batch.length / 2);
        const halves = [batch.slice(0, middle), batch.slice(middle)];
        // Encoded again, because a job may have changed since.
        const results = await Promise.all(
            halves.map(half => writeBatch(encodeAll(half.map(({ job }) => job)), onStored)),
        );
        return results.every(ok => ok);
    };
    const holdBack = (job: OpenJob, cause: HoldBackCause, reason: string): void => {
        const rejections = (rejectedJobs.get(job)?.rejections ?? 0) + 1;
        const rejected: RejectedJob = { rejections, cause, isRetryDue: false };
        rejectedJobs.set(job, rejected);
        context.metrics.count("progress_writes_rejected");
        context.log("progress-rejected", { job: job.id, reason, rejections });
        const delayMs = Math.min(REJECTED_RETRY_DELAY_MS * 2 ** (rejections - 1), MAX_REJECTED_RETRY_DELAY_MS);
        setTimeout(() => retry(job, rejected), delayMs).unref();
    };
    const retry = (job: OpenJob, rejected: RejectedJob): void => {
        if (tables.jobs.get(job.id) === job) {
            rejected.isRetryDue = true;
            request();
        } else {
            rejectedJobs.delete(job);
        }
    };
    // The row has a different version than expected. It was written either by an earlier write of this process that was not
    // answered, or by a late write of the previous scheduler, whose progress is merged into the job.
    const resolveConflict = (write: ProgressWrite, row: Row | undefined, onStored: OnStored): void => {
        const { job, value } = write;
        if (row?.value === value) {
            onStored(write, row.version);
            return;
        }
        job.dirty = true;
        const progress = row === undefined ? undefined : readStoredProgress(context, row);
        if (row !== undefined && progress === undefined) {
            holdBack(job, "row-unreadable", "the stored progress cannot be read");
        }
        if (row !== undefined && progress !== undefined) {
            mergeProgress(tables, job, { progress, version: row.version });
            context.log("progress-conflict", { job: job.id, version: row.version });
        }
    };
    const tryWriteAll = (): Promise<boolean> =>
        writeAll().catch((error: unknown) => {
            reportError(error);
            return false;
        });
    const run = async (): Promise<void> => {
        running = true;
        while (requested && options.isActive()) {
            requested = false;
            writing = options.mayStore();
            const stored = writing && (await tryWriteAll());
            writing = false;
            if (!stored) {
                requested = true;
                await sleep(RETRY_DELAY_MS);
            }
        }
        running = false;
    };
    const request = (): void => {
        requested = true;
        if (!running) {
            void run();
        }
    };
    const isStoring = (): boolean => writing || dirtyJobs().some(job => !rejectedJobs.has(job));
    return {
        addEnds: unstoredEnds.add,
        request,
        flush: async timeoutMs => {
            const endMs = context.monotonicMs() + timeoutMs;
            while (isStoring() && context.monotonicMs() < endMs) {
                await sleep(FLUSH_POLL_INTERVAL_MS);
            }
        },
    };
};

const conflictingRow = (job: OpenJob, rows: readonly Row[]): Row | undefined =>
    rows.find(({ key, version }) => key === job.id && version !== job.progressVersion);

// An executor lists its further ends only once the first ones are acknowledged, which waits for the job.
const isHidingEnds = (job: OpenJob, ends: readonly UnstoredEnds[]): boolean =>
    ends.some(({ executor, jobs }) => executor.hasUnreadEnds && jobs.has(job));
