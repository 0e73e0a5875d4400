import type { Assignment } from "@almondusher/fleet/assignment";
import { type EntityTable, entityTable } from "@almondusher/fleet/entity-table";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import { type RouteIndex, routeIndex } from "@almondusher/fleet/route-index";
import type { Vm } from "@almondusher/fleet/vm";

/** A pool and the VMs that may receive its new requests. */
export interface PoolView {
    readonly pool: Pool;
    readonly vms: readonly Vm[];
}

/** Read model of the data path: one revision of the fleet state joined with the platform's VM list. */
export interface FleetView {
    readonly state: FleetState;
    readonly routes: RouteIndex;
    readonly pools: EntityTable<PoolName, PoolView>;
}

export interface FleetViewOptions {
    readonly state: FleetState;
    /** The latest VM list of the platform. */
    readonly vms: EntityTable<VmId, Vm>;
    /** Latest row of every VM that was ever listed, including VMs that are no longer listed. */
    readonly knownVms: EntityTable<VmId, Vm>;
    /** VMs that returned to service after the list was read, which may therefore still list them as leaving. */
    readonly returnedVms: ReadonlySet<VmId>;
}

const servingByPool = (state: FleetState): ReadonlyMap<PoolName, readonly Assignment[]> => {
    const serving = new Map<PoolName, Assignment[]>();
    state.assignments.rows
        .filter(assignment => assignment.phase.kind === "serving")
        .forEach(assignment => {
            const rows = serving.get(assignment.pool);
            if (rows === undefined) {
                serving.set(assignment.pool, [assignment]);
            } else {
                rows.push(assignment);
            }
        });
    return serving;
};

const usableVms = (
    assignments: readonly Assignment[],
    vms: EntityTable<VmId, Vm>,
    returnedVms: ReadonlySet<VmId>,
): readonly Vm[] =>
    assignments
        .map(assignment => vms.get(assignment.vm))
        .filter(vm => vm !== undefined)
        .filter(vm => vm.state === "live" || returnedVms.has(vm.id));

/** Joins a revision of the fleet state with the VM list. */
export const fleetView = ({ state, vms, knownVms, returnedVms }: FleetViewOptions): FleetView => {
    const serving = servingByPool(state);
    const viewOf = (pool: Pool): PoolView => {
        const assignments = serving.get(pool.name) ?? [];
        const listed = usableVms(assignments, vms, returnedVms);
        // If the list has no usable VM of the pool, it is more often wrong than right, so the last known rows are used. A
        // dead VM among them costs only a failed connection.
        return { pool, vms: listed.length > 0 ? listed : usableVms(assignments, knownVms, returnedVms) };
    };
    return {
        state,
        routes: routeIndex(state.routes),
        pools: entityTable(state.pools.rows.map(viewOf), view => view.pool.name),
    };
};
