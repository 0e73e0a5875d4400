import { toId, type DataCentreName, type PoolName, type VmId } from "@almondusher/fleet/ids";
import type { ExecutorRecord, RunReport } from "@almondusher/jobs/executor";
import type { ExecutorId, JobId, QueueName, TenantName } from "@almondusher/jobs/ids";
import type { Job, Schedule, Step } from "@almondusher/jobs/job";
import { initialProgress, type Progress } from "@almondusher/jobs/progress";
import type { QueueTerms } from "@almondusher/jobs/queue-terms";
import { admitJob } from "@almondusher/scheduler/admit-job";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import type { OrderBudget } from "@almondusher/scheduler/order-budget";
import {
    createPoolTables,
    recordLeaseHeld,
    type Executor,
    type PoolTables,
    type Run,
} from "@almondusher/scheduler/pool-tables";
import { takeGivenUpRuns } from "@almondusher/scheduler/run-table";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import { initialRunNumbers } from "@almondusher/scheduler/run-numbers";
import { applyReport, expireRuns } from "../src/apply-report.js";

const POOL = toId<PoolName>("pool");
/** Longest lease of runs in milliseconds. */
export const MAX_LEASE_MS = 6000;
/** Length of the leases that schedulers grant to runs, in milliseconds. */
export const RUN_LEASE_MS = 4000;
const STOP_TIME_MS = 200;
export const QUEUE = toId<QueueName>("queue");

/** A budget that limits nothing. */
export const UNLIMITED_BUDGET: OrderBudget = {
    isExhausted: () => false,
    allows: () => true,
    spend: () => undefined,
};

/** A budget for a number of orders to any executors. */
export const limitedBudget = (orders: number): OrderBudget => {
    let remaining = orders;
    return {
        isExhausted: () => remaining <= 0,
        allows: () => remaining > 0,
        spend: () => void remaining--,
    };
};

/** A step with one small task and the given changes. */
export const step = (change: Partial<Step> = {}): Step => ({
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
    ...change,
});

export const record = (id: string, change: Partial<ExecutorRecord> = {}): ExecutorRecord => ({
    id: toId<ExecutorId>(id),
    vm: toId<VmId>(`vm-${id}`),
    pool: POOL,
    address: "127.0.0.1:1",
    dataCentre: toId<DataCentreName>("dc"),
    draining: false,
    remainingMs: undefined,
    capacity: { cpu: 4000, memoryMb: 4000, gpu: 0 },
    labels: ["a", "r1-1"],
    startedAtMs: 1,
    clockMs: 0,
    ...change,
});

export interface PoolFixture {
    readonly executors: readonly ExecutorRecord[];
    readonly jobs?: readonly JobFixture[];
    /** When the lease was certainly held, in milliseconds of the monotonic clock; at any time if undefined. */
    readonly leaseHeldAtMs?: number;
}

export interface JobFixture {
    readonly id: string;
    readonly steps: readonly Step[];
    readonly progress?: Progress;
    readonly inherited?: boolean;
    readonly readAtMs?: number;
    readonly arrivedAtMs?: number;
    readonly schedule?: Schedule;
    readonly queue?: QueueName;
    readonly tenant?: TenantName;
    readonly terms?: QueueTerms;
}

/** Creates the tables of a pool whose executors can start runs. */
export const createPool = ({ executors, jobs = [], leaseHeldAtMs = Infinity }: PoolFixture): PoolTables => {
    const tables = createPoolTables({
        pool: POOL,
        token: 1,
        runNumbers: initialRunNumbers(1),
        maxLeaseMs: MAX_LEASE_MS,
        runLeaseMs: RUN_LEASE_MS,
        stopTimeMs: STOP_TIME_MS,
    });
    tables.queues.set(QUEUE, {
        name: QUEUE,
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
    });
    tables.isProgressCurrent = true;
    recordLeaseHeld(tables, leaseHeldAtMs);
    applyRegistry(tables, executors, 0);
    tables.executors.forEach(executor => {
        executor.reconciled = true;
        executor.listedInLease = true;
    });
    jobs.forEach(job => addJob(tables, job));
    return tables;
};

export const addJob = (
    tables: PoolTables,
    { id, steps, progress, inherited, arrivedAtMs, readAtMs, schedule, queue, tenant, terms }: JobFixture,
): void => {
    const job: Job = {
        id: toId<JobId>(id),
        queue: queue ?? QUEUE,
        pool: POOL,
        spec: "text",
        steps,
        schedule,
        tenant,
        terms,
        acceptedAtMs: 0,
    };
    admitJob(
        tables,
        {
            job,
            progress: progress ?? initialProgress,
            progressVersion: 1,
            arrivedAtMs: arrivedAtMs ?? 0,
            readAtMs: readAtMs ?? 0,
            inherited: inherited ?? false,
        },
        0,
    );
};

export const place = (tables: PoolTables, nowMs = 0): readonly Run[] =>
    placeTasks(tables, { nowMs, budget: UNLIMITED_BUDGET, executorsWithTicket: () => undefined });

export const executorOf = (tables: PoolTables, id: string): Executor => {
    const executor = tables.executors.get(toId<ExecutorId>(id));
    if (executor === undefined) {
        throw new Error(`no executor ${id}`);
    }
    return executor;
};

/** Gives up runs after a poll that was sent at the given time got no answer. */
export const expireAfterPoll = (tables: PoolTables, executor: Executor, pollSentAtMs: number): readonly Run[] => {
    executor.unansweredPollSentAtMs = pollSentAtMs;
    expireRuns(tables, executor, pollSentAtMs);
    return takeGivenUpRuns(tables).map(({ run }) => run);
};

const report = (change: Partial<RunReport> = {}): RunReport => ({
    clockMs: 1000,
    startedAtMs: 1,
    active: [],
    ended: [],
    endsTruncated: false,
    ...change,
});

/** Applies a report that was requested at the given time and received 5 ms later. */
export const receiveReport = (
    tables: PoolTables,
    id: string,
    change: Partial<RunReport>,
    sentAtMs = 100,
): ReturnType<typeof applyReport> =>
    applyReport(tables, executorOf(tables, id), report(change), { sentAtMs, receivedAtMs: sentAtMs + 5 });
