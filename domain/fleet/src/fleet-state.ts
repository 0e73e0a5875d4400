import { z } from "zod";
import { type Assignment, assignmentSchema } from "./assignment.js";
import { type EntityTable, entityTable } from "./entity-table.js";
import type { PoolName, RouteName, VmId } from "./ids.js";
import { type Pool, poolSchema } from "./pool.js";
import { type Route, routeSchema } from "./route.js";
import { FleetError } from "./fleet-error.js";
import { describeIssues } from "./issue-text.js";

/** The persistent state of the fleet at one revision. */
export interface FleetState {
    /** Increases by one with every accepted edit; 0 before the first. */
    readonly revision: number;
    readonly routes: EntityTable<RouteName, Route>;
    readonly pools: EntityTable<PoolName, Pool>;
    readonly assignments: EntityTable<VmId, Assignment>;
}

/** The rows of a fleet state, without the revision. */
export interface FleetRows {
    readonly routes: readonly Route[];
    readonly pools: readonly Pool[];
    readonly assignments: readonly Assignment[];
}

const snapshotSchema = z.strictObject({
    revision: z.int().min(0),
    routes: z.array(routeSchema),
    pools: z.array(poolSchema),
    assignments: z.array(assignmentSchema),
});

/** Builds a fleet state from rows. */
export const fleetState = (revision: number, rows: FleetRows): FleetState => ({
    revision,
    routes: entityTable(rows.routes, route => route.name),
    pools: entityTable(rows.pools, pool => pool.name),
    assignments: entityTable(rows.assignments, assignment => assignment.vm),
});

/** The state before the first edit. */
export const emptyFleetState: FleetState = fleetState(0, { routes: [], pools: [], assignments: [] });

/** Serialises a state as a JSON snapshot; equal states give equal text. */
export const formatSnapshot = (state: FleetState): string =>
    JSON.stringify({
        revision: state.revision,
        routes: state.routes.rows,
        pools: state.pools.rows,
        assignments: state.assignments.rows,
    });

/** Parses a snapshot; throws `bad-message` if it is malformed. */
export const parseSnapshot = (text: string): FleetState => {
    const parsed = snapshotSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        throw new FleetError("bad-message", {
            message: "the snapshot of the fleet state is malformed",
            hint: "check that all processes run the same version of almondusher",
            details: describeIssues(parsed.error),
        });
    }
    return fleetState(parsed.data.revision, parsed.data);
};

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch (error) {
        throw new FleetError("bad-message", {
            message: "the snapshot of the fleet state is not valid JSON",
            hint: "check whether the snapshot in the object store is complete",
            cause: error,
        });
    }
};
