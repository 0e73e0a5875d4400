import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { entrySettingsSchema } from "@almondusher/entry/entry-settings";
import { applyEdit } from "@almondusher/fleet/edit";
import { emptyFleetState } from "@almondusher/fleet/fleet-state";
import { type EditId, toId } from "@almondusher/fleet/ids";
import { diffTables, parseTableFile } from "@almondusher/fleet/table-file";
import { managerSettingsSchema } from "@almondusher/manager/manager-settings";
import { loadSettings } from "@almondusher/settings/load-settings";

const samples = join(import.meta.dirname, "../../../samples");

["union", "lapidaria"].forEach(user => {
    test(`the sample tables of ${user} are valid and can be applied to an empty fleet`, () => {
        const file = join(samples, user, "tables.json");
        const changes = diffTables(emptyFleetState, parseTableFile(file, readFileSync(file, "utf8")));
        const state = applyEdit(emptyFleetState, {
            editId: toId<EditId>("sample"),
            author: { kind: "operator", name: "test" },
            at: "2026-12-04T09:00:00Z",
            reason: "sample",
            changes: [...changes],
        });
        assert.equal(state.pools.rows.length, 5);
    });

    test(`the sample settings of ${user} match the current schemas`, () => {
        loadSettings({ file: join(samples, user, "entry.json"), schema: entrySettingsSchema });
        loadSettings({ file: join(samples, user, "manager.json"), schema: managerSettingsSchema });
    });
});
