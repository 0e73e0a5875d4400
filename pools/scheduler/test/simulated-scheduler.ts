import type { VmId } from "@almondusher/fleet/ids";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { closeJob, mergeProgress } from "@almondusher/scheduler/admit-job";
import { endJob, expireRuns } from "@almondusher/scheduler/apply-report";
import { addUnregistered, applyRegistry } from "@almondusher/scheduler/executor-table";
import { areInheritedRunsKnown, areInheritedRunsOver } from "@almondusher/scheduler/inherited-runs";
import { dropPastInheritedStarts, inheritStarts, undeliveredStarts } from "@almondusher/scheduler/inherited-starts";
import { isJobEnded, progressOf } from "@almondusher/scheduler/job-progress";
import { planOrphanStops, planStops } from "@almondusher/scheduler/plan-stops";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import {
    recordLeaseHeld,
    type Executor,
    type OpenJob,
    type PoolTables,
    type UndeliveredStart,
    type VmEvacuation,
} from "@almondusher/scheduler/pool-tables";
import { initialRunNumbers, nextReservation, nextToken } from "@almondusher/scheduler/run-numbers";
import { takeGivenUpRuns } from "@almondusher/scheduler/run-table";
import { addJob, createPool, limitedBudget, QUEUE, record, RUN_LEASE_MS } from "./fixture.js";
import { runsOfExecutor } from "./run-relation.js";
import { openSimulatedConnection, type SimulatedConnection } from "./simulated-connection.js";
import type { SimulatedNetwork } from "./simulated-network.js";
import type { SimulatedStore, StoredJob } from "./simulated-store.js";
import type { SimulatedTime } from "./simulated-time.js";

/** The scheduler of the pool in one tenure. */
export interface SimulatedScheduler {
    readonly tables: PoolTables;
    readonly connectionOf: (executor: Executor) => SimulatedConnection | undefined;
    /** Reads the registry and the evacuations again. */
    readonly syncExecutors: () => void;
    /** Reads the stored jobs again. */
    readonly syncJobs: () => void;
    /** True if no executor of the VM holds a run. */
    readonly isEvacuated: (vm: VmId) => boolean;
    /** What the row of the pool lease says. */
    readonly lease: () => PoolLease;
}

/** The row of the pool lease. */
export interface PoolLease {
    readonly token: number;
    readonly runNumbersUpTo: number;
    readonly executors: readonly Pick<ExecutorRecord, "id" | "address">[];
    readonly undeliveredStarts: readonly UndeliveredStart[];
}

export interface SimulatedSchedulerOptions {
    /** Time of its process. */
    readonly time: SimulatedTime;
    readonly network: SimulatedNetwork;
    readonly store: SimulatedStore;
    readonly registry: () => readonly ExecutorRecord[];
    readonly evacuations: ReadonlyMap<VmId, VmEvacuation>;
    readonly orderWindow: number;
    readonly isStoreSlow: () => boolean;
    readonly canRenewLease: () => boolean;
    /** Undefined in the first tenure. */
    readonly predecessor: PoolLease | undefined;
    readonly trace: (line: string) => void;
}

const TICK_INTERVAL_MS = 100;
const MIN_PASS_INTERVAL_MS = 10;
const STOP_RESEND_INTERVAL_MS = 400;
const RENEWAL_INTERVAL_MS = 400;
/** A scheduler acts for this time after the last renewal of the pool lease, in milliseconds. */
const MAX_LEASE_AGE_MS = 6000;
const SUCCESSOR_POSSIBLE_AFTER_MS = 1600;
const WRITE_MS = 20;
const SLOW_WRITE_MS = 1500;
const SLOWEST_CLOCK_RATE = 0.98;
const STORE_CLOCK_MARGIN_MS = 500;
/** Time after a takeover within which runs of former holders may be active on executors out of reach, in milliseconds. */
export const INHERITED_WAIT_MS = MAX_LEASE_AGE_MS + RUN_LEASE_MS / SLOWEST_CLOCK_RATE + STORE_CLOCK_MARGIN_MS;
// Failures are counted, but no job ends because of them.
const MAX_ATTEMPTS = 1_000_000;

/** Starts the scheduler. Its callbacks are those of the given time, so it ends when that runs no more of them. */
export const startSimulatedScheduler = (options: SimulatedSchedulerOptions): SimulatedScheduler => {
    const { time, store, predecessor } = options;
    const tables = createTables(predecessor, time.nowMs());
    const connections = new Map<ExecutorId, SimulatedConnection>();
    let leaseRenewedAtMs = time.nowMs();
    let lease: PoolLease = {
        token: tables.token,
        runNumbersUpTo: tables.runNumbers.reservedUpTo,
        executors: predecessor?.executors ?? [],
        undeliveredStarts: predecessor?.undeliveredStarts ?? [],
    };
    let isPassRequested = false;
    let lastPassAtMs = Number.NEGATIVE_INFINITY;
    let outstandingOrders = 0;
    let isWriting = false;
    let isWriteRequested = false;
    let isReloading = false;

    const leaseAgeMs = (): number => time.nowMs() - leaseRenewedAtMs;
    const mayAct = (): boolean => leaseAgeMs() < MAX_LEASE_AGE_MS;
    const network: SimulatedNetwork = {
        send: call => {
            outstandingOrders += call.kind === "report" ? 0 : 1;
            options.network.send({
                ...call,
                done: result => {
                    outstandingOrders -= call.kind === "report" ? 0 : 1;
                    call.done(result);
                },
            });
        },
    };
    const syncExecutors = (): void => {
        applyRegistry(tables, options.registry(), time.nowMs());
        [...connections.keys()]
            .filter(id => !tables.executors.has(id))
            .forEach(id => {
                connections.get(id)?.close();
                connections.delete(id);
            });
        tables.executors.forEach(syncExecutor);
        requestPass();
    };
    const syncExecutor = (executor: Executor): void => {
        if (!connections.has(executor.id)) {
            const connection = openSimulatedConnection({
                time,
                network,
                tables,
                executor,
                vm: vmIndexOf(executor.record),
                mayHaveSuccessor: () => leaseAgeMs() > SUCCESSOR_POSSIBLE_AFTER_MS,
                mayExtendLeases: mayAct,
                onEnds: () => requestWrite(),
                onChange: () => requestPass(),
            });
            connections.set(executor.id, connection);
        }
        const { vm } = executor.record;
        const evacuation = vm === undefined ? undefined : options.evacuations.get(vm);
        if (executor.evacuation !== undefined && evacuation === undefined) {
            executor.reconciled = false;
        }
        executor.evacuation = evacuation;
        if (!executor.reconciled && !executor.hasUnreadEnds) {
            connections.get(executor.id)?.pollNow();
        }
    };
    const syncJobs = (): void => {
        store.jobs().forEach(syncJob);
        requestPass();
    };
    const syncJob = ({ id, steps, arrivedAtMs, progress, version, isCancelled }: StoredJob): void => {
        addJob(tables, {
            id,
            steps,
            arrivedAtMs,
            progress,
            readAtMs: time.nowMs(),
            inherited: predecessor !== undefined,
        });
        const open = findJob(id);
        if (open !== undefined) {
            open.progressVersion = Math.max(open.progressVersion, version);
            if (isCancelled && !isJobEnded(open)) {
                endJob(open, "cancelled");
                requestWrite();
            }
        }
    };
    const findJob = (id: string): OpenJob | undefined => [...tables.jobs.values()].find(open => open.id === id);
    const reloadProgress = (): void => {
        if (tables.isProgressCurrent || isReloading || !areInheritedRunsKnown(tables, time.nowMs())) {
            return;
        }
        isReloading = true;
        time.after(WRITE_MS, () => {
            isReloading = false;
            tables.isProgressCurrent = true;
            store.jobs().forEach(({ id, progress, version }) => {
                const open = findJob(id);
                if (open !== undefined) {
                    mergeProgress(tables, open, { progress, version });
                }
            });
            requestWrite();
            requestPass();
        });
    };
    const requestWrite = (): void => {
        isWriteRequested = true;
        if (!isWriting) {
            write();
        }
    };
    const write = (): void => {
        isWriting = true;
        isWriteRequested = false;
        const applied = [...tables.executors.values()].map(executor => ({
            executor,
            lastAppliedEnd: executor.lastAppliedEnd,
            incarnation: executor.incarnation,
        }));
        const writes = [...tables.jobs.values()].map(job => ({
            job,
            progress: progressOf(job),
            isFinal: isJobEnded(job),
        }));
        time.after(options.isStoreSlow() ? SLOW_WRITE_MS : WRITE_MS, () => {
            writes.forEach(({ job, progress, isFinal }) => {
                job.progressVersion = store.writeProgress(job.id, progress);
                if (isFinal) {
                    closeJob(tables, job);
                }
            });
            applied
                .filter(({ executor, lastAppliedEnd }) => executor.lastStoredEnd < lastAppliedEnd)
                .filter(({ executor, incarnation }) => executor.incarnation === incarnation)
                .forEach(({ executor, lastAppliedEnd }) => {
                    executor.lastStoredEnd = lastAppliedEnd;
                    connections.get(executor.id)?.pollNow();
                });
            isWriting = false;
            if (isWriteRequested) {
                write();
            }
        });
    };
    const requestPass = (): void => {
        if (!isPassRequested) {
            isPassRequested = true;
            time.after(Math.max(0, lastPassAtMs + MIN_PASS_INTERVAL_MS - time.nowMs()), runPass);
        }
    };
    const runPass = (): void => {
        const nowMs = time.nowMs();
        isPassRequested = false;
        lastPassAtMs = nowMs;
        tables.executors.forEach(executor => expireRuns(tables, executor, nowMs));
        takeGivenUpRuns(tables).forEach(({ run, cause }) =>
            options.trace(`gives up run ${run.number} of ${run.task.id} on ${run.executor.id}, ${cause}`),
        );
        recordLeaseHeld(tables, leaseRenewedAtMs);
        if (mayAct()) {
            reloadProgress();
            sendOrders(nowMs);
        }
    };
    const sendOrders = (nowMs: number): void => {
        const budget = limitedBudget(options.orderWindow - outstandingOrders);
        const stopOptions = { nowMs, resendAfterMs: STOP_RESEND_INTERVAL_MS, budget };
        planStops(tables, stopOptions).forEach(run => connections.get(run.executor.id)?.stop(run));
        tables.executors.forEach(executor =>
            planOrphanStops(executor, stopOptions).forEach(orphanedRun =>
                connections.get(executor.id)?.stopOrphanedRun(orphanedRun),
            ),
        );
        dropPastInheritedStarts(tables, nowMs);
        placeTasks(tables, { nowMs, budget, executorsWithTicket: () => undefined }).forEach(run =>
            connections.get(run.executor.id)?.start(run),
        );
    };
    const tick = (): void => {
        runPass();
        time.after(TICK_INTERVAL_MS, tick);
    };
    const renewLease = (): void => {
        if (options.canRenewLease()) {
            const nowMs = time.nowMs();
            const listed = [...tables.executors.values()].filter(executor => isListed(tables, executor, nowMs));
            tables.executors.forEach(executor => (executor.listedInLease = listed.includes(executor)));
            tables.runNumbers.reservedUpTo = nextReservation(tables.runNumbers);
            lease = {
                token: tables.token,
                runNumbersUpTo: tables.runNumbers.reservedUpTo,
                executors: listed.map(({ id, record: { address } }) => ({ id, address })),
                undeliveredStarts: undeliveredStarts(tables, nowMs),
            };
            leaseRenewedAtMs = nowMs;
            recordLeaseHeld(tables, leaseRenewedAtMs);
            requestPass();
        }
        time.after(RENEWAL_INTERVAL_MS, renewLease);
    };
    const isEvacuated = (vm: VmId): boolean =>
        [...tables.executors.values()]
            .filter(executor => executor.record.vm === vm)
            .every(
                executor =>
                    runsOfExecutor(executor).length === 0 &&
                    executor.orphanedRuns.length === 0 &&
                    (executor.reachable ? executor.reconciled : areInheritedRunsOver(tables, executor, time.nowMs())),
            );
    syncJobs();
    syncExecutors();
    time.after(0, renewLease);
    time.after(0, tick);
    return {
        tables,
        connectionOf: executor => connections.get(executor.id),
        syncExecutors,
        syncJobs,
        isEvacuated,
        lease: () => lease,
    };
};

const createTables = (predecessor: PoolLease | undefined, nowMs: number): PoolTables => {
    const token =
        predecessor === undefined
            ? 1
            : nextToken({ epoch: predecessor.token, runNumbersUpTo: predecessor.runNumbersUpTo });
    const tables: PoolTables = {
        ...createPool({ executors: [], leaseHeldAtMs: nowMs }),
        token,
        runNumbers: initialRunNumbers(token),
        isProgressCurrent: predecessor === undefined,
        inheritedWaitUntilMs: predecessor === undefined ? 0 : nowMs + INHERITED_WAIT_MS,
    };
    const queue = tables.queues.get(QUEUE);
    if (queue !== undefined) {
        tables.queues.set(QUEUE, { ...queue, maxAttempts: MAX_ATTEMPTS });
    }
    inheritStarts(tables, predecessor?.undeliveredStarts ?? [], nowMs);
    predecessor?.executors.forEach(({ id, address }) =>
        addUnregistered(
            tables,
            record(id, {
                vm: undefined,
                address,
                capacity: { cpu: 0, memoryMb: 0, gpu: 0 },
                labels: [],
                startedAtMs: 0,
                clockMs: undefined,
            }),
        ),
    );
    return tables;
};

/** The index of the VM, which is the port of its address. */
const vmIndexOf = ({ address }: Pick<ExecutorRecord, "address">): number => Number(address.split(":")[1]);

// Executors that a successor would have to read.
const isListed = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    (executor.registered && executor.reachable && executor.evacuation === undefined) ||
    runsOfExecutor(executor).length > 0 ||
    executor.orphanedRuns.length > 0 ||
    !areInheritedRunsOver(tables, executor, nowMs);
