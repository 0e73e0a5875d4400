import type { Assignment } from "@almondusher/fleet/assignment";
import { type EntityTable, entityTable } from "@almondusher/fleet/entity-table";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { PoolName, VmId } from "@almondusher/fleet/ids";
import type { Pool } from "@almondusher/fleet/pool";
import { type RouteIndex, routeIndex } from "@almondusher/fleet/route-index";
import type { Vm } from "@almondusher/fleet/vm";

/** A pool and the VMs that may get new requests of it. */
export interface PoolView {
    readonly pool: Pool;
    readonly vms: readonly Vm[];
}

/** What the data path reads: one revision of the fleet state joined with the platform's VM list. */
export interface FleetView {
    readonly state: FleetState;
    readonly routes: RouteIndex;
    readonly pools: EntityTable<PoolName, PoolView>;
}

export interface FleetViewOptions {
    readonly state: FleetState;
    /** The platform's list. */
    readonly vms: EntityTable<VmId, Vm>;
    /** The last entry of each VM that was ever listed, also of those no longer listed. */
    readonly knownVms: EntityTable<VmId, Vm>;
    /** VMs that returned to service after the list was read, so that it may still show them leaving. */
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

/** Joins a revision with the VM list. */
export const fleetView = ({ state, vms, knownVms, returnedVms }: FleetViewOptions): FleetView => {
    const serving = servingByPool(state);
    const viewOf = (pool: Pool): PoolView => {
        const assignments = serving.get(pool.name) ?? [];
        const listed = usableVms(assignments, vms, returnedVms);
        // A list without any VM of a pool is more often wrong than right, and a dead VM costs only a failed connection.
        return { pool, vms: listed.length > 0 ? listed : usableVms(assignments, knownVms, returnedVms) };
    };
    return {
        state,
        routes: routeIndex(state.routes),
        pools: entityTable(state.pools.rows.map(viewOf), view => view.pool.name),
    };
};
