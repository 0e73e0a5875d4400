import { admitJob } from "@almondusher/scheduler/admit-job";
import { openDueOccurrencesOfPool } from "@almondusher/scheduler/open-occurrences";
import { recordArrival, type DemandHistory } from "@almondusher/scheduler/demand";
import { endJob } from "@almondusher/scheduler/apply-report";
import { isJobEnded } from "@almondusher/scheduler/job-progress";
import type { OpenJob, PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import type { StoredJob } from "./job-feed.js";

/** Opens the stored jobs of a pool in its tables, and ends those that are cancelled. */
export interface JobAdmission {
    readonly admit: (stored: StoredJob) => void;
    readonly cancel: (id: OpenJob["id"]) => void;
    /** Opens the occurrences of scheduled jobs that are due. */
    readonly openOccurrences: () => void;
}

export interface JobAdmissionOptions {
    readonly context: DispatcherContext;
    readonly tables: PoolTables;
    readonly demandHistory: DemandHistory;
    /** Requests that changed jobs are stored. */
    readonly requestWrite: () => void;
}

// A line must stay small: the rest of a long one is lost if the reader of the output stalls.
const MAX_LOGGED_STEPS = 10;

export const createJobAdmission = ({
    context,
    tables,
    demandHistory,
    requestWrite,
}: JobAdmissionOptions): JobAdmission => ({
    admit: ({ job, progress, progressVersion, inherited }) => {
        if (tables.jobs.has(job.id)) {
            return;
        }
        const ageMs = Math.max(0, context.store.nowMs() - job.acceptedAtMs);
        const readAtMs = context.monotonicMs();
        const arrivedAtMs = readAtMs - ageMs;
        admitJob(tables, { job, progress, progressVersion, arrivedAtMs, readAtMs, inherited }, Date.now());
        const openJob = tables.jobs.get(job.id);
        // A job that has finished since its progress was read is not opened.
        if (openJob === undefined) {
            return;
        }
        if (openJob.dirty) {
            requestWrite();
        }
        recordArrival(tables, demandHistory, openJob, context.monotonicMs());
        context.log("job-admitted", {
            job: job.id,
            queue: job.queue,
            ageMs: Math.round(ageMs),
            inherited,
            steps: job.steps.slice(0, MAX_LOGGED_STEPS),
            stepCount: job.steps.length,
        });
    },
    cancel: id => {
        const job = tables.jobs.get(id);
        if (job !== undefined && !isJobEnded(job)) {
            endJob(job, "cancelled");
            context.log("job-cancelled", { job: id, queue: job.queue });
            requestWrite();
        }
    },
    openOccurrences: () => openDueOccurrencesOfPool(tables, Date.now()),
});
