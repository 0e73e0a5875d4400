import { parseTaskName } from "@almondusher/job-platform-stand-in/task-name";
import type { Draw } from "./draw.js";

/** A step of a job as clients submit it. */
export interface SoakStep {
    readonly count: number;
    readonly cpu: number;
    readonly mem_mb: number;
    readonly est_duration_ms: number;
    /** Numbers of the earlier steps whose tasks must all be done first. */
    readonly after?: readonly number[];
    readonly gang?: boolean;
    readonly long_running?: boolean;
}

/** A job as clients submit it. */
export interface SoakJob {
    readonly spec: string;
    readonly steps: readonly SoakStep[];
}

/** A task of a job. */
export interface SoakTask {
    readonly name: string;
    readonly step: SoakStep;
}

const TASK = { cpu: 1000, mem_mb: 100, est_duration_ms: 1500 } as const;

/** Returns a job with one step of the given number of tasks. */
export const plainJob = (count: number): SoakJob => ({
    spec: "text",
    steps: [{ count, cpu: 1000, mem_mb: 100, est_duration_ms: 150 }],
});

/** Draws a job of several steps, some of them gangs or long-running. */
export const drawMixedJob = (draw: Draw, mayLast: boolean): SoakJob => {
    const kinds = ["plain", "steps", "gang", "steps-and-gang", ...(mayLast ? (["lasting"] as const) : [])] as const;
    return { spec: "text", steps: drawSteps(kinds[draw(0, kinds.length - 1)] ?? "plain", draw) };
};

const drawSteps = (kind: "plain" | "steps" | "gang" | "steps-and-gang" | "lasting", draw: Draw): SoakStep[] => {
    const first = { ...TASK, count: draw(1, 3) };
    switch (kind) {
        case "plain":
            return [first];
        case "steps":
            return [first, { ...TASK, count: draw(1, 3), after: [0] }, { ...TASK, count: draw(1, 2), after: [0, 1] }];
        case "gang":
            return [{ ...TASK, count: draw(2, 4), gang: true }];
        case "steps-and-gang":
            return [first, { ...TASK, count: draw(1, 2) }, { ...TASK, count: draw(2, 3), gang: true, after: [0, 1] }];
        case "lasting":
            return [first, { ...TASK, count: draw(1, 2), long_running: true, after: [0] }];
    }
};

/** True for a job with a step whose tasks run until the job is cancelled. */
export const isLasting = ({ steps }: SoakJob): boolean => steps.some(step => step.long_running === true);

/** Tasks of a step. */
export const tasksOf = (id: string, { steps }: SoakJob, stepNumber: number): readonly SoakTask[] => {
    const step = steps[stepNumber];
    return step === undefined
        ? []
        : Array.from({ length: step.count }, (unused, index) => ({ name: `${id}.0.${stepNumber}.${index}`, step }));
};

/** The step of a task, by the jobs that were submitted. */
export const stepOfTask = (jobs: ReadonlyMap<string, SoakJob>, task: string): SoakStep | undefined => {
    const { job, step } = parseTaskName(task);
    return jobs.get(job)?.steps[step];
};
