import { hasCode } from "@almondusher/fleet/fleet-error";
import type { Queue } from "@almondusher/jobs/configuration";
import type { JobId, TenantName } from "@almondusher/jobs/ids";
import type { Job, JobState } from "@almondusher/jobs/job";
import { initialProgress } from "@almondusher/jobs/progress";
import { toTerms } from "@almondusher/jobs/queue-terms";
import { encodeJob, encodeProgress } from "@almondusher/jobs/stored-rows";
import { decodeSubmission, type Submission } from "@almondusher/platform-adapter/decode-submission";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import {
    cancellationRow,
    cancelledProgressRow,
    jobRow,
    jobTablesOf,
    progressRange,
    progressRow,
    type JobTables,
} from "../jobs/job-rows.js";
import { readStoredProgress } from "../jobs/read-stored-rows.js";

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

/** Stores a job. It is reported as accepted only once it is durable; a job that exists already counts as accepted. */
export const submitJob = async (context: DispatcherContext, call: JobCall, body: string): Promise<JobCallResult> => {
    const submission = readSubmission(body);
    if ("message" in submission) {
        return { kind: "invalid", message: submission.message };
    }
    const tables = jobTablesOf(call.queue.pool);
    const job = toJob(context, call, submission);
    const transaction = {
        expect: [
            { ...jobRow(tables, call.id), version: 0 },
            { ...progressRow(tables, call.id), version: 0 },
        ],
        writes: [
            { ...jobRow(tables, call.id), value: encodeJob(job) },
            { ...progressRow(tables, call.id), value: encodeProgress(initialProgress) },
        ],
    };
    let unknown = false;
    for (;;) {
        const commit = await context.store.transact(transaction);
        switch (commit.kind) {
            case "committed":
            case "conflict":
                return { kind: "accepted" };
            case "unknown":
                unknown = true;
                break;
            case "not-run":
            case "rejected":
                break;
        }
        if (context.monotonicMs() + RETRY_DELAY_MS >= call.deadlineMs) {
            return unknown
                ? { kind: "unknown", cause: commit.reason }
                : { kind: "not-run", cause: commit.reason, retryAfterSeconds: STORE_RETRY_AFTER_SECONDS };
        }
        await sleep(RETRY_DELAY_MS);
    }
};

export const readJobState = async (context: DispatcherContext, call: JobCall): Promise<JobCallResult> => {
    const found = await readProgress(context, call);
    switch (found.kind) {
        case "found":
            return { kind: "state", state: found.state };
        case "absent":
            return { kind: "unknown-job" };
        case "failed":
            return { kind: "not-run", cause: found.reason, retryAfterSeconds: STORE_RETRY_AFTER_SECONDS };
    }
};

/** Cancels a job. It is reported as cancelled only once the cancellation is durable. */
export const cancelJob = async (context: DispatcherContext, call: JobCall): Promise<JobCallResult> => {
    const found = await readProgress(context, call);
    if (found.kind === "absent") {
        return { kind: "unknown-job" };
    }
    if (found.kind === "failed") {
        return { kind: "not-run", cause: found.reason, retryAfterSeconds: STORE_RETRY_AFTER_SECONDS };
    }
    if (found.state !== "queued" && found.state !== "running") {
        return { kind: "cancelled" };
    }
    const { tables } = found;
    const rows = [cancellationRow(tables, call.id), cancelledProgressRow(tables, call.id)];
    const transaction = {
        expect: rows.map(row => ({ ...row, version: 0 })),
        writes: rows.map(row => ({ ...row, value: "{}" })),
    };
    for (;;) {
        const commit = await context.store.transact(transaction);
        if (commit.kind === "committed" || commit.kind === "conflict") {
            return { kind: "cancelled" };
        }
        if (context.monotonicMs() + RETRY_DELAY_MS >= call.deadlineMs) {
            return { kind: "unknown", cause: commit.reason };
        }
        await sleep(RETRY_DELAY_MS);
    }
};

type FoundProgress =
    | { readonly kind: "found"; readonly state: JobState; readonly tables: JobTables }
    | { readonly kind: "absent" }
    | { readonly kind: "failed"; readonly reason: string };

const readProgress = async (context: DispatcherContext, { queue, id, deadlineMs }: JobCall): Promise<FoundProgress> => {
    const tables = jobTablesOf(queue.pool);
    for (;;) {
        const reading = await context.store.read(progressRange(tables, id));
        if (reading.kind === "rows") {
            return stateOfRows(context, reading.rows, { tables, id });
        }
        if (context.monotonicMs() + RETRY_DELAY_MS >= deadlineMs) {
            return { kind: "failed", reason: reading.kind === "failed" ? reading.reason : reading.kind };
        }
        await sleep(RETRY_DELAY_MS);
    }
};

interface JobAddress {
    readonly tables: JobTables;
    readonly id: JobId;
}

const stateOfRows = (context: DispatcherContext, rows: readonly Row[], { tables, id }: JobAddress): FoundProgress => {
    const progress = rows.find(({ key }) => key === id);
    if (progress === undefined) {
        return { kind: "absent" };
    }
    const state = readStoredProgress(context, progress)?.state;
    if (state === undefined) {
        return { kind: "failed", reason: "the stored progress cannot be read" };
    }
    const cancelled = rows.length > 1 && (state === "queued" || state === "running");
    return { kind: "found", state: cancelled ? "cancelled" : state, tables };
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
