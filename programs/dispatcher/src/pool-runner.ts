import { periodic } from "most";
import type { DataCentreName, PoolName, VmId } from "@almondusher/fleet/ids";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { admitJob, closeJob, openDueOccurrences, trustJobs } from "@almondusher/scheduler/admit-job";
import { createDemandHistory, estimateDemand, noteArrival } from "@almondusher/scheduler/demand";
import { addUnregistered, applyRegistry } from "@almondusher/scheduler/executor-table";
import { pendingJobs } from "@almondusher/scheduler/job-progress";
import { planPace, type PaceHistory } from "@almondusher/scheduler/plan-pace";
import { isPredecessorShutOut, placeTasks } from "@almondusher/scheduler/place-tasks";
import { planStops } from "@almondusher/scheduler/plan-stops";
import {
    createPoolTables,
    type Executor,
    type OpenJob,
    type PoolTables,
    type Run,
    type VmEvacuation,
} from "@almondusher/scheduler/pool-tables";
import { endJob, isEnded, lapseRuns, type AppliedEnd } from "@almondusher/scheduler/settle-run";
import type { AdviceClient } from "@almondusher/platform-adapter/advice-client";
import type { DispatcherContext } from "./dispatcher-context.js";
import type { ExecutorRegistry } from "./executor-registry.js";
import { openExecutorLink, type ExecutorLink } from "./executor-link.js";
import { followJobs, type StoredJob } from "./job-feed.js";
import { POOL_LEASE_MS, leaseAgeMs, type HeldLease } from "./lease-keeper.js";
import { emptyLeaseContent, type AnnouncedExecutor, type LeaseContent, type PendingCount } from "./lease-rows.js";
import type { OperatorFeed } from "./operator-feed.js";
import { createPassPacer } from "./pass-pacer.js";
import { createProgressWriter } from "./progress-writer.js";
import { rereadProgress } from "./reread-progress.js";
import { RUN_LEASE_MS, takeoverWaitMs, UNCONFIRMED_MS } from "./run-leases.js";
import { createStepTickets } from "./step-tickets.js";

/** The scheduler of one pool, while its lease is held. */
export interface PoolRunner {
    readonly kind: "pool";
    /** What the lease row has to say of the pool. */
    readonly content: () => LeaseContent;
    /** Called after the lease row was stored. */
    readonly renewed: (content: LeaseContent) => void;
    /** Stops sending orders; ends that are known are stored first. */
    readonly stop: () => Promise<void>;
    /** Names the VMs that must become empty. */
    readonly evacuate: (vms: ReadonlyMap<VmId, VmEvacuation>) => void;
}

/** Options of a runner. */
export interface PoolRunnerOptions {
    readonly context: DispatcherContext;
    readonly pool: PoolName;
    readonly lease: HeldLease;
    readonly registry: ExecutorRegistry;
    readonly operator: OperatorFeed;
    /** Undefined where no advice service is configured. */
    readonly advice: AdviceClient | undefined;
    /** Asks for a renewal before the regular one. */
    readonly renewSoon: () => void;
}

const TICK_MS = 100;
const STOP_REPEAT_MS = 400;
// Part of the lease's time after which a successor may have begun to accept jobs.
const TRUSTED_LEASE_SHARE = 0.8;
const DRAIN_MS = 1000;
const UNKNOWN_DATA_CENTRE = "" as DataCentreName;

/** Starts scheduling a pool. */
export const runPool = (options: PoolRunnerOptions): PoolRunner => {
    const { context, pool, lease, registry, operator } = options;
    const { maxLeaseMs } = context.settings;
    const tables = createPoolTables({ pool, token: lease.epoch, maxLeaseMs });
    const links = new Map<ExecutorId, ExecutorLink>();
    const leaseMs = Math.min(RUN_LEASE_MS, maxLeaseMs);
    let active = true;
    let loaded = false;
    let rereading = false;
    let lastVacated = "";
    const history = createDemandHistory();
    const paceHistory: PaceHistory = new Map();
    let demand = lease.predecessor?.demand;
    let evacuations: ReadonlyMap<VmId, VmEvacuation> = new Map();

    const announced = lease.predecessor?.executors ?? [];
    announced.forEach(executor => addUnregistered(tables, placeholder(pool, executor)));
    tables.inheritedWaitUntilMs = context.steadyMs() + takeoverWaitMs(lease);

    const isActive = (): boolean => active && !lease.lost;
    const mayAct = (): boolean => isActive() && leaseAgeMs(lease, context) < UNCONFIRMED_MS;
    const pacer = createPassPacer({
        pass: () => {
            if (isActive()) {
                schedule();
            }
        },
        steadyMs: context.steadyMs,
        after: callLater,
    });
    const changed = pacer.request;
    const logEnds = (executor: Executor, ends: readonly AppliedEnd[]): void =>
        ends.forEach(({ end, run }) => {
            context.metrics.count(`runs_ended_${end.how}`);
            context.log("run-ended", {
                task: end.task,
                run: end.run,
                executor: executor.id,
                how: end.how,
                end: end.number,
                tookMs: run === undefined ? undefined : Math.round(context.steadyMs() - run.startedAtMs),
                cause: run?.stopCause,
            });
        });
    const writer = createProgressWriter({
        context,
        tables,
        isActive,
        mayStore: mayAct,
        stored: executor => links.get(executor.id)?.wake(),
        finished: job => {
            closeJob(tables, job);
            context.metrics.count(`jobs_${job.state}`);
            context.metrics.record(`job_${job.state}`, context.steadyMs() - job.arrivedAtMs);
            context.log("job-finished", {
                job: job.id,
                queue: job.queue,
                state: job.state,
                tookMs: Math.round(context.steadyMs() - job.arrivedAtMs),
            });
        },
    });
    const owner = {
        tables,
        mayExtend: mayAct,
        changed,
        // A renewal tells whether the lease is lost.
        fenced: options.renewSoon,
        ticketRejected: (run: Run): void => tickets.forget(run.task.step),
        ended: (executor: Executor, ends: readonly AppliedEnd[]): void => {
            logEnds(executor, ends);
            if (executor.storedEnd < executor.seenEnd) {
                writer.request();
            }
        },
    };
    const tickets = createStepTickets({ context, client: options.advice, tables, changed });
    const syncExecutors = (): void => {
        const records = registry.executorsOf(pool);
        // Runs that executors report can only be told from strays once the jobs are known.
        if (records === undefined || !loaded) {
            return;
        }
        applyRegistry(tables, records, context.steadyMs());
        [...links.keys()]
            .filter(id => !tables.executors.has(id))
            .forEach(id => {
                links.get(id)?.close();
                links.delete(id);
            });
        tables.executors.forEach(executor => {
            if (!links.has(executor.id)) {
                links.set(executor.id, openExecutorLink({ context, owner, executor, leaseMs }));
            }
            const evacuation = executor.record.vm === undefined ? undefined : evacuations.get(executor.record.vm);
            // The VM may have restarted meanwhile, which ends the executor before its entry is gone.
            if (executor.evacuation !== undefined && evacuation === undefined) {
                executor.inspected = false;
                links.get(executor.id)?.wake();
            }
            executor.evacuation = evacuation;
        });
        if ([...tables.executors.values()].some(executor => !executor.announced)) {
            options.renewSoon();
        }
    };
    const syncQueues = (): void => {
        operator.configuration()?.queues.forEach(queue => tables.queues.set(queue.name, queue));
    };
    const admit = ({ job, progress, progressVersion, inherited }: StoredJob): void => {
        const ageMs = Math.max(0, context.store.nowMs() - job.acceptedAtMs);
        const arrivedAtMs = context.steadyMs() - ageMs;
        const trusted = leaseAgeMs(lease, context) < POOL_LEASE_MS * TRUSTED_LEASE_SHARE;
        admitJob(tables, { job, progress, progressVersion, arrivedAtMs, inherited, trusted }, Date.now());
        if (!trusted) {
            options.renewSoon();
        }
        const open = tables.jobs.get(job.id);
        if (open !== undefined) {
            noteArrival(tables, history, open, context.steadyMs());
        }
        context.log("job-admitted", {
            job: job.id,
            queue: job.queue,
            ageMs: Math.round(ageMs),
            inherited,
            steps: job.steps,
        });
    };
    const cancel = (id: OpenJob["id"]): void => {
        const job = tables.jobs.get(id);
        if (job !== undefined && !isEnded(job)) {
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
    const lapse = (): void =>
        tables.executors.forEach(executor => {
            const lapsed = lapseRuns(tables, executor, context.steadyMs());
            lapsed.forEach(run => {
                context.metrics.count("runs_lapsed_unseen");
                context.log("run-lapsed", { task: run.task.id, run: run.number, executor: executor.id });
            });
        });
    const sendStops = (): void => {
        const nowMs = context.steadyMs();
        const terms = { nowMs, repeatMs: STOP_REPEAT_MS };
        planStops(tables, terms).forEach(run => {
            context.log("run-stop", {
                task: run.task.id,
                run: run.number,
                executor: run.executor.id,
                cause: run.stopCause,
            });
            void links.get(run.executor.id)?.stop(run);
        });
        tables.executors.forEach(executor =>
            executor.strays
                .filter(({ stopSentAtMs }) => stopSentAtMs === undefined || nowMs - stopSentAtMs >= STOP_REPEAT_MS)
                .forEach(stray => {
                    stray.stopSentAtMs = nowMs;
                    context.log("run-stop", {
                        task: stray.task,
                        run: stray.number,
                        executor: executor.id,
                        cause: "stray",
                    });
                    void links.get(executor.id)?.stopStray(stray);
                }),
        );
    };
    const sendStarts = (): void => {
        const runs = placeTasks(tables, { nowMs: context.steadyMs(), tickets: tickets.executorsFor });
        runs.forEach(run => {
            context.log("run-start", {
                task: run.task.id,
                run: run.number,
                executor: run.executor.id,
                queue: run.task.step.job.queue,
            });
            void links.get(run.executor.id)?.start(run, tickets.ticketFor(run.task.step, run.executor.id));
        });
    };
    const sendPace = (): void =>
        planPace(tables, paceHistory, context.steadyMs()).forEach(({ run, percent }) => {
            context.log("run-pace", {
                task: run.task.id,
                run: run.number,
                executor: run.executor.id,
                from: run.pace,
                percent,
            });
            void links.get(run.executor.id)?.pace(run, percent);
        });
    const schedule = (): void => {
        lapse();
        openOccurrences();
        if (loaded && mayAct()) {
            readProgressAgain();
            tickets.fetchAhead();
            sendStops();
            sendStarts();
            sendPace();
            announceVacated();
            announceDemand();
        }
    };
    const readProgressAgain = (): void => {
        if (tables.isProgressCurrent || rereading || !isPredecessorShutOut(tables, context.steadyMs())) {
            return;
        }
        rereading = true;
        void rereadProgress(context, tables).then(read => {
            rereading = false;
            tables.isProgressCurrent = read;
            changed();
        });
    };
    const announceVacated = (): void => {
        const vacated = vacatedEvacuations(tables).join();
        if (vacated !== lastVacated) {
            lastVacated = vacated;
            options.renewSoon();
        }
    };
    const announceDemand = (): void => {
        const before = demand?.wantedVms;
        demand = estimateDemand(tables, history, context.steadyMs()) ?? demand;
        if (demand !== undefined && demand.wantedVms > (before ?? 0)) {
            options.renewSoon();
        }
    };
    const jobsChanged = (): void => {
        if (!loaded) {
            loaded = true;
            syncExecutors();
        }
        changed();
    };

    const release = registry.use();
    const onRegistry = (): void => {
        syncExecutors();
        changed();
    };
    registry.events.on("change", onRegistry);
    operator.events.on("configuration", syncQueues);
    syncQueues();
    void periodic(TICK_MS)
        .takeWhile(() => active)
        .observe(pacer.run);
    void followJobs({ context, pool, isActive, sink: { job: admit, cancelled: cancel, changed: jobsChanged } });

    return {
        kind: "pool",
        content: () => ({
            ...emptyLeaseContent,
            executors: [...tables.executors.values()].map(({ id, record }) => ({ id, address: record.address })),
            pending: loaded ? countPendingJobs(tables) : (lease.predecessor?.pending ?? []),
            vacated: loaded ? vacatedEvacuations(tables) : [],
            demand,
        }),
        renewed: ({ executors }) => {
            trustJobs(tables);
            executors.forEach(({ id }) => {
                const executor = tables.executors.get(id);
                if (executor !== undefined) {
                    executor.announced = true;
                }
            });
            changed();
        },
        stop: async () => {
            if (!lease.lost) {
                await writer.drain(DRAIN_MS);
            }
            active = false;
            release();
            registry.events.off("change", onRegistry);
            operator.events.off("configuration", syncQueues);
            links.forEach(link => link.close());
        },
        evacuate: vms => {
            evacuations = vms;
            syncExecutors();
            changed();
        },
    };
};

const callLater = (waitMs: number, callback: () => void): void => {
    if (waitMs === 0) {
        setImmediate(callback);
    } else {
        setTimeout(callback, waitMs);
    }
};

const countPendingJobs = (tables: PoolTables): readonly PendingCount[] =>
    [...pendingJobs(tables)].map(([queue, jobs]) => ({ queue, jobs }));

const vacatedEvacuations = (tables: PoolTables): readonly string[] => {
    const executors = [...tables.executors.values()].filter(({ evacuation }) => evacuation !== undefined);
    // A VM may be listed with an earlier executor beside the one that runs there now.
    const occupied = new Set(
        executors.filter(executor => !isVacated(executor)).map(({ evacuation }) => evacuation?.id),
    );
    const ids = new Set(executors.map(({ evacuation }) => evacuation?.id).filter(id => id !== undefined));
    return [...ids].filter(id => !occupied.has(id));
};

const isVacated = (executor: Executor): boolean =>
    executor.runs.size === 0 && executor.strays.length === 0 && (executor.inspected || !executor.reachable);

// Known only by its address until its registry entry is read.
const placeholder = (pool: PoolName, { id, address }: AnnouncedExecutor): Executor["record"] => ({
    id,
    vm: undefined,
    pool,
    address,
    dataCentre: UNKNOWN_DATA_CENTRE,
    draining: false,
    remainingMs: undefined,
    capacity: { cpu: 0, memoryMb: 0, gpu: 0 },
    labels: [],
    bornMs: 0,
    clockMs: undefined,
});
