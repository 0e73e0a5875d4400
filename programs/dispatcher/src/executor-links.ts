import type { VmId } from "@almondusher/fleet/ids";
import type { ExecutorRecord } from "@almondusher/jobs/executor";
import type { ExecutorId } from "@almondusher/jobs/ids";
import { applyRegistry } from "@almondusher/scheduler/executor-table";
import type { VmEvacuation } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "./dispatcher-context.js";
import { openExecutorLink, type ExecutorLink, type LinkOwner } from "./executor-link.js";

/** The links of a pool's scheduler with all its executors. */
export interface ExecutorLinks {
    /** Brings executors and links in line with the registry and the evacuations. */
    readonly sync: (records: readonly ExecutorRecord[], evacuations: ReadonlyMap<VmId, VmEvacuation>) => void;
    readonly get: (id: ExecutorId) => ExecutorLink | undefined;
    readonly close: () => void;
}

/** Options of the links. */
export interface ExecutorLinksOptions {
    readonly context: DispatcherContext;
    readonly owner: LinkOwner;
    /** Length of the leases of runs in milliseconds. */
    readonly leaseMs: number;
}

/** Creates the links; none is open before the first sync. */
export const createExecutorLinks = ({ context, owner, leaseMs }: ExecutorLinksOptions): ExecutorLinks => {
    const { tables } = owner;
    const links = new Map<ExecutorId, ExecutorLink>();
    const closeRemoved = (): void =>
        [...links.keys()]
            .filter(id => !tables.executors.has(id))
            .forEach(id => {
                links.get(id)?.close();
                links.delete(id);
            });
    return {
        sync: (records, evacuations) => {
            applyRegistry(tables, records, context.steadyMs());
            closeRemoved();
            tables.executors.forEach(executor => {
                if (!links.has(executor.id)) {
                    links.set(executor.id, openExecutorLink({ context, owner, executor, leaseMs }));
                }
                const { vm } = executor.record;
                const evacuation = vm === undefined ? undefined : evacuations.get(vm);
                // The VM may have restarted meanwhile, which ends the executor before its entry is gone.
                if (executor.evacuation !== undefined && evacuation === undefined) {
                    executor.inspected = false;
                    links.get(executor.id)?.wake();
                }
                executor.evacuation = evacuation;
            });
        },
        get: id => links.get(id),
        close: () => links.forEach(link => link.close()),
    };
};
