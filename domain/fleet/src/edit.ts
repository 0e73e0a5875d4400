import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { assignmentSchema } from "./assignment.js";
import type { EntityTable } from "./entity-table.js";
import { FleetError } from "./fleet-error.js";
import { type FleetState, fleetState } from "./fleet-state.js";
import type { EditId, PoolName, RouteName, VmId } from "./ids.js";
import { nameSchema } from "./name-schema.js";
import { poolSchema } from "./pool.js";
import { routeSchema } from "./route.js";
import { checkFleet } from "./validation.js";

const MAX_REASON_CHARACTERS = 500;

/** Schema of a change of one row: without `before` the row is new, without `after` it is deleted. */
const changeSchema = z.discriminatedUnion("table", [
    z.strictObject({
        table: z.literal("routes"),
        key: nameSchema<RouteName>(),
        before: routeSchema.optional(),
        after: routeSchema.optional(),
    }),
    z.strictObject({
        table: z.literal("pools"),
        key: nameSchema<PoolName>(),
        before: poolSchema.optional(),
        after: poolSchema.optional(),
    }),
    z.strictObject({
        table: z.literal("assignments"),
        key: nameSchema<VmId>(),
        before: assignmentSchema.optional(),
        after: assignmentSchema.optional(),
    }),
]);

const authorSchema = z.strictObject({ kind: z.enum(["operator", "manager"]), name: z.string().min(1).max(200) });

/** Schema of a proposed edit. */
export const editSchema = z.strictObject({
    editId: nameSchema<EditId>(),
    author: authorSchema,
    /** Time on the author's clock, ISO 8601; informational only. */
    at: z.string(),
    reason: z.string().max(MAX_REASON_CHARACTERS),
    changes: z.array(changeSchema).min(1),
});

/** Schema of an accepted edit. */
export const editRecordSchema = editSchema.extend({
    /** Revision that the edit produced. */
    revision: z.int().min(1),
    snapshotKey: z.string(),
});

/** A change of one row. */
export type Change = z.infer<typeof changeSchema>;
/** Author of an edit. */
export type Author = z.infer<typeof authorSchema>;
/** A proposed change of the fleet state. */
export type Edit = z.infer<typeof editSchema>;
/** An accepted edit, as stored in the history. */
export type EditRecord = z.infer<typeof editRecordSchema>;

const currentRow = (state: FleetState, change: Change): unknown => {
    switch (change.table) {
        case "routes":
            return state.routes.get(change.key);
        case "pools":
            return state.pools.get(change.key);
        case "assignments":
            return state.assignments.get(change.key);
    }
};

const describeRow = (row: unknown): string => (row === undefined ? "absent" : JSON.stringify(row));

const findConflicts = (state: FleetState, changes: readonly Change[]): readonly string[] =>
    changes
        .filter(change => !isDeepStrictEqual(currentRow(state, change), change.before))
        .map(
            change =>
                `${change.table} ${change.key}: expected ${describeRow(change.before)}, found ${describeRow(currentRow(state, change))}`,
        );

const replaceRows = <Id extends string, Row>(
    table: EntityTable<Id, Row>,
    idOf: (row: Row) => Id,
    changes: readonly { key: Id; after?: Row | undefined }[],
): readonly Row[] => {
    const changed = new Set(changes.map(change => change.key));
    const kept = table.rows.filter(row => !changed.has(idOf(row)));
    const written = changes.map(change => change.after).filter(row => row !== undefined);
    return [...kept, ...written];
};

const checkAuthority = (edit: Edit): void => {
    const disallowed = edit.changes.filter(
        change => (change.table === "assignments") !== (edit.author.kind === "manager"),
    );
    if (disallowed.length > 0) {
        throw new FleetError("invalid-edit", {
            message: `${edit.author.kind} ${edit.author.name} may not change ${disallowed.map(change => `${change.table} ${change.key}`).join(", ")}`,
            hint: "operators edit routes and pools, the manager edits assignments",
        });
    }
};

const checkKeys = (edit: Edit): void => {
    const names = edit.changes.map(change => `${change.table} ${change.key}`);
    const repeated = names.filter((name, index) => names.indexOf(name) !== index);
    const misnamed = edit.changes.filter(change => change.after !== undefined && rowKey(change) !== change.key);
    if (repeated.length > 0 || misnamed.length > 0) {
        throw new FleetError("invalid-edit", {
            message: "an edit must change each row at most once, and the key of each change must be the row's name",
            hint: "merge the changes of a row into one; to rename a row, delete it and add a new one",
            details: [...repeated, ...misnamed.map(change => `${change.table} ${change.key}`)],
        });
    }
};

const findDrainsWithWrongRevision = (revision: number, changes: readonly Change[]): readonly string[] =>
    changes.flatMap(change => {
        if (change.table !== "assignments" || change.after?.phase.kind !== "draining") {
            return [];
        }
        const { sinceRevision } = change.after.phase;
        const before = change.before?.phase;
        const continued = before?.kind === "draining" && before.sinceRevision === sinceRevision;
        return continued || sinceRevision === revision
            ? []
            : [
                  `assignments ${change.key}: the drain has sinceRevision ${sinceRevision}, but the edit produces revision ${revision}`,
              ];
    });

// A drain with an older revision than that of its edit could be confirmed by entries that have not applied the edit.
const checkDrains = (revision: number, changes: readonly Change[]): void => {
    const details = findDrainsWithWrongRevision(revision, changes);
    if (details.length > 0) {
        throw new FleetError("invalid-edit", {
            message: `${details.length} drain(s) do not have the revision of this edit as sinceRevision`,
            hint: "repeat the planning with the current state",
            details,
        });
    }
};

const rowKey = (change: Change): string | undefined =>
    change.table === "assignments" ? change.after?.vm : change.after?.name;

/**
 * Applies an edit and returns the next state.
 * Throws `edit-conflict` if a row has changed since the edit was prepared, `invalid-edit` if the edit or the resulting
 * state violates a rule.
 */
export const applyEdit = (state: FleetState, edit: Edit): FleetState => {
    checkAuthority(edit);
    checkKeys(edit);
    const conflicts = findConflicts(state, edit.changes);
    if (conflicts.length > 0) {
        throw new FleetError("edit-conflict", {
            message: `${conflicts.length} row(s) changed since the edit was prepared; the state is at revision ${state.revision}`,
            hint: "read the tables again, compare, and repeat the edit",
            details: conflicts,
        });
    }
    checkDrains(state.revision + 1, edit.changes);
    const next = fleetState(state.revision + 1, {
        routes: replaceRows(
            state.routes,
            row => row.name,
            edit.changes.filter(change => change.table === "routes"),
        ),
        pools: replaceRows(
            state.pools,
            row => row.name,
            edit.changes.filter(change => change.table === "pools"),
        ),
        assignments: replaceRows(
            state.assignments,
            row => row.vm,
            edit.changes.filter(change => change.table === "assignments"),
        ),
    });
    // The manager only edits assignments; the operators' tables were checked when their edits were accepted.
    if (edit.author.kind === "operator") {
        checkFleet(next);
    }
    return next;
};
