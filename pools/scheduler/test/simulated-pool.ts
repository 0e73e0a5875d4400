import type { Step } from "@almondusher/jobs/job";
import type { VmId } from "@almondusher/fleet/ids";
import { EVACUATION_WINDOW_MS } from "@almondusher/scheduler/demand";
import type { VmEvacuation } from "@almondusher/scheduler/pool-tables";
import { createDoneTasks, type DoneTasks } from "./done-tasks.js";
import { createPausableTime } from "./pausable-time.js";
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
import { createSimulatedNetwork, type OutlastingCalls } from "./simulated-network.js";
import { startSimulatedScheduler, type PoolLease, type SimulatedScheduler } from "./simulated-scheduler.js";
import { createSimulatedStore } from "./simulated-store.js";
import { createSimulatedTime, type SimulatedTime } from "./simulated-time.js";

/** Jobs, faults and properties of the executors of one simulation. */
export interface SimulationPlan {
    readonly vmCount: number;
    readonly clockRate: number;
    readonly maxListedEnds: number;
    /** Number of orders that may be outstanding. */
    readonly orderWindow: number;
    readonly keepsRunsApart: boolean;
    /** Calls without a response that a later incarnation of the executor may carry out. */
    readonly callsOutlastIncarnations: OutlastingCalls;
    /** True if the clock of an executor goes on when it restarts under its id, as one of its VM does. */
    readonly clocksGoOn: boolean;
    readonly jobs: readonly { readonly atMs: number; readonly steps: readonly Step[] }[];
    readonly faults: readonly SimulatedFault[];
}

/** A pool whose scheduler and executors run in simulated time. */
export interface SimulatedPool {
    readonly time: SimulatedTime;
    /** The present scheduler, or the last one if its successor has not started yet. */
    readonly scheduler: () => SimulatedScheduler;
    readonly executors: () => readonly SimulatedExecutor[];
    readonly doneTasks: DoneTasks;
}

const EVACUATION_POLL_MS = 100;

/** Records what happens in a simulation, for the message of a failure. */
export type Trace = (line: string) => void;

/** Creates the pool and schedules its jobs and faults. */
export const createSimulatedPool = (plan: SimulationPlan, trace: Trace = () => undefined): SimulatedPool => {
    const time = createSimulatedTime();
    const traceNow: Trace = line => trace(`${time.nowMs()} ms: ${line}`);
    const store = createSimulatedStore();
    const evacuations = new Map<VmId, VmEvacuation>();
    const doneTasks = createDoneTasks();
    let tenure = 1;

    const isActive = (kind: "store-slow" | "lease-not-renewed"): boolean =>
        plan.faults.some(fault => fault.kind === kind && isWithin(fault, time.nowMs()));
    const fleet = createSimulatedFleet({
        time,
        gangs: createSimulatedGangs(time),
        faults: plan.faults,
        vmCount: plan.vmCount,
        clockRate: plan.clockRate,
        maxListedEnds: plan.maxListedEnds,
        keepsRunsApart: plan.keepsRunsApart,
        clocksGoOn: plan.clocksGoOn,
        doneTasks,
        onRegistryChange: () => readRegistry(),
        trace: traceNow,
    });
    const startScheduler = (predecessor: PoolLease | undefined): SimulatedScheduler => {
        const ownTenure = tenure;
        const processTime = createPausableTime(time, plan.faults.filter(isPause), () => tenure === ownTenure);
        return startSimulatedScheduler({
            time: processTime,
            network: createSimulatedNetwork({
                time,
                callerTime: processTime,
                faults: plan.faults.filter(isPathFault),
                endpointOf: fleet.endpointOf,
                callsOutlastIncarnations: plan.callsOutlastIncarnations,
                trace: traceNow,
            }),
            store,
            registry: fleet.registry,
            evacuations,
            orderWindow: plan.orderWindow,
            isStoreSlow: () => isActive("store-slow"),
            canRenewLease: () => !isActive("lease-not-renewed"),
            predecessor,
            trace: traceNow,
        });
    };
    let scheduler = startScheduler(undefined);
    let isUp = true;
    const readRegistry = (): void => {
        const unread = plan.faults.filter(isUnreadRegistry).find(span => isWithin(span, time.nowMs()));
        const pause = plan.faults.filter(isPause).find(span => isWithin(span, time.nowMs()));
        const delay = unread ?? pause;
        if (delay !== undefined) {
            time.after(delay.fromMs + delay.durationMs - time.nowMs(), readRegistry);
        } else if (isUp) {
            scheduler.syncExecutors();
        }
    };
    const readJobs = (): void => {
        if (isUp) {
            scheduler.syncJobs();
        }
    };
    const takeOver = (gapMs: number): void => {
        if (!isUp) {
            return;
        }
        traceNow("the scheduler's process ends");
        tenure++;
        isUp = false;
        time.after(gapMs, () => {
            scheduler = startScheduler(scheduler.lease());
            isUp = true;
            traceNow(`another scheduler begins with token ${scheduler.tables.token}`);
        });
    };
    const beginEvacuation = (vm: number, id: string): void => {
        evacuations.set(vmName(vm), { id, byMs: time.nowMs() + EVACUATION_WINDOW_MS });
        readRegistry();
    };
    const endEvacuation = (vm: number, id: string): void => {
        if (evacuations.get(vmName(vm))?.id === id) {
            evacuations.delete(vmName(vm));
            readRegistry();
        }
    };
    const maintain = (fault: SimulatedFault & { kind: "maintenance" }, id: string): void => {
        if (isUp && scheduler.isEvacuated(vmName(fault.executor))) {
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
                    store.cancel(jobName(fault.job));
                    readJobs();
                });
                return;
            case "takeover":
                time.after(fault.atMs, () => takeOver(fault.gapMs));
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
            store.add({ id: jobName(index), steps, arrivedAtMs: atMs });
            readJobs();
        }),
    );
    return { time, scheduler: () => scheduler, executors: fleet.executors, doneTasks };
};

const jobName = (index: number): string => `job${index}`;

const isPause = (fault: SimulatedFault): fault is SimulatedFault & FaultSpan => fault.kind === "paused";

const isUnreadRegistry = (fault: SimulatedFault): fault is SimulatedFault & FaultSpan =>
    fault.kind === "registry-not-read";

const isPathFault = (fault: SimulatedFault): fault is PathFault =>
    fault.kind === "late-calls" ||
    fault.kind === "slow-responses" ||
    fault.kind === "lost-responses" ||
    fault.kind === "unreachable";
