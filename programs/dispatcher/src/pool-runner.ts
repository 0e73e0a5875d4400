import { periodic } from "most";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import { admitJob, closeJob, openDueOccurrences, trustJobs } from "@almondusher/scheduler/admit-job";
import { createDemandHistory, estimateDemand, noteArrival } from "@almondusher/scheduler/demand";
import { addUnregistered } from "@almondusher/scheduler/executor-table";
import { isPredecessorShutOut } from "@almondusher/scheduler/place-tasks";
import {
    createPoolTables,
    type Executor,
    type OpenJob,
    type Run,
    type VmEvacuation,
} from "@almondusher/scheduler/pool-tables";
import { endJob, isEnded, lapseRuns, type AppliedEnd } from "@almondusher/scheduler/settle-run";
import type { AdviceClient } from "@almondusher/platform-adapter/advice-client";
import type { DispatcherContext } from "./dispatcher-context.js";
import type { ExecutorRegistry } from "./executor-registry.js";
import { createExecutorLinks } from "./executor-links.js";
import { followJobs, type StoredJob } from "./job-feed.js";
import { POOL_LEASE_MS, leaseAgeMs, type HeldLease } from "./lease-keeper.js";
import { emptyLeaseContent, type LeaseContent } from "./lease-rows.js";
import type { OperatorFeed } from "./operator-feed.js";
import { createPassPacer } from "./pass-pacer.js";
import { announcedRecord, countPendingJobs, vacatedEvacuations } from "./pool-lease-content.js";
import { createProgressWriter } from "./progress-writer.js";
import { rereadProgress } from "./reread-progress.js";
import { mayActOnLease, RUN_LEASE_MS, takeoverWaitMs } from "./run-leases.js";
import { createRunOrders } from "./run-orders.js";
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
// Part of the lease's time after which a successor may have begun to accept jobs.
const TRUSTED_LEASE_SHARE = 0.8;
const DRAIN_MS = 1000;

/** Starts scheduling a pool. */
export const runPool = (options: PoolRunnerOptions): PoolRunner => {
    const { context, pool, lease, registry, operator } = options;
    const { maxLeaseMs } = context.settings;
    const tables = createPoolTables({ pool, token: lease.epoch, maxLeaseMs });
    const leaseMs = Math.min(RUN_LEASE_MS, maxLeaseMs);
    let active = true;
    let loaded = false;
    let rereading = false;
    let lastVacated = "";
    const history = createDemandHistory();
    let demand = lease.predecessor?.demand;
    let evacuations: ReadonlyMap<VmId, VmEvacuation> = new Map();

    const announced = lease.predecessor?.executors ?? [];
    announced.forEach(executor => addUnregistered(tables, announcedRecord(pool, executor)));
    tables.inheritedWaitUntilMs = context.steadyMs() + takeoverWaitMs(lease);

    const isActive = (): boolean => active && !lease.lost;
    let fencedAtMs = Number.NEGATIVE_INFINITY;
    const mayAct = (): boolean =>
        isActive() &&
        mayActOnLease({ leaseAgeMs: leaseAgeMs(lease, context), fencedAgoMs: context.steadyMs() - fencedAtMs });
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
        fenced: (): void => {
            fencedAtMs = context.steadyMs();
            options.renewSoon();
        },
        ticketRejected: (run: Run): void => tickets.forget(run.task.step),
        ended: (executor: Executor, ends: readonly AppliedEnd[]): void => {
            logEnds(executor, ends);
            if (executor.storedEnd < executor.seenEnd) {
                writer.request();
            }
        },
    };
    const tickets = createStepTickets({ context, client: options.advice, tables, changed });
    const links = createExecutorLinks({ context, owner, leaseMs });
    const orders = createRunOrders({ context, tables, links, tickets });
    const syncExecutors = (): void => {
        const records = registry.executorsOf(pool);
        // Runs that executors report can only be told from strays once the jobs are known.
        if (records === undefined || !loaded) {
            return;
        }
        links.sync(records, evacuations);
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
        // A successor reads finished jobs as well, as long as their rows are kept.
        if (open === undefined) {
            return;
        }
        noteArrival(tables, history, open, context.steadyMs());
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
    const schedule = (): void => {
        lapse();
        openOccurrences();
        if (loaded && mayAct()) {
            readProgressAgain();
            tickets.fetchAhead();
            orders.sendStops();
            orders.sendStarts();
            orders.sendPace();
            announceVacated();
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
        .observe(() => {
            pacer.run();
            if (loaded && mayAct()) {
                announceDemand();
            }
        });
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
            links.close();
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
