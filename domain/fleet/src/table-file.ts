import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import type { Change } from "./edit.js";
import { FleetError } from "./fleet-error.js";
import type { FleetState } from "./fleet-state.js";
import { describeIssues } from "./issue-text.js";
import { type Pool, poolSchema } from "./pool.js";
import { type Route, routeSchema } from "./route.js";

const tableFileSchema = z.strictObject({ routes: z.array(routeSchema), pools: z.array(poolSchema) });

/** The routes and pools tables in the form that operators write. */
export interface TableFile {
    readonly routes: readonly Route[];
    readonly pools: readonly Pool[];
}

/** Parses the two tables from JSON text; throws `invalid-table` with the file and each invalid key. */
export const parseTableFile = (file: string, text: string): TableFile => {
    const parsed = tableFileSchema.safeParse(parseJson(file, text));
    if (!parsed.success) {
        throw invalidTable(file, describeIssues(parsed.error));
    }
    const repeated = [...findRepeated(parsed.data.routes, "route"), ...findRepeated(parsed.data.pools, "pool")];
    if (repeated.length > 0) {
        throw invalidTable(file, repeated);
    }
    return parsed.data;
};

const findRepeated = (rows: readonly { name: string }[], kind: string): readonly string[] => {
    const names = rows.map(row => row.name);
    return names
        .filter((name, index) => names.indexOf(name) !== index)
        .map(name => `${kind} ${name} is defined more than once`);
};

const invalidTable = (file: string, details: readonly string[]): FleetError =>
    new FleetError("invalid-table", {
        message: `${file} has ${details.length} error(s)`,
        hint: "correct the rows listed; see docs/tables.md",
        details,
    });

const parseJson = (file: string, text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch (error) {
        throw new FleetError("invalid-table", {
            message: `${file} is not JSON: ${error instanceof Error ? error.message : String(error)}`,
            hint: "correct the syntax",
        });
    }
};

interface RowChange<Row> {
    key: Row extends { name: infer Name } ? Name : never;
    before?: Row;
    after?: Row;
}

const nameOf = <Row extends { name: string }>(row: Row): RowChange<Row>["key"] => row.name as RowChange<Row>["key"];

const diffRows = <Row extends { name: string }>(
    before: readonly Row[],
    after: readonly Row[],
): readonly RowChange<Row>[] => {
    const beforeByName = new Map(before.map(row => [row.name, row]));
    const kept = new Set(after.map(row => row.name));
    const upserted = after
        .filter(row => !isDeepStrictEqual(beforeByName.get(row.name), row))
        .map(row => {
            const previous = beforeByName.get(row.name);
            return previous === undefined
                ? { key: nameOf(row), after: row }
                : { key: nameOf(row), before: previous, after: row };
        });
    const deleted = before.filter(row => !kept.has(row.name)).map(row => ({ key: nameOf(row), before: row }));
    return [...upserted, ...deleted];
};

/** Computes the changes that turn the routes and pools of a state into those of a file; empty if they are equal. */
export const diffTables = (state: FleetState, file: TableFile): readonly Change[] => [
    ...diffRows(state.routes.rows, file.routes).map(change => ({ table: "routes" as const, ...change })),
    ...diffRows(state.pools.rows, file.pools).map(change => ({ table: "pools" as const, ...change })),
];
