import { occurrencesOf, stepIdOf, taskIdOf, type Job, type Step } from "@almondusher/jobs/job";
import type { ExecutorId, JobId, TaskId } from "@almondusher/jobs/ids";
import { findTask, type OpenJob, type OpenStep, type PoolTables, type Task } from "./pool-tables.js";

/** Creates the steps of the occurrences that are due; returns true if there is a new one. */
export const openDueOccurrences = (open: OpenJob, wallMs: number): boolean => {
    const due = Array.from({ length: occurrencesOf(open.job) }, (unused, occurrence) => occurrence)
        .filter(occurrence => !open.occurrences.has(occurrence))
        .filter(occurrence => dueAtMs(open.job, occurrence) <= wallMs);
    due.forEach(occurrence => open.occurrences.set(occurrence, openSteps(open, occurrence)));
    return due.length > 0;
};

/** Unix time in milliseconds at which an occurrence may start; 0 for a job without a schedule. */
const dueAtMs = ({ schedule }: Job, occurrence: number): number =>
    schedule === undefined ? 0 : schedule.firstRunMs + occurrence * schedule.intervalMs;

const openSteps = (job: OpenJob, occurrence: number): readonly OpenStep[] =>
    job.job.steps.map((step, index) => openStep(job, occurrence, step, index));

const openStep = (job: OpenJob, occurrence: number, step: Step, index: number): OpenStep => {
    const id = stepIdOf(job.id, occurrence, index);
    const tasks: Task[] = [];
    const open: OpenStep = { id, job, occurrence, index, step, tasks, remaining: step.count, criticalPath: undefined };
    tasks.push(
        ...Array.from({ length: step.count }, (unused, taskIndex) => ({
            id: taskIdOf(id, taskIndex),
            step: open,
            index: taskIndex,
            done: false,
            failures: 0,
            failedRuns: new Set<number>(),
            countedUpToRun: 0,
            checkpoint: "",
            givenUpAtMs: Number.NEGATIVE_INFINITY,
            reservation: undefined,
            runs: [],
            failedOn: new Set<ExecutorId>(),
        })),
    );
    return open;
};

/** Creates the steps of an occurrence. */
export const addOccurrence = (job: OpenJob, occurrence: number): readonly OpenStep[] => {
    const steps = openSteps(job, occurrence);
    job.occurrences.set(occurrence, steps);
    return steps;
};

/**
 * Finds a task of which an executor lists a run or an end; undefined unless its job is open. That shows that its occurrence
 * was due for an earlier holder of the pool lease, even if this process's clock is behind.
 */
export const findReportedTask = (tables: PoolTables, id: TaskId): Task | undefined => {
    const [jobId, number] = id.split(".");
    const job = tables.jobs.get(jobId as JobId);
    const occurrence = Number(number);
    if (job !== undefined && !job.occurrences.has(occurrence) && isOccurrenceOf(job.job, occurrence)) {
        addOccurrence(job, occurrence);
    }
    return findTask(tables, id);
};

/** True for the number of an occurrence that the job has. */
export const isOccurrenceOf = (job: Job, occurrence: number): boolean =>
    Number.isInteger(occurrence) && occurrence >= 0 && occurrence < occurrencesOf(job);
