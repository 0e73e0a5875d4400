import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { emptyFleetState } from "@almondusher/fleet/fleet-state";
import { type EditId, toId } from "@almondusher/fleet/ids";
import { diffTables, parseTableFile } from "@almondusher/fleet/table-file";
import { type CommittedEdit, commitEdit } from "@almondusher/platform/commit-edit";
import { closePlatform, createPlatform } from "@almondusher/platform/create-platform";
import { platformSettingsSchema } from "@almondusher/platform/platform-settings";
import { readHead, readState } from "@almondusher/platform/read-state";
import type { Deployment } from "./deployment.js";

const MAX_ATTEMPTS = 5;

/** Commits an operator's edit that turns the routes and pools of a deployment into the given tables. */
export const applyTables = async (deployment: Deployment, tables: object): Promise<CommittedEdit> => {
    const file = deployment.cliSettingsFile;
    const { platform: addresses } = JSON.parse(readFileSync(file, "utf8")) as { platform: object };
    const platform = createPlatform({ settings: platformSettingsSchema.parse(addresses), settingsFile: file });
    try {
        const head = await readHead(platform);
        const state = head === undefined ? emptyFleetState : await readState(platform, head);
        const changes = diffTables(state, parseTableFile("tables", JSON.stringify(tables)));
        return await commitEdit(platform, {
            edit: {
                editId: toId<EditId>(randomUUID()),
                author: { kind: "operator", name: "bench" },
                at: new Date().toISOString(),
                reason: "bench",
                changes: [...changes],
            },
            maxAttempts: MAX_ATTEMPTS,
        });
    } finally {
        await closePlatform(platform);
    }
};
