import type { Control } from "@almondusher/platform-stand-in/control-service";
import { request } from "undici";
import type { Deployment } from "./deployment.js";
import { postControl } from "./operator-client.js";

interface TableCounts {
    readonly table: readonly { readonly operation: string; readonly requests: number }[];
}

/** Replaces the injected faults of the table service; clears them if `table` is omitted. */
export const setTableFault = async (
    { platformControlUrl }: Deployment,
    table: NonNullable<Control["table"]> = {},
): Promise<void> => {
    await postControl(`${platformControlUrl}/control`, { table });
};

/** Number of PutItem requests. All of them write claims while no manager runs and no entry starts. */
export const readPutCount = async ({ platformControlUrl }: Deployment): Promise<number> => {
    const response = await request(`${platformControlUrl}/control`);
    const { table } = (await response.body.json()) as TableCounts;
    return table.find(row => row.operation === "PutItem")?.requests ?? 0;
};
