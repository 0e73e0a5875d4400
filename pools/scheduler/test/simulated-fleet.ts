import { toId, type VmId } from "@almondusher/fleet/ids";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId } from "@almondusher/jobs/ids";
import type { DoneTasks } from "./done-tasks.js";
import { record } from "./fixture.js";
import { createSimulatedExecutor, type SimulatedExecutor } from "./simulated-executor.js";
import { isWithin, type Return, type SimulatedFault } from "./simulated-fault.js";
import type { SimulatedGangs } from "./simulated-gangs.js";
import type { Endpoint } from "./simulated-network.js";
import type { SimulatedTime } from "./simulated-time.js";

/** The VMs of a pool with their executors, and the registry. */
export interface SimulatedFleet {
    readonly endpointOf: (vm: number) => Endpoint;
    /** Executors that are up. */
    readonly executors: () => readonly SimulatedExecutor[];
    readonly registry: () => readonly ExecutorRecord[];
    /** Ends the executor of a VM and starts another one after a time. */
    readonly restart: (vm: number, restart: SimulatedRestart) => void;
    /** Marks the executor of a VM as draining. */
    readonly drain: (vm: number, drainMs: number) => void;
}

interface SimulatedRestart {
    readonly downMs: number;
    readonly returns: Return;
    readonly firstHeartbeatMs: number;
    readonly address: "refuses" | "silent";
    /** True if the executor removes its registration as it leaves. */
    readonly leaves: boolean;
}

export interface SimulatedFleetOptions {
    readonly time: SimulatedTime;
    readonly gangs: SimulatedGangs;
    readonly faults: readonly SimulatedFault[];
    readonly vmCount: number;
    /** Rate of the executors' clocks. */
    readonly clockRate: number;
    readonly maxListedEnds: number;
    readonly keepsRunsApart: boolean;
    readonly clocksGoOn: boolean;
    readonly doneTasks: DoneTasks;
    readonly trace: (line: string) => void;
    /** Called after a change of the registry. */
    readonly onRegistryChange: () => void;
}

/** Capacity of each VM. */
export const VM_CAPACITY = { cpu: 8000, memoryMb: 8000, gpu: 0 };
const HEARTBEAT_MS = 1500;
/** Time after which a silent executor is removed from the registry, in milliseconds. */
export const REGISTRATION_MS = 3 * HEARTBEAT_MS;
const REGISTRY_DELAY_MS = 20;

interface SimulatedVm {
    readonly index: number;
    readonly name: string;
    executor: SimulatedExecutor | undefined;
    downAddress: "refuses" | "silent";
    starts: number;
    drainingUntilMs: number | undefined;
}

interface Registration {
    readonly record: ExecutorRecord;
    readonly writtenAtMs: number;
}

/** Id of the executor that a VM starts with. */
const initialExecutorId = (vm: number): ExecutorId => toId<ExecutorId>(`e${vm}`);

/** Name of a VM. */
export const vmName = (vm: number): VmId => toId<VmId>(`vm-${vm}`);

/** Starts an executor on each VM and registers it at once. */
export const createSimulatedFleet = (options: SimulatedFleetOptions): SimulatedFleet => {
    const { time, faults } = options;
    const registrations = new Map<ExecutorId, Registration>();
    const isFaulty = (vm: number, kind: "unhealthy" | "failing" | "unregistered"): boolean =>
        faults.some(fault => fault.kind === kind && fault.executor === vm && isWithin(fault, time.nowMs()));
    const notify = (): void => time.after(REGISTRY_DELAY_MS, options.onRegistryChange);
    const writeRegistration = (vm: SimulatedVm, executor: SimulatedExecutor): void => {
        registrations.set(executor.id, { record: recordOf(vm, executor), writtenAtMs: time.nowMs() });
        time.after(REGISTRATION_MS, () => {
            const known = registrations.get(executor.id);
            if (known !== undefined && time.nowMs() - known.writtenAtMs >= REGISTRATION_MS) {
                registrations.delete(executor.id);
                notify();
            }
        });
        notify();
    };
    const register = (vm: SimulatedVm, executor: SimulatedExecutor): void => {
        if (vm.executor !== executor) {
            return;
        }
        if (!isFaulty(vm.index, "unregistered")) {
            writeRegistration(vm, executor);
        }
        time.after(HEARTBEAT_MS, () => register(vm, executor));
    };
    const recordOf = (vm: SimulatedVm, executor: SimulatedExecutor): ExecutorRecord =>
        record(executor.id, {
            vm: vmName(vm.index),
            address: `127.0.0.1:${vm.index}`,
            capacity: VM_CAPACITY,
            startedAtMs: executor.bornMs,
            clockMs: executor.clockMs(),
            draining: vm.drainingUntilMs !== undefined,
            remainingMs: vm.drainingUntilMs === undefined ? undefined : Math.max(0, vm.drainingUntilMs - time.nowMs()),
        });
    const startExecutor = (vm: SimulatedVm, id: ExecutorId, firstHeartbeatMs: number): void => {
        const executor = createSimulatedExecutor({
            time,
            gangs: options.gangs,
            id,
            clockStartedAtMs: options.clocksGoOn ? 0 : time.nowMs(),
            clockRate: options.clockRate,
            doneTasks: options.doneTasks,
            maxListedEnds: options.maxListedEnds,
            keepsRunsApart: options.keepsRunsApart,
            trace: options.trace,
            isUnhealthy: () => isFaulty(vm.index, "unhealthy"),
            isFailing: () => isFaulty(vm.index, "failing"),
        });
        options.trace(`${id} begins`);
        vm.executor = executor;
        vm.starts++;
        vm.drainingUntilMs = undefined;
        time.after(firstHeartbeatMs, () => register(vm, executor));
    };
    const vms = Array.from({ length: options.vmCount }, (unused, index): SimulatedVm => ({
        index,
        name: vmName(index),
        executor: undefined,
        downAddress: "refuses",
        starts: 0,
        drainingUntilMs: undefined,
    }));
    const vmAt = (index: number): SimulatedVm => {
        const vm = vms[index];
        if (vm === undefined) {
            throw new Error(`no VM ${index}`);
        }
        return vm;
    };
    vms.forEach(vm => startExecutor(vm, initialExecutorId(vm.index), 0));
    return {
        endpointOf: index => {
            const { executor, downAddress } = vmAt(index);
            return executor === undefined ? { kind: downAddress } : { kind: "executor", executor };
        },
        executors: () => vms.flatMap(({ executor }) => (executor === undefined ? [] : [executor])),
        registry: () => [...registrations.values()].map(registration => registration.record),
        restart: (index, { downMs, returns, firstHeartbeatMs, address, leaves }) => {
            const vm = vmAt(index);
            const { executor } = vm;
            if (executor === undefined) {
                return;
            }
            options.trace(`${executor.id} ends`);
            executor.kill();
            vm.executor = undefined;
            vm.downAddress = address;
            if (leaves) {
                registrations.delete(executor.id);
                notify();
            }
            if (returns === "never") {
                return;
            }
            const id = returns === "same-id" ? executor.id : toId<ExecutorId>(`e${index}-${vm.starts}`);
            time.after(downMs, () => startExecutor(vm, id, firstHeartbeatMs));
        },
        drain: (index, drainMs) => {
            const vm = vmAt(index);
            if (vm.executor !== undefined && vm.drainingUntilMs === undefined) {
                vm.drainingUntilMs = time.nowMs() + drainMs;
                writeRegistration(vm, vm.executor);
            }
        },
    };
};
