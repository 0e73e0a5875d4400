import type { RunEnd } from "@almondusher/jobs/executor";
import { kindOf } from "@almondusher/run-times/run-kind";
import {
    expectedLongestMs,
    expectedMs,
    expectedMsAtAge,
    learnFinishedRun,
    learnUnfinishedRun,
    observeActiveRuns,
    quantileMs,
    type RunSubject,
} from "@almondusher/run-times/run-time-model";
import type { Executor, OpenStep, PoolTables, Run } from "./pool-tables.js";
import { allRuns } from "./run-table.js";

/** What was expected of a run when it was placed, in milliseconds. */
export interface RunTimePrediction {
    readonly expectedMs: number;
    /** Nine of ten such runs were expected to end within this time. */
    readonly highMs: number;
}

// Share of the runs that end within the high estimate.
const HIGH_SHARE = 0.9;

// The kind of a step never changes, and estimates are needed in each pass.
const subjects = new WeakMap<OpenStep, RunSubject>();
const predictions = new WeakMap<Run, RunTimePrediction>();

/** Expected run time of one task of the step near to its data, in milliseconds. */
export const learnedRunMs = ({ runTimes }: PoolTables, step: OpenStep): number => expectedMs(runTimes, subjectOf(step));

/** The run time within which nine of ten tasks like those of the step end near to their data, in milliseconds. */
export const highRunMs = ({ runTimes }: PoolTables, step: OpenStep): number =>
    quantileMs(runTimes, subjectOf(step), HIGH_SHARE);

/** Expected run time of the longest task of the step, in milliseconds. */
export const longestRunMs = ({ runTimes }: PoolTables, step: OpenStep): number =>
    expectedLongestMs(runTimes, subjectOf(step), step.step.count);

/** Expected run time of a run from its start to its end where it runs, given its age, in milliseconds. */
export const runMsAtAge = (tables: PoolTables, run: Run, ageMs: number): number => {
    const factor = slowdownOf(tables, run);
    return expectedMsAtAge(tables.runTimes, subjectOf(run.task.step), ageMs / factor) * factor;
};

/** Keeps what is expected of a run that was just placed. */
export const recordPrediction = (tables: PoolTables, run: Run): void => {
    const { step } = run.task;
    if (!step.step.longRunning && run.resumedFrom === "") {
        const factor = slowdownOf(tables, run);
        predictions.set(run, {
            expectedMs: learnedRunMs(tables, step) * factor,
            highMs: highRunMs(tables, step) * factor,
        });
    }
};

/** What was expected of a run; undefined if it was not placed by this process, or has only a part of the work to do. */
export const predictionOf = (run: Run): RunTimePrediction | undefined => predictions.get(run);

/**
 * Learns from an ended run. One that resumed from a checkpoint, or that an earlier holder started, is left out: it did an
 * unknown share of the work. So is one that lapsed or broke, which says something of its executor only.
 */
export const learnFromEnd = (tables: PoolTables, run: Run, how: RunEnd, nowMs: number): void => {
    const { step } = run.task;
    if (run.resumedFrom !== "" || step.step.longRunning) {
        return;
    }
    const ageMs = (nowMs - run.startedAtMs) / slowdownOf(tables, run);
    switch (how) {
        case "done":
            // A run that is being stopped may have ended in the middle of its work.
            if (run.phase === "running") {
                learnFinishedRun(tables.runTimes, subjectOf(step), ageMs);
            }
            return;
        case "failed":
        case "stopped":
            learnUnfinishedRun(tables.runTimes, subjectOf(step), ageMs);
            return;
        case "lapsed":
        case "broken":
        case "alone":
            return;
    }
};

/** Takes the runs into account that still go on. Those on executors that do not respond may have ended. */
export const learnFromActive = (tables: PoolTables, nowMs: number): void =>
    observeActiveRuns(
        tables.runTimes,
        allRuns(tables)
            .filter(
                ({ phase, resumedFrom, executor, task }) =>
                    phase === "running" && resumedFrom === "" && executor.reachable && !task.step.step.longRunning,
            )
            .map(run => ({
                kind: subjectOf(run.task.step).kind,
                ageMs: (nowMs - run.startedAtMs) / slowdownOf(tables, run),
            })),
    );

// How many times as long a run takes because it is far from its data or from the other members of its gang. The factor is
// the platform's.
const slowdownOf = (tables: PoolTables, { task, executor }: Run): number =>
    isFarFromData(task.step, executor) || isSplitGang(task.step, executor) ? tables.farFactor : 1;

const isFarFromData = ({ step }: OpenStep, { rack }: Executor): boolean =>
    step.dataRack !== undefined && rack !== step.dataRack;

const isSplitGang = ({ step, tasks }: OpenStep, { rack }: Executor): boolean =>
    step.gang && step.sameRack && tasks.some(({ runs }) => runs.some(run => run.executor.rack !== rack));

const subjectOf = (step: OpenStep): RunSubject => {
    const known = subjects.get(step);
    if (known !== undefined) {
        return known;
    }
    const subject = { kind: kindOf(step.job.job, step.step), step };
    subjects.set(step, subject);
    return subject;
};
