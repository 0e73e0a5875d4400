import type { Control } from "@almondusher/platform-stand-in/control-service";
import { request } from "undici";
import type { Deployment } from "./deployment.js";
import { control } from "./operator-client.js";

interface TableCounts {
    readonly table: readonly { readonly operation: string; readonly requests: number }[];
}

/** Sets faults of the table service; no faults if absent. */
export const setTableFault = async (
    { platformControlUrl }: Deployment,
    table: NonNullable<Control["table"]> = {},
): Promise<void> => {
    await control(`${platformControlUrl}/control`, { table });
};

/** Single writes that the table service has received; without managers and starting entries these are claims. */
export const readPutCount = async ({ platformControlUrl }: Deployment): Promise<number> => {
    const response = await request(`${platformControlUrl}/control`);
    const { table } = (await response.body.json()) as TableCounts;
    return table.find(row => row.operation === "PutItem")?.requests ?? 0;
};
