import type { Configuration } from "@almondusher/jobs/configuration";
import type { Job } from "@almondusher/jobs/job";
import type { QueueTerms } from "@almondusher/jobs/queue-terms";
import type { OpenJob, PoolTables, Task } from "./pool-tables.js";

/** Terms under which a job runs. */
export type JobTerms =
    | { readonly kind: "known"; readonly terms: QueueTerms }
    /** The queue was removed, and the job was stored by an earlier version, without its terms. */
    | { readonly kind: "unknown" };

/** Whether a task may be attempted again; `unknown` if it has failed under unknown terms. */
export type AttemptsLeft = "some" | "none" | "unknown";

// Operators change terms rarely, so that few values are in use at a time.
const MAX_UNUSED_TERMS = 256;

const UNKNOWN: JobTerms = { kind: "unknown" };

/**
 * Returns the terms of a job: those of its queue while the configuration has it in this pool, and otherwise those under which
 * the job was accepted. They depend on the configuration in use and the stored job alone, so that every process finds the same.
 */
export const termsOf = (tables: PoolTables, { job }: Pick<OpenJob, "job">): JobTerms => {
    const terms = tables.queues.get(job.queue) ?? job.terms;
    return terms === undefined ? UNKNOWN : { kind: "known", terms };
};

/** Replaces the queues and tenants of the tables with those of a configuration. */
export const adoptConfiguration = (tables: PoolTables, { queues, tenants }: Configuration): void => {
    tables.queues.clear();
    queues.filter(({ pool }) => pool === tables.pool).forEach(queue => tables.queues.set(queue.name, queue));
    tables.tenants.clear();
    tenants.forEach(tenant => tables.tenants.set(tenant.name, tenant));
};

/** Returns the job with terms that all jobs with the same ones share, since a pool may have many thousand jobs. */
export const withSharedTerms = (tables: PoolTables, job: Job): Job =>
    job.terms === undefined ? job : { ...job, terms: shareTerms(tables, job.terms) };

const shareTerms = (tables: PoolTables, terms: QueueTerms): QueueTerms => {
    const key = JSON.stringify(terms);
    const known = tables.acceptedTerms.get(key);
    if (known !== undefined) {
        return known;
    }
    if (tables.acceptedTerms.size >= MAX_UNUSED_TERMS) {
        dropUnusedTerms(tables);
    }
    tables.acceptedTerms.set(key, terms);
    return terms;
};

const dropUnusedTerms = ({ acceptedTerms, jobs }: PoolTables): void => {
    const used = new Set([...jobs.values()].map(({ job }) => job.terms));
    acceptedTerms.forEach((terms, key) => {
        if (!used.has(terms)) {
            acceptedTerms.delete(key);
        }
    });
};

/** Tells from the failures of a task whether it may be attempted again. Long-running tasks are restarted however they end. */
export const attemptsLeft = (tables: PoolTables, { step, failures }: Task): AttemptsLeft => {
    if (failures === 0 || step.step.longRunning) {
        return "some";
    }
    const terms = termsOf(tables, step.job);
    switch (terms.kind) {
        case "known":
            return failures >= terms.terms.maxAttempts ? "none" : "some";
        case "unknown":
            return "unknown";
    }
};
