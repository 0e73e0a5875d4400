import { randomUUID } from "node:crypto";
import type { Edit } from "@almondusher/fleet/edit";
import { emptyFleetState, type FleetState } from "@almondusher/fleet/fleet-state";
import { type EditId, toId } from "@almondusher/fleet/ids";
import { diffTables, parseTableFile } from "@almondusher/fleet/table-file";
import { type CommittedEdit, commitEdit } from "@almondusher/platform/commit-edit";
import type { Platform } from "@almondusher/platform/create-platform";
import { readHead, readState } from "@almondusher/platform/read-state";

const MAX_ATTEMPTS = 20;

/** Routes and pools in the format of an operator's table file. */
export interface OperatorTables {
    readonly routes: readonly object[];
    readonly pools: readonly object[];
}

/** Reads the latest fleet state from the platform. */
export const readLatest = async (platform: Platform): Promise<FleetState> => {
    const head = await readHead(platform);
    return head === undefined ? emptyFleetState : readState(platform, head);
};

/** Builds the edit that changes the tables of a state to the given ones. */
export const prepareEdit = (state: FleetState, tables: OperatorTables, operator = "bench"): Edit => ({
    editId: toId<EditId>(randomUUID()),
    author: { kind: "operator", name: operator },
    at: new Date().toISOString(),
    reason: "control path test",
    changes: [...diffTables(state, parseTableFile("tables", JSON.stringify(tables)))],
});

/** Commits a prepared edit. */
export const submitEdit = (platform: Platform, edit: Edit): Promise<CommittedEdit> =>
    commitEdit(platform, { edit, maxAttempts: MAX_ATTEMPTS });

/** Builds an edit against the latest state and commits it. */
export const editTables = async (platform: Platform, tables: OperatorTables): Promise<CommittedEdit> =>
    submitEdit(platform, prepareEdit(await readLatest(platform), tables));

/** Changes the timeout of the first route, so that the edit does not move a VM. */
export const withTimeout = (tables: OperatorTables, timeoutMs: number): OperatorTables => ({
    ...tables,
    routes: tables.routes.map((route, index) => (index === 0 ? { ...route, timeoutMs } : route)),
});

/** Moves a VM to another pool, or out of all pools if `pool` is undefined. */
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
