import type { OpenJob, OpenStep, PoolTables } from "./pool-tables.js";
import { estimateRunTime } from "./run-times.js";
import { isReady } from "./job-progress.js";
import { isJobEnded } from "./apply-report.js";

/** A step that may start tasks now, with its sort criteria. */
export interface RankedStep {
    readonly step: OpenStep;
    readonly class: "longRunning" | "on-time" | "late";
    readonly priority: number;
    /** Latest start of its next task for the job to be on time, in milliseconds of the monotonic clock. */
    readonly latestStartMs: number;
}

// A job counts as late only if it would miss its objective by more than this, since run times are estimates.
const LATE_MARGIN_MS = 100;
// Relative spread of the run times within a step: the longest of many tasks takes longer than the mean.
const RUN_TIME_SPREAD = 0.25;

/** Expected run time of one task of the step, in milliseconds. */
export const expectedRunMs = (tables: PoolTables, { step, job }: OpenStep): number =>
    estimateRunTime(tables.runTimes, job.queue, step.estimateMs);

/** Steps that may start tasks, in the order in which they are placed. */
export const orderSteps = (tables: PoolTables, nowMs: number): readonly RankedStep[] =>
    [...tables.jobs.values()]
        .filter(job => !isJobEnded(job))
        .flatMap(job => [...job.occurrences.values()].flat())
        .filter(step => isReady(step) && step.tasks.some(task => !task.done && task.runs.length === 0))
        .map(step => rankStep(tables, step, nowMs))
        .sort(compareSteps);

const CLASS_ORDER: Readonly<Record<RankedStep["class"], number>> = { longRunning: 0, "on-time": 1, late: 2 };

const compareSteps = (left: RankedStep, right: RankedStep): number =>
    left.priority - right.priority ||
    CLASS_ORDER[left.class] - CLASS_ORDER[right.class] ||
    left.latestStartMs - right.latestStartMs;

const rankStep = (tables: PoolTables, step: OpenStep, nowMs: number): RankedStep => {
    const queue = tables.queues.get(step.job.queue);
    const priority = queue?.priority ?? 0;
    if (step.step.longRunning) {
        return { step, class: "longRunning", priority, latestStartMs: step.job.arrivedAtMs };
    }
    const pathMs = criticalPathMs(tables, step.job, step.occurrence, step.index);
    const latestStartMs = completionObjective(tables, step.job).objectiveMs - pathMs;
    return { step, class: latestStartMs + LATE_MARGIN_MS < nowMs ? "late" : "on-time", priority, latestStartMs };
};

/** Time by which a job without a schedule must end to be on time, in milliseconds of the monotonic clock. */
export const completionObjective = (tables: PoolTables, job: OpenJob): { readonly objectiveMs: number } => {
    const queue = tables.queues.get(job.queue);
    const occurrence = [...job.occurrences.keys()][0] ?? 0;
    const pathsMs = job.job.steps.map((unused, index) => criticalPathMs(tables, job, occurrence, index));
    return { objectiveMs: job.arrivedAtMs + (queue?.stretch ?? 1) * Math.max(0, ...pathsMs) + (queue?.graceMs ?? 0) };
};

// Expected time from the start of a step to the end of the longest chain of steps that depend on it.
const criticalPathMs = (tables: PoolTables, job: OpenJob, occurrence: number, index: number): number => {
    const steps = job.occurrences.get(occurrence) ?? [];
    const step = steps[index];
    const dependents = steps.filter(candidate => candidate.step.after.includes(index));
    const dependentPathsMs = dependents.map(candidate => criticalPathMs(tables, job, occurrence, candidate.index));
    return (step === undefined ? 0 : expectedStepMs(tables, step)) + Math.max(0, ...dependentPathsMs);
};

// Expected run time of the longest task of the step.
const expectedStepMs = (tables: PoolTables, step: OpenStep): number =>
    expectedRunMs(tables, step) * (1 + RUN_TIME_SPREAD * Math.sqrt(Math.log(step.step.count)));
