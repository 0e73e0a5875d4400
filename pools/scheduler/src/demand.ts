import type { VmId } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import { expectedRunMs, completionObjectiveMs } from "./order-steps.js";
import { demandOf, maxOfEach } from "./resources.js";
import { remainingRunMs } from "./remaining-time.js";
import { isJobEnded } from "./job-progress.js";
import { stepsOf, type Executor, type OpenJob, type OpenStep, type PoolTables, type Task } from "./pool-tables.js";

/** Number of VMs that a pool needs, and which ones it can release. */
export interface PoolDemand {
    /** Number of VMs needed for the current work. */
    readonly neededVms: number;
    /** Highest number of needed VMs within the recent window. */
    readonly wantedVms: number;
    /** VMs without long-running tasks; those that lose no work come first, then those with the fewest runs. */
    readonly removable: readonly VmId[];
    /** VMs whose tasks would lose work, since they neither end during an evacuation nor write checkpoints. */
    readonly losing: readonly VmId[];
}

/** Tasks that are expected to end within this time may finish on a VM that is being evacuated, in milliseconds. */
export const EVACUATION_WINDOW_MS = 2500;
// Losing less work than this is acceptable, since it is quickly repeated.
const NEGLIGIBLE_LOSS_MS = 500;

/** Recently arrived work and recent estimates of a pool, from which its demand is estimated. */
export interface DemandHistory {
    arrivals: readonly Arrival[];
    /** Estimates within the recent window, so that a short pause releases no VMs. */
    wanted: readonly WantedVms[];
}

interface Arrival extends TenantCpu {
    /** End of the time over which the job's work is spread, in milliseconds of the monotonic clock. */
    readonly untilMs: number;
}

/** CPU that the work of a job takes when it is spread evenly over the time for it. */
interface TenantCpu {
    readonly tenant: TenantName | undefined;
    /** In thousandths of a core. */
    readonly cpu: number;
}

interface WantedVms {
    readonly atMs: number;
    readonly vms: number;
}

// Tasks don't fill executors completely, so the VM count is planned for this utilisation.
const TARGET_UTILISATION = 0.85;
// A pool keeps the VMs that it needed within this time.
const WANTED_WINDOW_MS = 2500;
const MIN_VMS = 2;
// The work of an arrived job is spread over this share of the time until its completion objective.
const SPREAD_SHARE = 0.5;
const MIN_SPREAD_MS = 800;
// Work of jobs that already miss their objective, or have none, is spread over a longer time.
const LATE_SPREAD_MS = 8000;

export const createDemandHistory = (): DemandHistory => ({ arrivals: [], wanted: [] });

/** Records the work of an arrived job. */
export const recordArrival = (tables: PoolTables, history: DemandHistory, job: OpenJob, nowMs: number): void => {
    const objectiveMs = completionObjectiveMs(tables, job, nowMs);
    const spreadMs =
        objectiveMs === undefined
            ? LATE_SPREAD_MS
            : Math.max(MIN_SPREAD_MS, (objectiveMs - job.arrivedAtMs) * SPREAD_SHARE);
    const work = runToCompletionSteps(job).reduce((sum, step) => sum + remainingWork(tables, step), 0);
    history.arrivals = [
        ...history.arrivals,
        { untilMs: nowMs + spreadMs, tenant: job.job.tenant, cpu: work / spreadMs },
    ];
};

/**
 * Estimates how many VMs the pool needs. Undefined while all executors are draining or unregistered, since the capacity
 * of a VM is then unknown.
 */
export const estimateDemand = (tables: PoolTables, history: DemandHistory, nowMs: number): PoolDemand | undefined => {
    history.arrivals = history.arrivals.filter(({ untilMs }) => untilMs > nowMs);
    const executors = [...tables.executors.values()].filter(({ registered, record }) => registered && !record.draining);
    if (executors.length === 0) {
        return undefined;
    }
    const vmCapacity = maxOfEach(executors.map(({ record }) => record.capacity));
    const vmCpu = Math.max(1, vmCapacity.cpu);
    const jobs = [...tables.jobs.values()].filter(job => !isJobEnded(job));
    const longRunningSteps = jobs.flatMap(job => stepsOf(job).filter(({ step }) => step.longRunning));
    const longRunningCpu = longRunningSteps.reduce((sum, { step }) => sum + step.count * demandOf(step).cpu, 0);
    const vmsForLongRunning = longRunningSteps.reduce(
        (sum, { step }) => sum + step.count / tasksPerVm(demandOf(step), vmCapacity),
        0,
    );
    const vmsForTaskLimit = Math.max(
        0,
        ...longRunningSteps.map(({ step }) => Math.ceil(step.count / (step.maxPerExecutor ?? step.count))),
    );
    const arrivingCpu = cpuWithinCaps(tables, history.arrivals);
    const requiredCpu = cpuWithinCaps(
        tables,
        jobs.map(job => ({ tenant: job.job.tenant, cpu: requiredCpuOf(tables, job, nowMs) })),
    );
    const cpu = longRunningCpu + Math.max(arrivingCpu, requiredCpu);
    const vms = Math.max(
        MIN_VMS,
        vmsForTaskLimit,
        Math.ceil(vmsForLongRunning),
        Math.ceil(cpu / (vmCpu * TARGET_UTILISATION)),
    );
    const losing = new Set(executors.filter(executor => losesWork(tables, executor, nowMs)));
    history.wanted = [...history.wanted.filter(({ atMs }) => atMs > nowMs - WANTED_WINDOW_MS), { atMs: nowMs, vms }];
    return {
        neededVms: vms,
        wantedVms: Math.max(...history.wanted.map(wanted => wanted.vms)),
        removable: vmIdsOf(
            executors
                .filter(executor => !hasLongRunningTask(executor))
                .sort(
                    (left, right) =>
                        Number(losing.has(left)) - Number(losing.has(right)) || left.runs.size - right.runs.size,
                ),
        ),
        losing: vmIdsOf([...losing]),
    };
};

/** Sum of the CPU of the jobs, of which each tenant gets its cap at most. */
const cpuWithinCaps = ({ tenants }: PoolTables, jobs: readonly TenantCpu[]): number => {
    const sums = jobs.reduce(
        (known, { tenant, cpu }) => known.set(tenant, (known.get(tenant) ?? 0) + cpu),
        new Map<TenantName | undefined, number>(),
    );
    return [...sums].reduce((sum, [tenant, cpu]) => {
        const cap = tenant === undefined ? 0 : (tenants.get(tenant)?.cap.cpu ?? 0);
        return sum + (cap > 0 ? Math.min(cap, cpu) : cpu);
    }, 0);
};

/** Number of tasks of a step that an empty VM has room for, at least one. */
const tasksPerVm = (demand: Resources, capacity: Resources): number =>
    Math.max(
        1,
        Math.floor(
            Math.min(
                ...(
                    [
                        [demand.cpu, capacity.cpu],
                        [demand.memoryMb, capacity.memoryMb],
                        [demand.gpu, capacity.gpu],
                    ] as const
                ).map(([demanded, available]) => (demanded > 0 ? available / demanded : Infinity)),
            ),
        ),
    );

const vmIdsOf = (executors: readonly Executor[]): readonly VmId[] =>
    executors.map(({ record }) => record.vm).filter(vm => vm !== undefined);

const losesWork = (tables: PoolTables, { runs }: Executor, nowMs: number): boolean =>
    [...runs.values()].some(run => {
        const { checkpointing, longRunning } = run.task.step.step;
        // The estimate of the remaining time comes last, since it takes long for a run that lasts longer than expected.
        return (
            !checkpointing &&
            !longRunning &&
            nowMs - run.startedAtMs > NEGLIGIBLE_LOSS_MS &&
            remainingRunMs(tables, run, nowMs) > EVACUATION_WINDOW_MS
        );
    });

const runToCompletionSteps = (job: OpenJob): readonly OpenStep[] =>
    stepsOf(job).filter(({ step }) => !step.longRunning);

// CPU that the job needs to meet its objective, in thousandths of a core.
const requiredCpuOf = (tables: PoolTables, job: OpenJob, nowMs: number): number => {
    const work = runToCompletionSteps(job).reduce((sum, step) => sum + remainingWork(tables, step), 0);
    const objectiveMs = completionObjectiveMs(tables, job, nowMs);
    const leftMs =
        objectiveMs !== undefined && objectiveMs > nowMs
            ? Math.max(MIN_SPREAD_MS, objectiveMs - nowMs)
            : LATE_SPREAD_MS;
    return work / leftMs;
};

const remainingWork = (tables: PoolTables, step: OpenStep): number => {
    if (step.remaining === 0) {
        return 0;
    }
    const remainingTasks = step.tasks.reduce((sum, task) => sum - (task.done ? 0 : doneShareOf(task)), step.remaining);
    return remainingTasks * demandOf(step.step).cpu * expectedRunMs(tables, step);
};

const doneShareOf = ({ runs: [run] }: Task): number => Math.min(run?.percent ?? 0, 95) / 100;

const hasLongRunningTask = ({ runs }: Executor): boolean =>
    [...runs.values()].some(run => run.task.step.step.longRunning);
