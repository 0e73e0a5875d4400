import { periodic } from "most";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import { admitJob, closeJob, openDueOccurrences } from "@almondusher/scheduler/admit-job";
import { createDemandHistory, estimateDemand, recordArrival } from "@almondusher/scheduler/demand";
import { addUnregistered } from "@almondusher/scheduler/executor-table";
import { areInheritedRunsKnown } from "@almondusher/scheduler/place-tasks";
import {
    createPoolTables,
    recordLeaseHeld,
    takeGivenUpRuns,
    type Executor,
    type GivenUpRun,
    type OpenJob,
    type Run,
    type VmEvacuation,
} from "@almondusher/scheduler/pool-tables";
import { endJob, expireRuns, type AppliedEnd } from "@almondusher/scheduler/apply-report";
import { isJobEnded } from "@almondusher/scheduler/job-progress";
import type { AdviceClient } from "@almondusher/platform-adapter/advice-client";
import { MAX_ORDER_CONNECTIONS, ORDER_TIMEOUT_MS } from "@almondusher/platform-adapter/executor-client";
import { containErrors, createErrorReporter } from "./contain-errors.js";
import type { DispatcherContext } from "./dispatcher-context.js";
import type { ExecutorRegistry } from "./executor-registry.js";
import { createExecutorConnections } from "./executor-connections.js";
import { followJobs, type StoredJob } from "./job-feed.js";
import { POOL_LEASE_DURATION_MS, leaseAgeMs, type HeldLease } from "./lease-manager.js";
import { emptyLeaseContent, type LeaseContent } from "./lease-rows.js";
import type { OperatorFeed } from "./operator-feed.js";
import { createOrderLoad } from "./order-load.js";
import { createOrderWindow } from "./order-window.js";
import { createPassThrottle } from "./pass-throttle.js";
import {
    completedEvacuations,
    executorsToList,
    listExecutors,
    pendingCounts,
    placeholderRecord,
} from "./pool-lease-content.js";
import { createProgressWriter } from "./progress-writer.js";
import { reloadProgress } from "./reload-progress.js";
import { mayActOnLease, RUN_LEASE_MS, takeoverWaitMs } from "./run-leases.js";
import { createRunOrders } from "./run-orders.js";
import { createStepTickets } from "./step-tickets.js";

/** Schedules the jobs of one pool while this process holds the pool's lease. */
export interface PoolScheduler {
    readonly kind: "pool";
    /** Content to store in the pool's lease row with the next renewal. */
    readonly leaseContent: () => LeaseContent;
    /** Must be called after each renewal, with the content that was stored. */
    readonly onLeaseRenewed: (content: LeaseContent) => void;
    /**
     * Stops sending orders. Unless the lease is lost, resolves only once the run ends that are already known are stored, or
     * after a time limit.
     */
    readonly stop: () => Promise<void>;
    /** Replaces the set of VMs that have to be evacuated. */
    readonly setEvacuations: (vms: ReadonlyMap<VmId, VmEvacuation>) => void;
}

export interface PoolSchedulerOptions {
    readonly context: DispatcherContext;
    readonly pool: PoolName;
    readonly lease: HeldLease;
    readonly registry: ExecutorRegistry;
    readonly operator: OperatorFeed;
    /** Undefined if no advice service is configured. */
    readonly advice: AdviceClient | undefined;
    /** Requests a lease renewal without waiting for the next periodic one. */
    readonly requestRenewal: () => void;
}

const TICK_INTERVAL_MS = 100;
const ORDER_LOAD_LOG_INTERVAL_MS = 1000;
// From this fraction of the lease duration after the last renewal, another process may hold the lease.
const SAFE_LEASE_FRACTION = 0.8;
const FLUSH_TIMEOUT_MS = 1000;

/** Starts scheduling a pool under a lease that was just acquired. */
export const startPoolScheduler = (options: PoolSchedulerOptions): PoolScheduler => {
    const { context, pool, lease, registry, operator } = options;
    const { maxLeaseMs, stopTimeMs } = context.settings;
    const runLeaseMs = Math.min(RUN_LEASE_MS, maxLeaseMs);
    const tables = createPoolTables({
        pool,
        token: lease.epoch,
        runNumbers: lease.runNumbers,
        maxLeaseMs,
        runLeaseMs,
        stopTimeMs,
    });
    let active = true;
    let stopping = false;
    let jobsLoaded = false;
    let jobsAsOf = lease.predecessor?.pendingAsOf;
    let reloadingProgress = false;
    let lastCompletedEvacuations = "";
    const demandHistory = createDemandHistory();
    let demand = lease.predecessor?.demand;
    let evacuations: ReadonlyMap<VmId, VmEvacuation> = new Map();

    const previousExecutors = lease.predecessor?.executors ?? [];
    previousExecutors.forEach(executor => addUnregistered(tables, placeholderRecord(pool, executor)));
    const predecessorUntilMs = lease.predecessor?.inheritedRunsUntilMs ?? Number.NEGATIVE_INFINITY;
    tables.inheritedWaitUntilMs =
        context.monotonicMs() + Math.max(takeoverWaitMs(lease), predecessorUntilMs - context.store.nowMs());

    const isActive = (): boolean => active && !lease.lost;
    const isLeaseSafe = (): boolean =>
        !lease.lost && leaseAgeMs(lease, context) < POOL_LEASE_DURATION_MS * SAFE_LEASE_FRACTION;
    let lastFencedAtMs = Number.NEGATIVE_INFINITY;
    const mayAct = (): boolean =>
        isActive() &&
        mayActOnLease({
            leaseAgeMs: leaseAgeMs(lease, context),
            sinceFencedMs: context.monotonicMs() - lastFencedAtMs,
        });
    const passThrottle = createPassThrottle({
        pass: containErrors({ context, part: "scheduling-pass" }, () => {
            if (isActive() && !stopping) {
                runPass();
            }
        }),
        monotonicMs: context.monotonicMs,
        after: scheduleCallback,
    });
    const requestPass = passThrottle.request;
    const logRunEnds = (executor: Executor, ends: readonly AppliedEnd[]): void =>
        ends.forEach(({ end, run }) => {
            context.metrics.count(`runs_ended_${end.how}`);
            context.log("run-ended", {
                task: end.task,
                run: end.run,
                executor: executor.id,
                how: end.how,
                end: end.number,
                tookMs: run === undefined ? undefined : Math.round(context.monotonicMs() - run.startedAtMs),
                cause: run?.stopCause,
            });
        });
    const reportReloadError = createErrorReporter({ context, part: "progress-reload" });
    const writer = createProgressWriter({
        context,
        tables,
        isActive,
        mayStore: mayAct,
        onEndsStored: executor => connections.get(executor.id)?.pollNow(),
        onJobFinished: job => {
            closeJob(tables, job);
            context.metrics.count(`jobs_${job.state}`);
            context.metrics.record(`job_${job.state}`, context.monotonicMs() - job.arrivedAtMs);
            context.log("job-finished", {
                job: job.id,
                queue: job.queue,
                state: job.state,
                tookMs: Math.round(context.monotonicMs() - job.arrivedAtMs),
            });
        },
    });
    const owner = {
        tables,
        mayExtendLeases: mayAct,
        changed: requestPass,
        // The executor has seen a newer fencing token; the outcome of a renewal shows whether the lease is lost.
        fenced: (): void => {
            lastFencedAtMs = context.monotonicMs();
            options.requestRenewal();
        },
        ticketRejected: (run: Run): void => tickets.discard(run.task.step),
        ended: (executor: Executor, ends: readonly AppliedEnd[]): void => {
            logRunEnds(executor, ends);
            if (executor.lastStoredEnd < executor.lastAppliedEnd) {
                writer.request();
            }
        },
    };
    const tickets = createStepTickets({ context, client: options.advice, tables, changed: requestPass });
    const orderLoad = createOrderLoad(context);
    const orderWindow = createOrderWindow({
        monotonicMs: context.monotonicMs,
        timeoutMs: ORDER_TIMEOUT_MS,
        maxSize: () => tables.executors.size * MAX_ORDER_CONNECTIONS,
    });
    const connections = createExecutorConnections({ context, owner, orderLoad, orderWindow });
    const orders = createRunOrders({ context, tables, connections, orderWindow, tickets });
    const syncExecutors = (): void => {
        const records = registry.executorsOf(pool);
        // Until the jobs are loaded, runs that executors report cannot be told from orphaned ones.
        if (records === undefined || !jobsLoaded) {
            return;
        }
        connections.sync(records, evacuations);
        if (executorsToList(tables, context.monotonicMs()).some(executor => !executor.listedInLease)) {
            options.requestRenewal();
        }
    };
    const syncQueues = (): void => {
        operator.configuration()?.queues.forEach(queue => tables.queues.set(queue.name, queue));
    };
    const admitStoredJob = ({ job, progress, progressVersion, inherited }: StoredJob): void => {
        const ageMs = Math.max(0, context.store.nowMs() - job.acceptedAtMs);
        const readAtMs = context.monotonicMs();
        const arrivedAtMs = readAtMs - ageMs;
        admitJob(tables, { job, progress, progressVersion, arrivedAtMs, readAtMs, inherited }, Date.now());
        if (!isLeaseSafe()) {
            options.requestRenewal();
        }
        const openJob = tables.jobs.get(job.id);
        // Finished jobs are read as well after a takeover, until their rows are deleted, but they are not opened.
        if (openJob === undefined) {
            return;
        }
        if (openJob.dirty) {
            writer.request();
        }
        recordArrival(tables, demandHistory, openJob, context.monotonicMs());
        context.log("job-admitted", {
            job: job.id,
            queue: job.queue,
            ageMs: Math.round(ageMs),
            inherited,
            steps: job.steps,
        });
    };
    const cancelJob = (id: OpenJob["id"]): void => {
        const job = tables.jobs.get(id);
        if (job !== undefined && !isJobEnded(job)) {
            endJob(job, "cancelled");
            context.log("job-cancelled", { job: id, queue: job.queue });
            writer.request();
        }
    };
    const openOccurrences = (): void => {
        const wallMs = Date.now();
        [...tables.jobs.values()]
            .filter(({ job }) => job.schedule !== undefined)
            .forEach(job => openDueOccurrences(job, wallMs));
    };
    const logGivenUpRun = ({ run, cause }: GivenUpRun): void => {
        const isExpired = cause === "lease-expired";
        context.metrics.count(isExpired ? "runs_lapsed_unseen" : "runs_given_up");
        context.log(isExpired ? "run-lapsed" : "run-given-up", {
            task: run.task.id,
            run: run.number,
            executor: run.executor.id,
            cause,
            leaseAgeMs: Math.round(leaseAgeMs(lease, context)),
        });
    };
    const expireLostRuns = (): void => {
        tables.executors.forEach(executor => expireRuns(tables, executor, context.monotonicMs()));
        const givenUp = takeGivenUpRuns(tables);
        givenUp.forEach(logGivenUpRun);
        if (givenUp.length > 0 && !isLeaseSafe()) {
            options.requestRenewal();
        }
    };
    const runPass = (): void => {
        expireLostRuns();
        if (isLeaseSafe()) {
            recordLeaseHeld(tables, context.monotonicMs());
        }
        openOccurrences();
        if (jobsLoaded && mayAct()) {
            reloadProgressAfterTakeover();
            tickets.prefetch();
            orders.send();
            publishCompletedEvacuations();
        }
    };
    const reloadProgressAfterTakeover = (): void => {
        if (tables.isProgressCurrent || reloadingProgress || !areInheritedRunsKnown(tables, context.monotonicMs())) {
            return;
        }
        reloadingProgress = true;
        void reloadProgress(context, tables)
            .catch((error: unknown) => {
                reportReloadError(error);
                return false;
            })
            .then(read => {
                reloadingProgress = false;
                tables.isProgressCurrent = read;
                writer.request();
                requestPass();
            });
    };
    const publishCompletedEvacuations = (): void => {
        const completed = completedEvacuations(tables).join();
        if (completed !== lastCompletedEvacuations) {
            lastCompletedEvacuations = completed;
            options.requestRenewal();
        }
    };
    const updateDemand = (): void => {
        const before = demand?.wantedVms;
        demand = estimateDemand(tables, demandHistory, context.monotonicMs()) ?? demand;
        if (demand !== undefined && demand.wantedVms > (before ?? 0)) {
            options.requestRenewal();
        }
    };
    const onJobsChanged = (): void => {
        if (!jobsLoaded) {
            jobsLoaded = true;
            syncExecutors();
        }
        requestPass();
    };

    const unsubscribeRegistry = registry.subscribe();
    const onRegistryChange = containErrors({ context, part: "executor-sync" }, () => {
        syncExecutors();
        requestPass();
    });
    registry.events.on("change", onRegistryChange);
    operator.events.on("configuration", syncQueues);
    syncQueues();
    void periodic(TICK_INTERVAL_MS)
        .takeWhile(() => active)
        .observe(
            containErrors({ context, part: "demand" }, () => {
                passThrottle.run();
                if (jobsLoaded && mayAct()) {
                    updateDemand();
                }
            }),
        );
    void periodic(ORDER_LOAD_LOG_INTERVAL_MS)
        .takeWhile(() => active)
        .observe(() => {
            const sample = orderLoad.takeSample();
            if (sample !== undefined) {
                context.log("order-load", { pool, ...sample, window: orderWindow.size() });
            }
        });
    void followJobs({
        context,
        pool,
        isActive,
        sink: {
            job: admitStoredJob,
            cancelled: cancelJob,
            changed: onJobsChanged,
            readUpTo: point => (jobsAsOf = point),
        },
    });

    return {
        kind: "pool",
        leaseContent: () => ({
            ...emptyLeaseContent,
            executors: listExecutors(tables, context.monotonicMs()),
            pending: jobsLoaded ? pendingCounts(tables) : (lease.predecessor?.pending ?? []),
            pendingAsOf: jobsAsOf,
            inheritedRunsUntilMs: areInheritedRunsKnown(tables, context.monotonicMs())
                ? undefined
                : lease.inheritedRunsUntilMs,
            vacated: jobsLoaded ? completedEvacuations(tables) : [],
            demand,
        }),
        onLeaseRenewed: ({ executors }) => {
            recordLeaseHeld(tables, lease.renewedAtMs);
            executors.forEach(({ id }) => {
                const executor = tables.executors.get(id);
                if (executor !== undefined) {
                    executor.listedInLease = true;
                }
            });
            requestPass();
        },
        stop: async () => {
            stopping = true;
            unsubscribeRegistry();
            registry.events.off("change", onRegistryChange);
            operator.events.off("configuration", syncQueues);
            connections.close();
            if (!lease.lost) {
                await writer.flush(FLUSH_TIMEOUT_MS);
            }
            active = false;
        },
        setEvacuations: vms => {
            evacuations = vms;
            syncExecutors();
            requestPass();
        },
    };
};

const scheduleCallback = (waitMs: number, callback: () => void): void => {
    if (waitMs === 0) {
        setImmediate(callback);
    } else {
        setTimeout(callback, waitMs);
    }
};
