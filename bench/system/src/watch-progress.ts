import { TASK_CPU, type StartedRun } from "@almondusher/job-platform-stand-in/executor";
import type { FaultPeriod } from "./fault-period.js";
import type { JobDeployment } from "./job-deployment.js";
import { tasksOf, type SoakJob, type SoakTask } from "./soak-job.js";
import type { Submission } from "./submit-jobs.js";

type WatchedDeployment = Pick<JobDeployment, "store" | "executors" | "dispatchers">;

export interface ProgressWatchOptions {
    readonly deployment: WatchedDeployment;
    readonly submission: Pick<Submission, "sent" | "accepted">;
    readonly faults: Pick<FaultPeriod, "calmMs">;
}

/** Checks in the background that no task waits while there is room. */
export interface ProgressWatch {
    /** Number of samples in which a wait would have counted. */
    readonly calmSamples: () => number;
    /** Returns the tasks that waited too long, with what the stand-ins and the dispatchers recorded of them. */
    readonly stop: () => readonly string[];
}

/** A task must not wait for longer with room for it. */
const MAX_WAIT_MS = 3000;
// Bounds of time hold only after this time without a fault, and for executors that have been registered for this time.
const CONTACT_MS = 3000;
// An evacuated executor counts as room again after this time.
const MAX_EVACUATION_MS = 10_000;
const SAMPLE_INTERVAL_MS = 100;
// After a longer gap between two samples this process was late, and the waits are measured anew.
const MAX_SAMPLE_GAP_MS = 400;
// The room must suffice for the task, or for its gang, this many times.
const ROOM_FACTOR = 2;

/** Samples what the executors run and could run. */
export const watchProgress = ({ deployment, submission, faults }: ProgressWatchOptions): ProgressWatch => {
    const waitingSince = new Map<string, number>();
    const evacuatedSince = new Map<string, number>();
    const stalls = new Map<string, Stall>();
    let calmSamples = 0;
    let sampledAtMs = performance.now();
    const sample = (): void => {
        const nowMs = performance.now();
        const isLate = nowMs - sampledAtMs > MAX_SAMPLE_GAP_MS;
        sampledAtMs = nowMs;
        noteEvacuations(deployment, evacuatedSince, nowMs);
        if (isLate || faults.calmMs() < CONTACT_MS) {
            waitingSince.clear();
            return;
        }
        calmSamples++;
        const slots = freeSlots(deployment, evacuatedSince, nowMs);
        const waiting = waitingTasks(deployment, submission).filter(({ step }) => slots >= ROOM_FACTOR * slotsOf(step));
        const names = new Set(waiting.map(({ name }) => name));
        [...waitingSince.keys()].filter(name => !names.has(name)).forEach(name => waitingSince.delete(name));
        waiting.forEach(({ name }) => {
            const sinceMs = waitingSince.get(name) ?? nowMs;
            waitingSince.set(name, sinceMs);
            if (nowMs - sinceMs > MAX_WAIT_MS) {
                stalls.set(name, { sinceMs, slots, lastedMs: nowMs - sinceMs });
            }
        });
    };
    const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
    return {
        calmSamples: () => calmSamples,
        stop: () => {
            clearInterval(timer);
            return [...stalls].map(([name, stall]) => describeStall(deployment, name, stall));
        },
    };
};

/** A wait that was too long. */
interface Stall {
    /** When the wait began to count, in milliseconds of the monotonic clock. */
    readonly sinceMs: number;
    readonly lastedMs: number;
    /** Number of tasks for which there was room at its end. */
    readonly slots: number;
}

const describeStall = (deployment: WatchedDeployment, name: string, { sinceMs, lastedMs, slots }: Stall): string =>
    `${name} waited from ${toSeconds(sinceMs)} for ${toSeconds(lastedMs)} s, room for ${slots}: ${traceOf(deployment, name)}`;

const toSeconds = (ms: number): string => (ms / 1000).toFixed(2);

const slotsOf = ({ gang, count }: SoakTask["step"]): number => (gang === true ? count : 1);

/** Notes when each VM's evacuation was first seen in the fleet lease. */
const noteEvacuations = ({ store }: WatchedDeployment, evacuatedSince: Map<string, number>, nowMs: number): void => {
    const lease = store.rows("leases").find(({ key }) => key === "fleet")?.value as
        { readonly evacuations?: readonly { readonly vm: string }[] } | undefined;
    const vms = new Set((lease?.evacuations ?? []).map(({ vm }) => vm));
    [...evacuatedSince.keys()].filter(vm => !vms.has(vm)).forEach(vm => evacuatedSince.delete(vm));
    vms.forEach(vm => evacuatedSince.set(vm, evacuatedSince.get(vm) ?? nowMs));
};

/** Number of tasks that executors which are up, and not about to leave, could start. */
const freeSlots = (
    { executors }: WatchedDeployment,
    evacuatedSince: ReadonlyMap<string, number>,
    nowMs: number,
): number =>
    executors
        .filter(({ vm }) => nowMs - (evacuatedSince.get(vm) ?? Number.NEGATIVE_INFINITY) > MAX_EVACUATION_MS)
        .map(executor => executor.status())
        .filter(({ state, sinceMs }) => state === "ready" && nowMs - sinceMs > CONTACT_MS)
        .reduce((sum, { freeCpu }) => sum + Math.max(0, Math.floor(freeCpu / TASK_CPU)), 0);

/** Tasks of accepted jobs whose turn has come and that have neither run to their end nor run now. */
const waitingTasks = (
    { executors }: WatchedDeployment,
    { sent, accepted }: ProgressWatchOptions["submission"],
): readonly SoakTask[] => {
    const runs = runsByTask(executors.flatMap(({ started }) => started));
    return [...accepted].flatMap(id => {
        const job = sent.get(id);
        return job === undefined
            ? []
            : readySteps(id, job, runs)
                  .flatMap(step => tasksOf(id, job, step))
                  .filter(({ name }) => !(runs.get(name) ?? []).some(isActiveOrDone));
    });
};

type RunsByTask = ReadonlyMap<string, readonly StartedRun[]>;

const runsByTask = (runs: readonly StartedRun[]): RunsByTask => {
    const byTask = new Map<string, StartedRun[]>();
    runs.forEach(run => byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]));
    return byTask;
};

// An executor may have crashed before a scheduler has noted an end, so such a task is not judged.
const isActiveOrDone = ({ how }: StartedRun): boolean => how === undefined || how === "done";

/** Numbers of the steps that may run: all tasks of the steps before them are certainly known to be done. */
const readySteps = (id: string, job: SoakJob, runs: RunsByTask): readonly number[] => {
    const isTaskDone = ({ name }: SoakTask): boolean =>
        (runs.get(name) ?? []).some(({ how, endAcknowledged }) => how === "done" && endAcknowledged);
    // One end of a gang's member represents all of them.
    const isStepDone = (step: number): boolean =>
        job.steps[step]?.gang === true
            ? tasksOf(id, job, step).some(isTaskDone)
            : tasksOf(id, job, step).every(isTaskDone);
    return [...job.steps.entries()]
        .filter(([number, { after = [], gang }]) => after.every(isStepDone) && !(gang === true && isStepDone(number)))
        .map(([number]) => number);
};

/** Runs of the task on the executors, and the decisions that name it, in the order of their times. */
const traceOf = ({ executors, dispatchers }: WatchedDeployment, task: string): string => {
    const runs = executors.flatMap(({ id, started }) =>
        started
            .filter(run => run.task === task)
            .flatMap(({ run, startedAtMs, endedAtMs, how }) => [
                { atMs: startedAtMs, text: `${id} starts ${run}` },
                ...(endedAtMs === undefined ? [] : [{ atMs: endedAtMs, text: `${id} ends ${run} ${how}` }]),
            ]),
    );
    const decisions = dispatchers.flatMap(({ vm, log }) =>
        log
            .filter(line => line["task"] === task)
            .map(({ event, run, executor, cause, reason, how, time }) => ({
                atMs: Date.parse(String(time)) - performance.timeOrigin,
                text: `${vm} ${event} ${JSON.stringify({ run, executor, how, cause, reason })}`,
            })),
    );
    return [...runs, ...decisions]
        .sort((left, right) => left.atMs - right.atMs)
        .map(({ atMs, text }) => `${toSeconds(atMs)} ${text}`)
        .join("; ");
};
