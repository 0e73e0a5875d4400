import { encodeProgress } from "@almondusher/jobs/stored-rows";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { mergeProgress } from "@almondusher/scheduler/admit-job";
import { isJobEnded, progressOf } from "@almondusher/scheduler/job-progress";
import type { Executor, OpenJob, PoolTables } from "@almondusher/scheduler/pool-tables";
import { createErrorReporter } from "./contain-errors.js";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";
import { jobTablesOf, progressRow, type JobTables } from "./job-rows.js";
import { readStoredProgress } from "./read-stored-rows.js";

/** Stores the progress of jobs. Run ends are acknowledged to executors only after they are stored. */
export interface ProgressWriter {
    /** Requests that changed jobs are stored. Requests made during a write are merged into the next one. */
    readonly request: () => void;
    /** Resolves once all changes are stored, or after the timeout. */
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

const MAX_ROWS_PER_TRANSACTION = 40;
const RETRY_DELAY_MS = 50;
const FLUSH_POLL_INTERVAL_MS = 10;

export const createProgressWriter = (options: ProgressWriterOptions): ProgressWriter => {
    const { context, tables } = options;
    const jobTables = jobTablesOf(tables.pool);
    const reportError = createErrorReporter({ context, part: "progress-writer" });
    let writing = false;
    let requested = false;

    const dirtyJobs = (): readonly OpenJob[] => [...tables.jobs.values()].filter(job => job.dirty);
    const writeAll = async (): Promise<boolean> => {
        const appliedEnds = [...tables.executors.values()].map(executor => ({
            executor,
            lastAppliedEnd: executor.lastAppliedEnd,
            incarnation: executor.incarnation,
        }));
        const jobs = dirtyJobs();
        const batches = Array.from({ length: Math.ceil(jobs.length / MAX_ROWS_PER_TRANSACTION) }, (unused, index) =>
            jobs.slice(index * MAX_ROWS_PER_TRANSACTION, (index + 1) * MAX_ROWS_PER_TRANSACTION),
        );
        const results = await Promise.all(batches.map(batch => writeBatch(options, jobTables, batch)));
        if (!results.every(ok => ok)) {
            return false;
        }
        appliedEnds
            .filter(({ executor, lastAppliedEnd }) => executor.lastStoredEnd < lastAppliedEnd)
            .filter(({ executor, incarnation }) => executor.incarnation === incarnation)
            .forEach(({ executor, lastAppliedEnd }) => {
                executor.lastStoredEnd = lastAppliedEnd;
                options.onEndsStored(executor);
            });
        return true;
    };
    const tryWriteAll = (): Promise<boolean> =>
        writeAll().catch((error: unknown) => {
            reportError(error);
            return false;
        });
    const run = async (): Promise<void> => {
        writing = true;
        while (requested && options.isActive()) {
            requested = false;
            if (!options.mayStore() || !(await tryWriteAll())) {
                requested = true;
                await sleep(RETRY_DELAY_MS);
            }
        }
        writing = false;
    };
    return {
        request: () => {
            requested = true;
            if (!writing) {
                void run();
            }
        },
        flush: async timeoutMs => {
            const endMs = context.monotonicMs() + timeoutMs;
            while ((writing || dirtyJobs().length > 0) && context.monotonicMs() < endMs) {
                await sleep(FLUSH_POLL_INTERVAL_MS);
            }
        },
    };
};

interface Write {
    readonly job: OpenJob;
    readonly value: string;
    readonly final: boolean;
}

const writeBatch = async (
    options: ProgressWriterOptions,
    jobTables: JobTables,
    jobs: readonly OpenJob[],
): Promise<boolean> => {
    const { context } = options;
    const writes = jobs.map((job): Write => ({ job, value: encodeProgress(progressOf(job)), final: isJobEnded(job) }));
    // Reset before the write, so that changes made during it mark the job as dirty again.
    jobs.forEach(job => (job.dirty = false));
    const commit = await context.store.transact({
        expect: writes.map(({ job }) => ({ ...progressRow(jobTables, job.id), version: job.progressVersion })),
        writes: writes.map(({ job, value }) => ({ ...progressRow(jobTables, job.id), value })),
    });
    switch (commit.kind) {
        case "committed":
            writes.forEach(write => applyCommit(options, write, commit.version));
            return true;
        case "conflict":
            writes.forEach(write => resolveConflict(options, write, commit.rows));
            return writes.every(({ job }) => !job.dirty);
        case "not-run":
        case "unknown":
            jobs.forEach(job => (job.dirty = true));
            context.metrics.count("progress_writes_failed");
            return false;
    }
};

const applyCommit = (options: ProgressWriterOptions, { job, final }: Write, version: number): void => {
    job.progressVersion = version;
    if (final) {
        options.onJobFinished(job);
    }
};

// The row has a different version than expected. It was written either by an earlier write of this process that was not
// answered, or by a late write of the previous scheduler, whose progress is merged into the job.
const resolveConflict = (options: ProgressWriterOptions, write: Write, rows: readonly Row[]): void => {
    const { job, value } = write;
    const row = rows.find(({ key, version }) => key === job.id && version !== job.progressVersion);
    if (row?.value === value) {
        applyCommit(options, write, row.version);
        return;
    }
    job.dirty = true;
    const progress = row === undefined ? undefined : readStoredProgress(options.context, row);
    if (row !== undefined && progress !== undefined) {
        mergeProgress(options.tables, job, { progress, version: row.version });
        options.context.log("progress-conflict", { job: job.id, version: row.version });
    }
};
