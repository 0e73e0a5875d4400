import type { JobId } from "@almondusher/jobs/ids";
import { closeJob } from "@almondusher/scheduler/admit-job";
import { learnFromEnd } from "@almondusher/scheduler/learned-times";
import { allRuns, forgetRun } from "@almondusher/scheduler/run-table";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import { addJob, createPool, place, QUEUE, record, step } from "./fixture.js";

/** A turn of demand on a pool. */
export interface Turn {
    readonly executors: number;
    /** Executors that go away in the middle of the turn. */
    readonly lostExecutors: number;
    readonly arrivalsPerSecond: number;
    /** What tasks really take, as a multiple of what is declared, by number of the job. */
    readonly slownessOf: (job: number) => number;
    /** False for the order by latest start alone. */
    readonly selects: boolean;
}

/** What the caller of a job got. */
export interface Outcome {
    /** Time from its arrival until its end, in milliseconds. */
    readonly tookMs: number;
    readonly objectiveMs: number;
    /** Its work, in core-seconds. */
    readonly work: number;
}

const TURN_MS = 4500;
const AFTER_TURN_SHARE = 0.01;
const END_MS = 60_000;
const PASS_INTERVAL_MS = 20;
// Orders and reports are on their way for this long in all.
const WAY_MS = 60;
const TASK_MS = 640;
const TASK_CPU = 3100;
const GRACE_MS = 600;

/** Plays a turn until all its jobs have ended; with the same numbers each time. */
export const playTurn = (turn: Turn): readonly Outcome[] => {
    const executors = Array.from({ length: turn.executors }, (unused, index) =>
        record(`e${index}`, { capacity: { cpu: 32_000, memoryMb: 64_000, gpu: 0 } }),
    );
    const tables = createPool({ executors });
    const queue = tables.queues.get(QUEUE);
    if (queue !== undefined) {
        tables.queues.set(QUEUE, { ...queue, stretch: 1, graceMs: GRACE_MS });
    }
    if (!turn.selects) {
        tables.selection.nextAtMs = Infinity;
    }
    const outcomes: Outcome[] = [];
    let arrived = 0;
    let due = 0;
    for (let nowMs = 0; nowMs < END_MS && (nowMs < TURN_MS || tables.jobs.size > 0); nowMs += PASS_INTERVAL_MS) {
        endRuns(tables, turn, nowMs, outcomes);
        if (nowMs === TURN_MS / 2 - ((TURN_MS / 2) % PASS_INTERVAL_MS)) {
            [...tables.executors.values()].slice(0, turn.lostExecutors).forEach(executor => {
                executor.record = { ...executor.record, draining: true };
            });
        }
        due += (turn.arrivalsPerSecond * (nowMs < TURN_MS ? 1 : AFTER_TURN_SHARE) * PASS_INTERVAL_MS) / 1000;
        for (; arrived < due; arrived++) {
            addJob(tables, jobOf(arrived, nowMs));
        }
        place(tables, nowMs);
    }
    return outcomes;
};

// Nearly log-normal, with the same share of large jobs in any part of a turn: a mean of 8 and one in ten above 15.
const tasksOf = (number: number): number => {
    const quantile = ((number + 0.5) * 0.618034) % 1;
    return Math.max(1, Math.round(6.4 * (quantile / (1 - quantile)) ** 0.4));
};

const jobOf = (number: number, arrivedAtMs: number): Parameters<typeof addJob>[1] => {
    const part = { count: tasksOf(number), estimateMs: TASK_MS };
    const first = step({ ...part, demand: { cpu: TASK_CPU, memoryMb: 100, gpu: 0 } });
    return {
        id: `${number}`,
        steps: number % 5 < 3 ? [first, { ...first, after: [0] }] : [first],
        arrivedAtMs,
        readAtMs: arrivedAtMs,
    };
};

const runMsOf = (turn: Turn, job: JobId): number => TASK_MS * turn.slownessOf(Number(job));

const endRuns = (tables: PoolTables, turn: Turn, nowMs: number, outcomes: Outcome[]): void => {
    allRuns(tables)
        .filter(({ startedAtMs, task }) => nowMs - startedAtMs >= runMsOf(turn, task.step.job.id) + WAY_MS)
        .forEach(run => {
            const { job } = run.task.step;
            run.phase = "running";
            learnFromEnd(tables, run, "done", nowMs);
            forgetRun(run);
            run.task.done = true;
            run.task.step.remaining--;
            const steps = [...job.occurrences.values()].flat();
            if (steps.every(({ remaining }) => remaining === 0)) {
                closeJob(tables, job);
                outcomes.push({
                    tookMs: nowMs - job.arrivedAtMs,
                    objectiveMs: steps.length * runMsOf(turn, job.id) + GRACE_MS,
                    work: steps.reduce((sum, { tasks }) => sum + (tasks.length * TASK_CPU * TASK_MS) / 1e6, 0),
                });
            }
        });
};
