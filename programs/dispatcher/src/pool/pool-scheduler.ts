import { periodic } from "most";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import { closeJob, failExhaustedJobs } from "@almondusher/scheduler/admit-job";
import { createDemandHistory, estimateDemand } from "@almondusher/scheduler/demand";
import { openWaitingTasks } from "@almondusher/scheduler/open-tasks";
import { areInheritedRunsKnown } from "@almondusher/scheduler/inherited-runs";
import { dropPastInheritedStarts, inheritStarts, undeliveredStarts } from "@almondusher/scheduler/inherited-starts";
import {
    createPoolTables,
    recordLeaseHeld,
    type Executor,
    type Run,
    type VmEvacuation,
} from "@almondusher/scheduler/pool-tables";
import { decodeRunTimes } from "@almondusher/run-times/run-time-state";
import { adoptConfiguration } from "@almondusher/scheduler/job-terms";
import { takeGivenUpRuns } from "@almondusher/scheduler/run-table";
import { expireRuns, type AppliedEnd } from "@almondusher/scheduler/apply-report";
import type { AdviceClient } from "@almondusher/platform-adapter/advice-client";
import { MAX_ORDER_CONNECTIONS, ORDER_TIMEOUT_MS } from "@almondusher/platform-adapter/executor-client";
import { containErrors } from "../process/contain-errors.js";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import type { ExecutorRegistry } from "../executors/executor-registry.js";
import { createExecutorConnections } from "../executors/executor-connections.js";
import { createJobAdmission } from "../jobs/job-admission.js";
import { createFinishedJobRows } from "../jobs/finished-job-rows.js";
import { followJobs, type StoredJob } from "../jobs/job-feed.js";
import { isPoolLeaseSafe, leaseAgeMs, poolLeaseHeldAtMs, type HeldLease } from "../leases/held-lease.js";
import { emptyLeaseContent, type LeaseContent, type SchedulerStatus } from "../leases/lease-rows.js";
import type { StoredAllowances } from "../leases/tenant-rows.js";
import type { OperatorFeed } from "../operator/operator-feed.js";
import { createOrderLoad } from "../executors/order-load.js";
import { createOrderWindow } from "../executors/order-window.js";
import { createPassThrottle } from "./pass-throttle.js";
import { completedEvacuations, executorsToList, listExecutors, pendingCounts } from "./pool-lease-content.js";
import { createPublishedRunTimes } from "./published-run-times.js";
import { createProgressWriter } from "../jobs/progress-writer.js";
import { createProgressReload } from "../jobs/reload-progress.js";
import {
    inheritedWaitMs,
    leaseGateOf,
    mayActOnLease,
    RUN_LEASE_MS,
    type LeaseStatus,
} from "../executors/run-leases.js";
import { watchPages, type StorePoint } from "../store/read-all.js";
import { createRunLog } from "../executors/run-log.js";
import { createRunOrders } from "../executors/run-orders.js";
import { createStepTickets } from "../executors/step-tickets.js";
import { storedStarts, undeliveredStartsOf } from "../leases/undelivered-start-rows.js";
import { addInherited, removeMarks } from "../executors/unread-executors.js";
import { createTenantGate } from "./tenant-gate.js";
import { createWaitingLog, WAITING_CHECK_INTERVAL_MS, type PoolGate } from "./waiting-log.js";

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
    /** True if it cannot start, since it is still reading the jobs or executors and the store has answered none of the reads for long. */
    readonly isStuck: () => boolean;
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
    /** The division of the tenants' caps in the row of the fleet lease as last read. */
    readonly division: () => StoredAllowances | undefined;
    /** Requests a lease renewal without waiting for the next periodic one. */
    readonly requestRenewal: () => void;
}

const TICK_INTERVAL_MS = 100;
const ORDER_LOAD_LOG_INTERVAL_MS = 1000;
const FLUSH_TIMEOUT_MS = 1000;
// As long as a holder keeps its lease before a larger VM may request it.
const MAX_TIME_WITHOUT_PAGE_MS = 12_000;

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
        runTimes: decodeRunTimes(lease.predecessor?.runTimes),
        farFactor: context.settings.farFactor,
    });
    const runTimeState = createPublishedRunTimes({ tables, monotonicMs: context.monotonicMs });
    let active = true;
    let stopping = false;
    let jobsLoaded = false;
    let jobsAsOf = lease.predecessor?.pendingAsOf;
    let jobsFirstReadAsOf: StorePoint | undefined;
    let lastCompletedEvacuations = "";
    const demandHistory = createDemandHistory();
    let demand = lease.predecessor?.demand;
    let evacuations: ReadonlyMap<VmId, VmEvacuation> = new Map();

    const takenOverAtMs = context.monotonicMs();
    tables.inheritedWaitUntilMs = takenOverAtMs + inheritedWaitMs(lease, context.store.nowMs());
    addInherited(tables, {
        pool,
        executors: lease.predecessor?.executors ?? [],
        unrenewedMs: lease.unrenewedMs,
        nowMs: takenOverAtMs,
    });
    const storeAheadMs = (): number => context.store.nowMs() - context.monotonicMs();
    const storedByPredecessor = lease.predecessor?.undeliveredStarts ?? [];
    inheritStarts(tables, undeliveredStartsOf(storedByPredecessor, storeAheadMs()), takenOverAtMs);

    const tenantGate = createTenantGate({
        context,
        tables,
        lease,
        areRunsKnown: () => jobsLoaded && areInheritedRunsKnown(tables, context.monotonicMs()),
        division: options.division,
        requestRenewal: options.requestRenewal,
    });

    const isActive = (): boolean => active && !lease.lost;
    const isLeaseSafe = (): boolean => isPoolLeaseSafe(lease, context);
    let lastFencedAtMs = Number.NEGATIVE_INFINITY;
    const leaseStatus = (): LeaseStatus => ({
        leaseAgeMs: leaseAgeMs(lease, context),
        sinceFencedMs: context.monotonicMs() - lastFencedAtMs,
    });
    const mayAct = (): boolean => isActive() && mayActOnLease(leaseStatus());
    const mayHaveSuccessor = (): boolean => mayAct() && !isLeaseSafe();
    let successorWasPossible = false;
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
    const runLog = createRunLog(context);
    const finishedJobRows = createFinishedJobRows({
        context,
        pool,
        jobStateSeconds: context.settings.jobStateSeconds,
        isActive,
        mayStore: mayAct,
    });
    const writer = createProgressWriter({
        context,
        tables,
        isActive,
        mayStore: mayAct,
        onEndsStored: executor => connections.get(executor.id)?.pollNow(),
        onJobFinished: job => {
            closeJob(tables, job);
            finishedJobRows.add(job);
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
        mayHaveSuccessor,
        changed: requestPass,
        markedExecutorAnswered: options.requestRenewal,
        // The executor has seen a newer fencing token; the outcome of a renewal shows whether the lease is lost.
        fenced: (): void => {
            lastFencedAtMs = context.monotonicMs();
            options.requestRenewal();
        },
        ticketRejected: (run: Run): void => tickets.discard(run.task.step),
        ended: (executor: Executor, ends: readonly AppliedEnd[]): void => {
            writer.addEnds(executor, ends);
            runLog.ends(executor, ends);
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
    const waitingLog = createWaitingLog({
        context,
        tables,
        surveyOptions: () => ({
            nowMs: context.monotonicMs(),
            budget: orderWindow.createBudget(),
            executorsWithTicket: tickets.executorsFor,
        }),
    });
    const poolGate = (): PoolGate | undefined => {
        if (!jobsLoaded) {
            return "jobs-not-read";
        }
        return registry.isRead() ? leaseGateOf(leaseStatus()) : "executors-not-read";
    };
    const schedulerStatus = (): SchedulerStatus => {
        if (!jobsLoaded || !registry.isRead() || !tables.isProgressCurrent) {
            return "starting";
        }
        return orders.isBehind() ? "behind" : "current";
    };
    const pages = watchPages(context);
    const isStuck = (): boolean => {
        const gate = poolGate();
        const pageReadAtMs = gate === "jobs-not-read" ? pages.readAtMs() : registry.pageReadAtMs();
        return (
            (gate === "jobs-not-read" || gate === "executors-not-read") &&
            context.monotonicMs() - Math.max(takenOverAtMs, pageReadAtMs) >= MAX_TIME_WITHOUT_PAGE_MS
        );
    };
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
    const syncConfiguration = (): void => {
        const configuration = operator.configuration();
        if (configuration !== undefined) {
            adoptConfiguration(tables, configuration);
            failExhaustedJobs(tables);
            writer.request();
            requestPass();
        }
    };
    const reloadProgress = createProgressReload({
        context,
        tables,
        jobsReadAsOf: () => jobsFirstReadAsOf,
        reloaded: () => {
            writer.request();
            requestPass();
        },
    });
    const admission = createJobAdmission({ context, tables, demandHistory, requestWrite: writer.request });
    const admitStoredJob = (stored: StoredJob): void => {
        admission.admit(stored);
        if (!isLeaseSafe()) {
            options.requestRenewal();
        }
    };
    const expireLostRuns = (): void => {
        tables.executors.forEach(executor => expireRuns(tables, executor, context.monotonicMs()));
        const givenUp = takeGivenUpRuns(tables);
        runLog.givenUp(givenUp, leaseAgeMs(lease, context));
        if (givenUp.length > 0 && !isLeaseSafe()) {
            options.requestRenewal();
        }
    };
    const pollOnceSuccessorIsPossible = (): void => {
        const before = successorWasPossible;
        successorWasPossible = mayHaveSuccessor();
        if (successorWasPossible && !before) {
            connections.pollNow();
        }
    };
    const runPass = (): void => {
        expireLostRuns();
        dropPastInheritedStarts(tables, context.monotonicMs());
        pollOnceSuccessorIsPossible();
        recordLeaseHeld(tables, poolLeaseHeldAtMs(lease, context));
        admission.openOccurrences();
        openWaitingTasks(tables);
        if (jobsLoaded && mayAct()) {
            reloadProgress();
            tickets.prefetch();
            tenantGate.update();
            orders.send();
            publishCompletedEvacuations();
        }
    };
    const publishCompletedEvacuations = (): void => {
        const completed = completedEvacuations(tables, context.monotonicMs()).join();
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
    operator.events.on("configuration", syncConfiguration);
    syncConfiguration();
    void periodic(TICK_INTERVAL_MS)
        .takeWhile(() => active)
        .observe(
            containErrors({ context, part: "demand" }, () => {
                passThrottle.run();
                if (jobsLoaded && mayAct()) {
                    runTimeState.observe();
                    updateDemand();
                    tenantGate.requestIfChanged();
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
    void periodic(WAITING_CHECK_INTERVAL_MS)
        .takeWhile(() => active)
        .observe(
            containErrors({ context, part: "waiting-log" }, () => {
                if (isActive() && !stopping) {
                    waitingLog.check(poolGate(), leaseStatus());
                }
            }),
        );
    void followJobs({
        context: { ...context, store: { ...context.store, ...pages.store } },
        pool,
        isActive,
        sink: {
            job: admitStoredJob,
            finished: finishedJobRows.add,
            cancelled: admission.cancel,
            changed: onJobsChanged,
            readUpTo: point => {
                jobsAsOf = point;
                jobsFirstReadAsOf ??= point;
            },
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
            schedulerStatus: schedulerStatus(),
            undeliveredStarts: storedStarts(undeliveredStarts(tables, context.monotonicMs()), storeAheadMs()),
            vacated: jobsLoaded ? completedEvacuations(tables, context.monotonicMs()) : [],
            demand,
            runTimes: runTimeState.text(),
            tenantUse: tenantGate.stored(),
        }),
        onLeaseRenewed: ({ executors }) => {
            recordLeaseHeld(tables, lease.renewedAtMs);
            if (removeMarks(tables, executors)) {
                connections.pollNow();
            }
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
            operator.events.off("configuration", syncConfiguration);
            connections.close();
            if (!lease.lost) {
                await writer.flush(FLUSH_TIMEOUT_MS);
            }
            active = false;
        },
        isStuck,
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
