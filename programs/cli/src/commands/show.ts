import { Args, Flags } from "@oclif/core";
import type { Assignment } from "@almondusher/fleet/assignment";
import type { FleetState } from "@almondusher/fleet/fleet-state";
import type { Pool } from "@almondusher/fleet/pool";
import type { Route } from "@almondusher/fleet/route";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { loadCliSettings } from "../cli-settings.js";
import { describePhase } from "../describe-phase.js";
import { type Column, formatTable } from "../format-table.js";
import { readStateAt, withPlatform } from "../platform-access.js";

const tableNames = ["routes", "pools", "assignments", "tables"] as const;

type TableName = (typeof tableNames)[number];

const routeColumns: readonly Column<Route>[] = [
    { title: "ROUTE", text: row => row.name },
    { title: "HOST", text: row => row.host ?? "*" },
    { title: "PATH", text: row => row.pathPrefix },
    { title: "METHODS", text: row => row.methods.join(",") || "*" },
    { title: "POOL", text: row => row.pool },
    { title: "TEAM", text: row => row.team },
    { title: "URGENCY", text: row => row.urgency },
    { title: "IDEMPOTENCY", text: row => row.idempotency },
    { title: "TIMEOUT MS", text: row => String(row.timeoutMs) },
    { title: "MAX BODY BYTES", text: row => String(row.maxBodyBytes) },
];

const poolColumns: readonly Column<Pool>[] = [
    { title: "POOL", text: row => row.name },
    { title: "VMS", text: row => String(row.vms.length) },
    { title: "MIN AVAILABLE", text: row => String(row.minAvailable) },
    { title: "SLOTS/VM", text: row => String(row.slotsPerVm) },
    { title: "CONNECTIONS/VM", text: row => String(row.connectionsPerVm) },
    { title: "SPARE", text: row => (row.spare ? "yes" : "no") },
    { title: "MAX BORROWED", text: row => String(row.maxBorrowed) },
    {
        title: "SHARES U/N/D",
        text: ({ shares }) => `${shares.urgent}/${shares.normal}/${shares.deferrable}`,
    },
    { title: "QUOTAS", text: row => row.quotas.map(quota => `${quota.team}=${quota.slots}`).join(",") || "-" },
    { title: "PROGRESS MS", text: row => String(row.progressIntervalMs ?? "-") },
];

const assignmentColumns: readonly Column<Assignment>[] = [
    { title: "VM", text: row => row.vm },
    { title: "POOL", text: row => row.pool },
    { title: "PHASE", text: row => describePhase(row.phase) },
];

/** Prints one table, or routes and pools together as a file that can be edited and applied. */
export class ShowCommand extends BaseCommand {
    static override summary = "Show a table at the latest or an older revision";
    static override description = "`show tables` prints the routes and pools as a file for validate, diff and apply.";
    static override args = {
        table: Args.string({ required: true, options: [...tableNames], description: "table to show" }),
    };
    static override flags = {
        settings: settingsFlag,
        revision: Flags.integer({ description: "revision of the state to show; the latest if absent", min: 0 }),
    };

    async run(): Promise<object> {
        const { args, flags } = await this.parse(ShowCommand);
        const state = await withPlatform(loadCliSettings(flags.settings), platform =>
            readStateAt(platform, flags.revision),
        );
        this.logToStderr(`revision ${state.revision}`);
        const table = args.table as TableName;
        this.log(formatState(state, table));
        return { revision: state.revision, ...rowsOfTable(state, table) };
    }
}

const rowsOfTable = (state: FleetState, table: TableName): object => {
    switch (table) {
        case "routes":
        case "pools":
        case "assignments":
            return { [table]: state[table].rows };
        case "tables":
            return { routes: state.routes.rows, pools: state.pools.rows };
    }
};

const formatState = (state: FleetState, table: TableName): string => {
    switch (table) {
        case "routes":
            return formatTable(state.routes.rows, routeColumns);
        case "pools":
            return formatTable(state.pools.rows, poolColumns);
        case "assignments":
            return formatTable(state.assignments.rows, assignmentColumns);
        case "tables":
            return JSON.stringify(rowsOfTable(state, table), undefined, 4);
    }
};
