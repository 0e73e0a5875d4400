import { toId, type DataCentreName, type PoolName, type VmId } from "@almondusher/fleet/ids";
import type { Queue } from "@almondusher/jobs/configuration";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId, JobId, QueueName } from "@almondusher/jobs/ids";
import type { Step } from "@almondusher/jobs/job";
import { initialProgress } from "@almondusher/jobs/progress";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { openTask } from "@almondusher/scheduler/open-tasks";
import {
    createPoolTables,
    stepsOf,
    type OpenJob,
    type PoolTables,
    type Task,
} from "@almondusher/scheduler/pool-tables";
import { initialRunNumbers } from "@almondusher/scheduler/run-numbers";

export const POOL = toId<PoolName>("pool-a");
/** Length of the leases that the scheduler grants to runs, in milliseconds. */
export const RUN_LEASE_MS = 4000;

/** A queue of the pool without advice. */
export const QUEUE: Queue = {
    name: toId<QueueName>("queue-1"),
    host: "host",
    prefix: "/q/",
    pool: POOL,
    priority: 0,
    maxAttempts: 2,
    stretch: 2,
    graceMs: 500,
    timeoutMs: 3000,
    advice: undefined,
    isPublic: false,
};

/** A step of one task without requirements. */
export const STEP: Step = {
    count: 1,
    demand: { cpu: 1000, memoryMb: 100, gpu: 0 },
    estimateMs: 1000,
    after: [],
    checkpointing: false,
    gang: false,
    sameRack: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maxPerExecutor: undefined,
    speculative: false,
    longRunning: false,
    image: undefined,
    latencyTargetMs: undefined,
    backfill: false,
    disruptionBudget: undefined,
};

/** Registry record of an executor on a VM of its own. */
export const executorRecord = (id: string, change: Partial<ExecutorRecord> = {}): ExecutorRecord => ({
    id: toId<ExecutorId>(id),
    vm: toId<VmId>(`vm-${id}`),
    pool: POOL,
    address: "127.0.0.1:1",
    dataCentre: toId<DataCentreName>("dc"),
    draining: false,
    remainingMs: undefined,
    capacity: { cpu: 4000, memoryMb: 4000, gpu: 0 },
    labels: [],
    startedAtMs: 1,
    clockMs: 0,
    ...change,
});

/** Empty tables of the pool under the first token. */
export const emptyTables = (): PoolTables =>
    createPoolTables({
        pool: POOL,
        token: 1,
        runNumbers: initialRunNumbers(1),
        maxLeaseMs: 6000,
        runLeaseMs: RUN_LEASE_MS,
        stopTimeMs: 200,
    });

/** Adds a job with one step from before a takeover at time 0. */
export const addInheritedJob = (tables: PoolTables, id: JobId, tasks: number): void =>
    admitJob(
        tables,
        {
            job: {
                id,
                queue: toId<QueueName>("queue-1"),
                pool: POOL,
                spec: "",
                steps: [{ ...STEP, count: tasks }],
                schedule: undefined,
                tenant: undefined,
                terms: undefined,
                acceptedAtMs: 0,
            },
            progress: initialProgress,
            progressVersion: 1,
            arrivedAtMs: 0,
            readAtMs: 0,
            inherited: true,
        },
        0,
    );

/** Opens all tasks of the open occurrences of a job, of which a scheduler opens those that may start soon. */
export const openAllTasks = (job: OpenJob): readonly Task[] =>
    stepsOf(job).flatMap(step =>
        Array.from({ length: step.step.count }, (unused, index) => openTask(step, index)).filter(
            task => task !== undefined,
        ),
    );
