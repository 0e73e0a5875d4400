import { hasCode } from "@almondusher/fleet/fleet-error";
import type { Queue } from "@almondusher/jobs/configuration";
import type { JobId, TenantName } from "@almondusher/jobs/ids";
import type { Job, JobState } from "@almondusher/jobs/job";
import { initialProgress, neverAcceptedProgress } from "@almondusher/jobs/progress";
import { toTerms } from "@almondusher/jobs/queue-terms";
import { encodeJob, encodeProgress } from "@almondusher/jobs/stored-rows";
import { decodeSubmission, type Submission } from "@almondusher/platform-adapter/decode-submission";
import type { Row, Transaction, TransactionResult } from "@almondusher/platform-adapter/table-store";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import {
    CANCELLATION_VALUE,
    cancellationRow,
    cancelledProgressRow,
    jobRow,
    jobTablesOf,
    progressRange,
    progressRow,
    type JobTables,
} from "../jobs/job-rows.js";
import { retentionSecondsOf } from "../jobs/finished-job-rows.js";
import { readStoredProgress } from "../jobs/read-stored-rows.js";
import type { CancellationMarks } from "./cancellation-marks.js";

/** Outcome of a client's request for a job. */
export type JobCallResult =
    | { readonly kind: "accepted" }
    | { readonly kind: "state"; readonly state: JobState }
    | { readonly kind: "cancelled" }
    /** The request certainly had no effect and can be retried. */
    | { readonly kind: "not-run"; readonly cause: string; readonly retryAfterSeconds: number }
    | { readonly kind: "unknown-job" }
    | { readonly kind: "invalid"; readonly message: string }
    /** The request may have taken effect; it is idempotent, so it can be retried. */
    | { readonly kind: "unknown"; readonly cause: string };

/** Queue, job, tenant, version of the configuration and deadline of a request. */
export interface JobCall {
    readonly queue: Queue;
    /** Undefined if the call needed no key and has none. */
    readonly tenant: TenantName | undefined;
    /** Version of the configuration that decided on the key. */
    readonly configuration: number;
    readonly id: JobId;
    /** Monotonic time by which the response must be sent, in milliseconds. */
    readonly deadlineMs: number;
}

const RETRY_DELAY_MS = 40;
const STORE_RETRY_AFTER_SECONDS = 1;
const MARK_RETRY_AFTER_SECONDS = 10;

/**
 * Stores a job. It is reported as accepted only once it is durable; a job that exists already counts as accepted, and one whose
 * cancellation was answered before never runs.
 */
export const submitJob = async (context: DispatcherContext, call: JobCall, body: string): Promise<JobCallResult> => {
    const submission = readSubmission(body);
    if ("message" in submission) {
        return { kind: "invalid", message: submission.message };
    }
    const tables = jobTablesOf(call.queue.pool);
    const job = toJob(context, call, submission);
    const commit = await transactUntil(context, call, {
        expect: [jobRow(tables, call.id), progressRow(tables, call.id)].map(row => ({ ...row, version: 0 })),
        writes: [
            { ...jobRow(tables, call.id), value: encodeJob(job) },
            { ...progressRow(tables, call.id), value: encodeProgress(initialProgress) },
        ],
    });
    switch (commit.kind) {
        case "committed":
            return { kind: "accepted" };
        case "conflict":
            return isNeverAccepted(context, commit.rows, { tables, id: call.id })
                ? {
                      kind: "not-run",
                      cause: CANCELLED_BEFORE,
                      retryAfterSeconds: retentionSecondsOf(context.settings.jobStateSeconds),
                  }
                : { kind: "accepted" };
        case "unknown":
        case "not-run":
        case "rejected":
            return describeFailure(commit);
    }
};

export const readJobState = async (context: DispatcherContext, call: JobCall): Promise<JobCallResult> => {
    const found = await readProgress(context, call);
    switch (found.kind) {
        case "found":
            return { kind: "state", state: found.state };
        case "absent":
        case "never-accepted":
            return { kind: "unknown-job" };
        case "failed":
            return { kind: "not-run", cause: found.reason, retryAfterSeconds: STORE_RETRY_AFTER_SECONDS };
    }
};

/**
 * Cancels a job. It is reported as cancelled only once the cancellation is durable. A submission of an unknown job may still be
 * on its way, at a process that stands still or in the store, so the answer is durable then, too.
 */
export const cancelJob = async (
    context: DispatcherContext,
    call: JobCall,
    marks: CancellationMarks,
): Promise<JobCallResult> => {
    for (;;) {
        const found = await readProgress(context, call);
        switch (found.kind) {
            case "never-accepted":
                return { kind: "unknown-job" };
            case "failed":
                return { kind: "not-run", cause: found.reason, retryAfterSeconds: STORE_RETRY_AFTER_SECONDS };
            case "found":
                return found.state === "queued" || found.state === "running"
                    ? storeCancellation(context, call, found.tables)
                    : { kind: "cancelled" };
            case "absent": {
                const marked = marks.take() ? await markNeverAccepted(context, call) : TOO_MANY_MARKS;
                if (marked.kind !== "accepted-meanwhile") {
                    return marked;
                }
                // A row of the job without its progress would be found again and again.
                if (isResponseDue(context, call)) {
                    return { kind: "not-run", cause: NO_PROGRESS, retryAfterSeconds: STORE_RETRY_AFTER_SECONDS };
                }
                await sleep(RETRY_DELAY_MS);
            }
        }
    }
};

const storeCancellation = async (
    context: DispatcherContext,
    call: JobCall,
    tables: JobTables,
): Promise<JobCallResult> => {
    const rows = [cancellationRow(tables, call.id), cancelledProgressRow(tables, call.id)];
    const commit = await transactUntil(context, call, {
        expect: rows.map(row => ({ ...row, version: 0 })),
        writes: rows.map(row => ({ ...row, value: CANCELLATION_VALUE })),
    });
    switch (commit.kind) {
        case "committed":
        case "conflict":
            return { kind: "cancelled" };
        case "unknown":
        case "not-run":
        case "rejected":
            return describeFailure(commit);
    }
};

/** Keeps a submission of the job that is stored later from being accepted, and tells the pool's scheduler to remove the rows. */
const markNeverAccepted = async (
    context: DispatcherContext,
    call: JobCall,
): Promise<JobCallResult | { readonly kind: "accepted-meanwhile" }> => {
    const tables = jobTablesOf(call.queue.pool);
    const value = encodeProgress(neverAcceptedProgress);
    const commit = await transactUntil(context, call, {
        expect: [jobRow(tables, call.id), progressRow(tables, call.id)].map(row => ({ ...row, version: 0 })),
        writes: [progressRow(tables, call.id), cancellationRow(tables, call.id)].map(row => ({ ...row, value })),
    });
    switch (commit.kind) {
        case "committed":
            return { kind: "unknown-job" };
        case "conflict":
            return isNeverAccepted(context, commit.rows, { tables, id: call.id })
                ? { kind: "unknown-job" }
                : { kind: "accepted-meanwhile" };
        case "unknown":
        case "not-run":
        case "rejected":
            return describeFailure(commit);
    }
};

/** A transaction that was not committed, as far as is known. */
type FailedTransaction = Extract<TransactionResult, { readonly reason: string }>;

const describeFailure = ({ kind, reason }: FailedTransaction): JobCallResult =>
    kind === "unknown"
        ? { kind: "unknown", cause: reason }
        : { kind: "not-run", cause: reason, retryAfterSeconds: STORE_RETRY_AFTER_SECONDS };

/**
 * Repeats a transaction until it is committed or conflicts, or the response is due. Afterwards `unknown` means that one of the
 * attempts may have been applied or may still be.
 */
const transactUntil = async (
    context: DispatcherContext,
    call: JobCall,
    transaction: Transaction,
): Promise<TransactionResult> => {
    let unknown = false;
    for (;;) {
        const commit = await context.store.transact(transaction);
        if (commit.kind === "committed" || commit.kind === "conflict") {
            return commit;
        }
        unknown ||= commit.kind === "unknown";
        if (isResponseDue(context, call)) {
            return unknown ? { kind: "unknown", reason: commit.reason } : commit;
        }
        await sleep(RETRY_DELAY_MS);
    }
};

const isResponseDue = ({ monotonicMs }: DispatcherContext, { deadlineMs }: JobCall): boolean =>
    monotonicMs() + RETRY_DELAY_MS >= deadlineMs;

const NO_PROGRESS = "the progress of the job is not stored";
const CANCELLED_BEFORE = "the job was cancelled before it was accepted, and never runs";

const TOO_MANY_MARKS: JobCallResult = {
    kind: "not-run",
    cause: "too many unknown jobs were cancelled",
    retryAfterSeconds: MARK_RETRY_AFTER_SECONDS,
};

type FoundProgress =
    | { readonly kind: "found"; readonly state: JobState; readonly tables: JobTables }
    | { readonly kind: "absent" }
    /** Cancelled before it was accepted. */
    | { readonly kind: "never-accepted" }
    | { readonly kind: "failed"; readonly reason: string };

const readProgress = async (context: DispatcherContext, call: JobCall): Promise<FoundProgress> => {
    const { queue, id } = call;
    const tables = jobTablesOf(queue.pool);
    for (;;) {
        const reading = await context.store.read(progressRange(tables, id));
        if (reading.kind === "rows") {
            return stateOfRows(context, reading.rows, { tables, id });
        }
        if (isResponseDue(context, call)) {
            return { kind: "failed", reason: reading.kind === "failed" ? reading.reason : reading.kind };
        }
        await sleep(RETRY_DELAY_MS);
    }
};

interface JobAddress {
    readonly tables: JobTables;
    readonly id: JobId;
}

const stateOfRows = (context: DispatcherContext, rows: readonly Row[], address: JobAddress): FoundProgress => {
    const stored = rows.find(({ key }) => key === address.id);
    if (stored === undefined) {
        return { kind: "absent" };
    }
    const progress = readStoredProgress(context, stored);
    if (progress === undefined) {
        return { kind: "failed", reason: "the stored progress cannot be read" };
    }
    if (progress.neverAccepted === true) {
        return { kind: "never-accepted" };
    }
    const { state } = progress;
    const cancelled = rows.length > 1 && (state === "queued" || state === "running");
    return { kind: "found", state: cancelled ? "cancelled" : state, tables: address.tables };
};

const isNeverAccepted = (context: DispatcherContext, rows: readonly Row[], { tables, id }: JobAddress): boolean => {
    const stored = rows.find(({ table, key, version }) => table === tables.progress && key === id && version > 0);
    return stored !== undefined && readStoredProgress(context, stored)?.neverAccepted === true;
};

const readSubmission = (body: string): Submission | { readonly message: string } => {
    try {
        return decodeSubmission(body);
    } catch (error) {
        if (hasCode(error, "bad-message")) {
            return { message: error.message };
        }
        throw error;
    }
};

const toJob = (
    context: DispatcherContext,
    { queue, id, tenant }: JobCall,
    { spec, steps, schedule }: Submission,
): Job => ({
    id,
    queue: queue.name,
    pool: queue.pool,
    terms: toTerms(queue),
    tenant,
    spec,
    steps,
    schedule,
    acceptedAtMs: Math.round(context.store.nowMs()),
});
