import { closeJob } from "@almondusher/scheduler/admit-job";
import { endJob, expireRuns } from "@almondusher/scheduler/apply-report";
import { EVACUATION_WINDOW_MS } from "@almondusher/scheduler/demand";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import { areInheritedRunsOver } from "@almondusher/scheduler/inherited-runs";
import { isJobEnded } from "@almondusher/scheduler/job-progress";
import type { ExecutorId } from "@almondusher/jobs/ids";
import type { Step } from "@almondusher/jobs/job";
import type { VmId } from "@almondusher/fleet/ids";
import { planOrphanStops, planStops } from "@almondusher/scheduler/plan-stops";
import { placeTasks } from "@almondusher/scheduler/place-tasks";
import { recordLeaseHeld, type Executor, type PoolTables, type VmEvacuation } from "@almondusher/scheduler/pool-tables";
import { takeGivenUpRuns } from "@almondusher/scheduler/run-table";
import { addJob, createPool, limitedBudget, QUEUE } from "./fixture.js";
import { createPausableTime } from "./pausable-time.js";
import { runsOfExecutor } from "./run-relation.js";
import { openSimulatedConnection, type SimulatedConnection } from "./simulated-connection.js";
import type { SimulatedExecutor } from "./simulated-executor.js";
import {
    isWithin,
    MAINTENANCE_WAIT_MS,
    type FaultSpan,
    type PathFault,
    type SimulatedFault,
} from "./simulated-fault.js";
import { createSimulatedFleet, vmName } from "./simulated-fleet.js";
import { createSimulatedGangs } from "./simulated-gangs.js";
import { createSimulatedNetwork, type SimulatedNetwork } from "./simulated-network.js";
import { createSimulatedTime, type SimulatedTime } from "./simulated-time.js";

/** Jobs, faults and properties of the executors of one simulation. */
export interface SimulationPlan {
    readonly vmCount: number;
    readonly clockRate: number;
    readonly maxListedEnds: number;
    /** Number of orders that may be outstanding. */
    readonly orderWindow: number;
    readonly keepsRunsApart: boolean;
    readonly callsOutlastIncarnations: boolean;
    readonly jobs: readonly { readonly atMs: number; readonly steps: readonly Step[] }[];
    readonly faults: readonly SimulatedFault[];
}

/** A pool whose scheduler and executors run in simulated time. */
export interface SimulatedPool {
    readonly time: SimulatedTime;
    readonly tables: PoolTables;
    readonly executors: () => readonly SimulatedExecutor[];
    readonly connectionOf: (executor: Executor) => SimulatedConnection | undefined;
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
const EVACUATION_POLL_MS = 100;
// Failures are counted, but no job ends because of them.
const MAX_ATTEMPTS = 1_000_000;

/** Records what happens in a simulation, for the message of a failure. */
export type Trace = (line: string) => void;

/** Creates the pool and schedules its jobs and faults. */
export const createSimulatedPool = (plan: SimulationPlan, trace: Trace = () => undefined): SimulatedPool => {
    const worldTime = createSimulatedTime();
    const time = createPausableTime(worldTime, plan.faults.filter(isPause));
    const traceNow: Trace = line => trace(`${time.nowMs()} ms: ${line}`);
    const tables = createPool({ executors: [], leaseHeldAtMs: 0 });
    const queue = tables.queues.get(QUEUE);
    if (queue !== undefined) {
        tables.queues.set(QUEUE, { ...queue, maxAttempts: MAX_ATTEMPTS });
    }
    const connections = new Map<ExecutorId, SimulatedConnection>();
    const evacuations = new Map<VmId, VmEvacuation>();
    let leaseRenewedAtMs = 0;
    let isPassRequested = false;
    let lastPassAtMs = Number.NEGATIVE_INFINITY;
    let outstandingOrders = 0;
    let isWriting = false;
    let isWriteRequested = false;

    const isActive = (kind: "store-slow" | "lease-not-renewed"): boolean =>
        plan.faults.some(fault => fault.kind === kind && isWithin(fault, time.nowMs()));
    const mayHaveSuccessor = (): boolean => time.nowMs() - leaseRenewedAtMs > SUCCESSOR_POSSIBLE_AFTER_MS;
    const mayAct = (): boolean => time.nowMs() - leaseRenewedAtMs < MAX_LEASE_AGE_MS;
    const fleet = createSimulatedFleet({
        time: worldTime,
        gangs: createSimulatedGangs(worldTime),
        faults: plan.faults,
        vmCount: plan.vmCount,
        clockRate: plan.clockRate,
        maxListedEnds: plan.maxListedEnds,
        keepsRunsApart: plan.keepsRunsApart,
        onRegistryChange: () => time.after(0, readRegistry),
        trace: traceNow,
    });
    const network = createSimulatedNetwork({
        time: worldTime,
        callerTime: time,
        faults: plan.faults.filter(isPathFault),
        endpointOf: fleet.endpointOf,
        callsOutlastIncarnations: plan.callsOutlastIncarnations,
        trace: traceNow,
    });
    const trackedNetwork: SimulatedNetwork = {
        send: call => {
            outstandingOrders += call.kind === "report" ? 0 : 1;
            network.send({
                ...call,
                done: result => {
                    outstandingOrders -= call.kind === "report" ? 0 : 1;
                    call.done(result);
                },
            });
        },
    };
    const readRegistry = (): void => {
        const unread = plan.faults.find(fault => fault.kind === "registry-not-read" && isWithin(fault, time.nowMs()));
        if (unread !== undefined && "fromMs" in unread) {
            time.after(unread.fromMs + unread.durationMs - time.nowMs(), readRegistry);
        } else {
            syncExecutors();
        }
    };
    const syncExecutors = (): void => {
        applyRegistry(tables, fleet.registry(), time.nowMs());
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
        const { vm } = executor.record;
        if (!connections.has(executor.id)) {
            const connection = openSimulatedConnection({
                time,
                network: trackedNetwork,
                tables,
                executor,
                vm: Number(vm?.slice("vm-".length)),
                mayHaveSuccessor,
                mayExtendLeases: mayAct,
                onEnds: () => requestWrite(),
                onChange: () => requestPass(),
            });
            connections.set(executor.id, connection);
        }
        const evacuation = vm === undefined ? undefined : evacuations.get(vm);
        if (executor.evacuation !== undefined && evacuation === undefined) {
            executor.reconciled = false;
        }
        executor.evacuation = evacuation;
        if (!executor.reconciled && !executor.hasUnreadEnds) {
            connections.get(executor.id)?.pollNow();
        }
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
        const ended = [...tables.jobs.values()].filter(isJobEnded);
        time.after(isActive("store-slow") ? SLOW_WRITE_MS : WRITE_MS, () => {
            ended.forEach(job => closeJob(tables, job));
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
            traceNow(`gives up run ${run.number} of ${run.task.id} on ${run.executor.id}, ${cause}`),
        );
        recordLeaseHeld(tables, leaseRenewedAtMs);
        if (mayAct()) {
            sendOrders(nowMs);
        }
    };
    const sendOrders = (nowMs: number): void => {
        const budget = limitedBudget(plan.orderWindow - outstandingOrders);
        const stopOptions = { nowMs, resendAfterMs: STOP_RESEND_INTERVAL_MS, budget };
        planStops(tables, stopOptions).forEach(run => connections.get(run.executor.id)?.stop(run));
        tables.executors.forEach(executor =>
            planOrphanStops(executor, stopOptions).forEach(orphanedRun =>
                connections.get(executor.id)?.stopOrphanedRun(orphanedRun),
            ),
        );
        placeTasks(tables, { nowMs, budget, executorsWithTicket: () => undefined }).forEach(run =>
            connections.get(run.executor.id)?.start(run),
        );
    };
    const tick = (): void => {
        runPass();
        time.after(TICK_INTERVAL_MS, tick);
    };
    const renewLease = (): void => {
        if (!isActive("lease-not-renewed")) {
            leaseRenewedAtMs = time.nowMs();
            recordLeaseHeld(tables, leaseRenewedAtMs);
            tables.executors.forEach(executor => {
                executor.listedInLease = isListed(tables, executor, time.nowMs());
            });
            requestPass();
        }
        time.after(RENEWAL_INTERVAL_MS, renewLease);
    };
    const beginEvacuation = (vm: number, id: string): void => {
        evacuations.set(vmName(vm), { id, byMs: time.nowMs() + EVACUATION_WINDOW_MS });
        syncExecutors();
    };
    const endEvacuation = (vm: number, id: string): void => {
        if (evacuations.get(vmName(vm))?.id === id) {
            evacuations.delete(vmName(vm));
            syncExecutors();
        }
    };
    const isEvacuated = (vm: number): boolean =>
        [...tables.executors.values()]
            .filter(({ record }) => record.vm === vmName(vm))
            .every(
                executor =>
                    runsOfExecutor(executor).length === 0 &&
                    executor.orphanedRuns.length === 0 &&
                    (executor.reachable ? executor.reconciled : areInheritedRunsOver(tables, executor, time.nowMs())),
            );
    const maintain = (fault: SimulatedFault & { kind: "maintenance" }, id: string): void => {
        if (isEvacuated(fault.executor)) {
            fleet.restart(fault.executor, { ...fault, address: "refuses", leaves: false });
            time.after(fault.downMs, () => endEvacuation(fault.executor, id));
        } else if (time.nowMs() >= fault.atMs + MAINTENANCE_WAIT_MS) {
            endEvacuation(fault.executor, id);
        } else {
            time.after(EVACUATION_POLL_MS, () => maintain(fault, id));
        }
    };
    const schedule = (fault: SimulatedFault, index: number): void => {
        const id = `evacuation-${index}`;
        switch (fault.kind) {
            case "crash":
                time.after(fault.atMs, () => fleet.restart(fault.executor, { ...fault, leaves: false }));
                return;
            case "drain":
                time.after(fault.atMs, () => fleet.drain(fault.executor, fault.drainMs));
                time.after(fault.atMs + fault.drainMs, () =>
                    fleet.restart(fault.executor, { ...fault, address: "refuses", leaves: true }),
                );
                return;
            case "maintenance":
                time.after(fault.atMs, () => {
                    beginEvacuation(fault.executor, id);
                    maintain(fault, id);
                });
                return;
            case "evacuated":
                time.after(fault.fromMs, () => beginEvacuation(fault.executor, id));
                time.after(fault.fromMs + fault.durationMs, () => endEvacuation(fault.executor, id));
                return;
            case "cancel":
                time.after(fault.atMs, () => {
                    const job = [...tables.jobs.values()].find(open => open.id === jobName(fault.job));
                    if (job !== undefined && !isJobEnded(job)) {
                        endJob(job, "cancelled");
                        requestWrite();
                        requestPass();
                    }
                });
                return;
            case "late-calls":
            case "slow-responses":
            case "lost-responses":
            case "unreachable":
            case "unhealthy":
            case "failing":
            case "unregistered":
            case "store-slow":
            case "lease-not-renewed":
            case "registry-not-read":
            case "paused":
                return;
        }
    };
    plan.faults.forEach(schedule);
    plan.jobs.forEach(({ atMs, steps }, index) =>
        time.after(atMs, () => {
            addJob(tables, { id: jobName(index), steps, arrivedAtMs: atMs, readAtMs: atMs });
            requestPass();
        }),
    );
    time.after(0, renewLease);
    time.after(0, tick);
    return {
        time: worldTime,
        tables,
        executors: fleet.executors,
        connectionOf: executor => connections.get(executor.id),
    };
};

const jobName = (index: number): string => `job${index}`;

const isPause = (fault: SimulatedFault): fault is SimulatedFault & FaultSpan => fault.kind === "paused";

const isPathFault = (fault: SimulatedFault): fault is PathFault =>
    fault.kind === "late-calls" ||
    fault.kind === "slow-responses" ||
    fault.kind === "lost-responses" ||
    fault.kind === "unreachable";

// Executors that a successor would have to read.
const isListed = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    (executor.registered && executor.reachable && executor.evacuation === undefined) ||
    runsOfExecutor(executor).length > 0 ||
    executor.orphanedRuns.length > 0 ||
    !areInheritedRunsOver(tables, executor, nowMs);
