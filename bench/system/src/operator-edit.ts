import { randomUUID } from "node:crypto";
import type { Edit } from "@almondusher/fleet/edit";
import { emptyFleetState, type FleetState } from "@almondusher/fleet/fleet-state";
import { type EditId, toId } from "@almondusher/fleet/ids";
import { diffTables, parseTableFile } from "@almondusher/fleet/table-file";
import { type CommittedEdit, commitEdit } from "@almondusher/platform/commit-edit";
import type { Platform } from "@almondusher/platform/create-platform";
import { readHead, readState } from "@almondusher/platform/read-state";

const ATTEMPTS = 20;

/** The two tables as an operator writes them. */
export interface OperatorTables {
    readonly routes: readonly object[];
    readonly pools: readonly object[];
}

/** Reads the latest fleet state from the platform. */
export const readLatest = async (platform: Platform): Promise<FleetState> => {
    const head = await readHead(platform);
    return head === undefined ? emptyFleetState : readState(platform, head);
};

/** Prepares the edit that turns the tables of a state into the given ones. */
export const prepareEdit = (state: FleetState, tables: OperatorTables, operator = "bench"): Edit => ({
    editId: toId<EditId>(randomUUID()),
    author: { kind: "operator", name: operator },
    at: new Date().toISOString(),
    reason: "control path test",
    changes: [...diffTables(state, parseTableFile("tables", JSON.stringify(tables)))],
});

/** Submits a prepared edit. */
export const submitEdit = (platform: Platform, edit: Edit): Promise<CommittedEdit> =>
    commitEdit(platform, { edit, maxAttempts: ATTEMPTS });

/** Prepares and submits an edit on the latest state. */
export const editTables = async (platform: Platform, tables: OperatorTables): Promise<CommittedEdit> =>
    submitEdit(platform, prepareEdit(await readLatest(platform), tables));

/** Tables with another timeout for the first route: an edit that moves no VM. */
export const withTimeout = (tables: OperatorTables, timeoutMs: number): OperatorTables => ({
    ...tables,
    routes: tables.routes.map((route, index) => (index === 0 ? { ...route, timeoutMs } : route)),
});

/** Tables with a VM in another pool, or in none. */
export const withVmIn = (
    tables: { routes: readonly object[]; pools: readonly { name: string; vms: readonly string[] }[] },
    vm: string,
    pool: string | undefined,
) => ({
    ...tables,
    pools: tables.pools.map(row => {
        const others = row.vms.filter(id => id !== vm);
        return { ...row, vms: row.name === pool ? [...others, vm] : others };
    }),
});
