import type { VmId } from "@almondusher/fleet/ids";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import type { Executor, VmEvacuation } from "@almondusher/scheduler/pool-tables";
import { areRunsRead } from "@almondusher/scheduler/inherited-runs";
import { containErrors } from "../process/contain-errors.js";
import type { DispatcherContext } from "../process/dispatcher-context.js";
import {
    openExecutorConnection,
    type ExecutorConnection,
    type ExecutorConnectionOwner,
} from "./executor-connection.js";
import type { OrderLoad } from "./order-load.js";
import type { OrderWindow } from "./order-window.js";

/** Connections from a pool's scheduler to all its executors. */
export interface ExecutorConnections {
    /** Updates executors and connections to match the registry and the evacuations. */
    readonly sync: (records: readonly ExecutorRecord[], evacuations: ReadonlyMap<VmId, VmEvacuation>) => void;
    /** Polls all executors now that have to be polled. */
    readonly pollNow: () => void;
    readonly get: (id: ExecutorId) => ExecutorConnection | undefined;
    readonly close: () => void;
}

export interface ExecutorConnectionsOptions {
    readonly context: DispatcherContext;
    readonly owner: ExecutorConnectionOwner;
    readonly orderLoad: OrderLoad;
    readonly orderWindow: OrderWindow;
}

/** Creates the set of connections; none is opened before the first `sync`. */
export const createExecutorConnections = ({
    context,
    owner,
    orderLoad,
    orderWindow,
}: ExecutorConnectionsOptions): ExecutorConnections => {
    const { tables } = owner;
    const connections = new Map<ExecutorId, ExecutorConnection>();
    const closeRemoved = (): void =>
        [...connections.keys()]
            .filter(id => !tables.executors.has(id))
            .forEach(id => {
                connections.get(id)?.close();
                connections.delete(id);
                orderWindow.forget(id);
            });
    const syncExecutor = (executor: Executor, evacuations: ReadonlyMap<VmId, VmEvacuation>): void => {
        if (!connections.has(executor.id)) {
            connections.set(executor.id, openExecutorConnection({ context, owner, executor, orderLoad, orderWindow }));
        }
        const { vm } = executor.record;
        const evacuation = vm === undefined ? undefined : evacuations.get(vm);
        // The VM may have restarted during the evacuation, and the registry may still list an executor that ended with
        // it. The executor gets no starts until its runs have been read again.
        if (executor.evacuation !== undefined && evacuation === undefined) {
            executor.reconciled = false;
        }
        executor.evacuation = evacuation;
        // The wait before the next poll was chosen for the state in which the executor was then. The registry may have shown
        // since that it has restarted.
        if (!areRunsRead(executor)) {
            connections.get(executor.id)?.pollNow();
        }
    };
    const trySyncExecutor = containErrors({ context, part: "executor-connection" }, syncExecutor);
    return {
        sync: (records, evacuations) => {
            applyRegistry(tables, records, context.monotonicMs());
            closeRemoved();
            tables.executors.forEach(executor => trySyncExecutor(executor, evacuations));
        },
        pollNow: () => connections.forEach(connection => connection.pollNow()),
        get: id => connections.get(id),
        close: () => connections.forEach(connection => connection.close()),
    };
};
