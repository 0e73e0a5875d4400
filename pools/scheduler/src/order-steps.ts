import type { OpenStep, PoolTables } from "./pool-tables.js";
import { isReady } from "./job-progress.js";
import { isEnded } from "./settle-run.js";

/** A step that may start tasks now, with what decides its turn. */
export interface RankedStep {
    readonly step: OpenStep;
    readonly class: "lasting" | "on-time" | "late";
    readonly priority: number;
    /** Steady time by which its next task must start for the job to be on time, in milliseconds. */
    readonly latestStartMs: number;
}

// A job counts as late only when it would miss its objective by more than this, since run times are guesses.
const LATE_MARGIN_MS = 250;
const DEFAULT_RUN_MS = 1000;

/** Expected run time of a task of the step: between what the client declared and what its queue showed. */
export const expectedRunMs = (tables: PoolTables, { step, job }: OpenStep): number => {
    const declaredMs = step.estimateMs;
    const seen = tables.runTimes.get(job.queue);
    if (seen === undefined) {
        return declaredMs > 0 ? declaredMs : DEFAULT_RUN_MS;
    }
    return declaredMs > 0 ? Math.sqrt(declaredMs * seen.meanMs) : seen.meanMs;
};

/** Steps that may start tasks, in the order in which they get room. */
export const orderSteps = (tables: PoolTables, nowMs: number): readonly RankedStep[] =>
    [...tables.jobs.values()]
        .filter(job => !isEnded(job))
        .flatMap(job => [...job.occurrences.values()].flat())
        .filter(step => isReady(step) && step.tasks.some(task => !task.done && task.runs.length === 0))
        .map(step => rankStep(tables, step, nowMs))
        .sort(compareSteps);

const CLASS_ORDER: Readonly<Record<RankedStep["class"], number>> = { lasting: 0, "on-time": 1, late: 2 };

const compareSteps = (left: RankedStep, right: RankedStep): number =>
    left.priority - right.priority ||
    CLASS_ORDER[left.class] - CLASS_ORDER[right.class] ||
    left.latestStartMs - right.latestStartMs;

const rankStep = (tables: PoolTables, step: OpenStep, nowMs: number): RankedStep => {
    const queue = tables.queues.get(step.job.queue);
    const priority = queue?.priority ?? 0;
    if (step.step.longRunning) {
        return { step, class: "lasting", priority, latestStartMs: step.job.arrivedAtMs };
    }
    const chainMs = longestChainMs(tables, step, step.index);
    const wholeMs = Math.max(...step.job.job.steps.map((unused, index) => longestChainMs(tables, step, index)));
    const objectiveMs = step.job.arrivedAtMs + (queue?.stretch ?? 1) * wholeMs + (queue?.graceMs ?? 0);
    const latestStartMs = objectiveMs - chainMs;
    return { step, class: latestStartMs + LATE_MARGIN_MS < nowMs ? "late" : "on-time", priority, latestStartMs };
};

// Expected time from the start of a step to the end of everything that waits for it.
const longestChainMs = (tables: PoolTables, within: OpenStep, index: number): number => {
    const steps = within.job.occurrences.get(within.occurrence) ?? [];
    const step = steps[index];
    const later = steps.filter(candidate => candidate.step.after.includes(index));
    const restMs = later.map(candidate => longestChainMs(tables, within, candidate.index));
    return (step === undefined ? 0 : expectedRunMs(tables, step)) + Math.max(0, ...restMs);
};
