import { isWaiting, stepsOf, type OpenJob, type OpenStep, type PoolTables } from "./pool-tables.js";
import { learnedRunMs, longestRunMs } from "./learned-times.js";
import { isJobEnded, isReady } from "./job-progress.js";
import { termsOf } from "./job-terms.js";
import { stepsBeyondShare } from "./steps-beyond-share.js";

/** A step that may start tasks now, with its sort criteria. */
export interface RankedStep {
    readonly step: OpenStep;
    /** The job would miss its objective; false for long-running steps and those without an objective. */
    readonly isLate: boolean;
    readonly priority: number;
    /** Latest start of its next task for the job to be on time, in milliseconds of the monotonic clock. */
    readonly latestStartMs: number;
}

// Work of unknown priority keeps no other work waiting.
const UNKNOWN_PRIORITY = Number.MAX_SAFE_INTEGER;
// A job counts as late only if it would miss its objective by more than this, since run times are estimates.
const LATE_MARGIN_MS = 100;
const PATH_REFRESH_MS = 500;

/** Expected run time of one task of the step, in milliseconds. */
export const expectedRunMs = (tables: PoolTables, step: OpenStep): number => learnedRunMs(tables, step);

/** Steps that may start tasks and that the filter accepts, in the order in which they are placed. */
export const orderSteps = (
    tables: PoolTables,
    nowMs: number,
    accepts: (step: OpenStep) => boolean,
): readonly RankedStep[] => {
    const ranked = [...tables.jobs.values()]
        .filter(job => !isJobEnded(job))
        .flatMap(job =>
            rankSteps(
                tables,
                job,
                stepsOf(job).filter(step => accepts(step) && isReady(step) && step.tasks.some(isWaiting)),
                nowMs,
            ),
        )
        .sort(compareSteps);
    const beyondShare = stepsBeyondShare(
        tables,
        ranked.map(({ step }) => step),
        { nowMs, runMsOf: step => expectedRunMs(tables, step) },
    );
    const rankOf = ({ step }: RankedStep): number => Number(beyondShare.has(step));
    return beyondShare.size === 0
        ? ranked
        : ranked.sort(
              (left, right) =>
                  compareClasses(left, right) ||
                  rankOf(left) - rankOf(right) ||
                  left.latestStartMs - right.latestStartMs,
          );
};

const compareSteps = (left: RankedStep, right: RankedStep): number =>
    compareClasses(left, right) || left.latestStartMs - right.latestStartMs;

const compareClasses = (left: RankedStep, right: RankedStep): number =>
    Number(right.step.step.longRunning) - Number(left.step.step.longRunning) ||
    left.priority - right.priority ||
    Number(left.isLate) - Number(right.isLate);

// The objective takes all steps of the job into account, so it is determined once for those that are ranked.
const rankSteps = (
    tables: PoolTables,
    job: OpenJob,
    steps: readonly OpenStep[],
    nowMs: number,
): readonly RankedStep[] => {
    const priority = priorityOf(tables, job);
    const isTimed = steps.some(({ step }) => !step.longRunning);
    const objectiveMs = isTimed ? completionObjectiveMs(tables, job, nowMs) : undefined;
    return steps.map(step => {
        // Without an objective, jobs are placed in the order of their arrival.
        if (objectiveMs === undefined || step.step.longRunning) {
            return { step, isLate: false, priority, latestStartMs: job.arrivedAtMs };
        }
        const latestStartMs = objectiveMs - criticalPathMs(tables, step, nowMs);
        return { step, isLate: latestStartMs + LATE_MARGIN_MS < nowMs, priority, latestStartMs };
    });
};

const priorityOf = (tables: PoolTables, job: OpenJob): number => {
    const terms = termsOf(tables, job);
    switch (terms.kind) {
        case "known":
            return terms.terms.priority;
        case "unknown":
            return UNKNOWN_PRIORITY;
    }
};

/**
 * Time by which a job without a schedule must end to be on time, in milliseconds of the monotonic clock. Undefined if its
 * terms are unknown.
 */
export const completionObjectiveMs = (tables: PoolTables, job: OpenJob, nowMs: number): number | undefined => {
    const terms = termsOf(tables, job);
    switch (terms.kind) {
        case "known": {
            const { stretch, graceMs } = terms.terms;
            const steps = job.occurrences.values().next().value ?? [];
            const longestPathMs = Math.max(0, ...steps.map(step => criticalPathMs(tables, step, nowMs)));
            return job.arrivedAtMs + stretch * longestPathMs + graceMs;
        }
        case "unknown":
            return undefined;
    }
};

// Expected time from the start of a step to the end of the longest chain of steps that depend on it. Estimates are
// reused for a while, since each pass ranks all waiting steps.
const criticalPathMs = (tables: PoolTables, step: OpenStep, nowMs: number): number => {
    const known = step.criticalPath;
    if (known !== undefined && nowMs - known.estimatedAtMs < PATH_REFRESH_MS) {
        return known.pathMs;
    }
    estimateCriticalPaths(tables, step.job.occurrences.get(step.occurrence) ?? [], nowMs);
    return step.criticalPath?.pathMs ?? 0;
};

// Steps depend only on earlier ones, so the path of a step is complete before that of a step on which it depends.
const estimateCriticalPaths = (tables: PoolTables, steps: readonly OpenStep[], nowMs: number): void => {
    const longestAfterMs = new Map<number, number>();
    steps.toReversed().forEach(step => {
        const pathMs = longestRunMs(tables, step) + (longestAfterMs.get(step.index) ?? 0);
        step.criticalPath = { pathMs, estimatedAtMs: nowMs };
        step.step.after.forEach(earlier =>
            longestAfterMs.set(earlier, Math.max(longestAfterMs.get(earlier) ?? 0, pathMs)),
        );
    });
};
