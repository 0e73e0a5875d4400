import { Args, Flags } from "@oclif/core";
import type { Change } from "@almondusher/fleet/edit";
import { diffTables } from "@almondusher/fleet/table-file";
import { describeChange } from "@almondusher/telemetry/edit-effects";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { loadCliSettings } from "../cli-settings.js";
import { readStateAt, withPlatform } from "../platform-access.js";
import { readTableFile } from "../read-table-file.js";

/** Shows the changes that applying a file would make. */
export class DiffCommand extends BaseCommand {
    static override summary = "Show how the tables in a file differ from those in force";
    static override args = { file: Args.string({ required: true, description: "file with the tables, JSON" }) };
    static override flags = {
        settings: settingsFlag,
        base: Flags.integer({ description: "compare with this revision instead of the latest", min: 0 }),
    };

    async run(): Promise<{ revision: number; changes: readonly Change[] }> {
        const { args, flags } = await this.parse(DiffCommand);
        const tables = readTableFile(args.file);
        const state = await withPlatform(loadCliSettings(flags.settings), platform =>
            readStateAt(platform, flags.base),
        );
        const changes = diffTables(state, tables);
        this.log(`${changes.length} row(s) differ from revision ${state.revision}`);
        changes.flatMap(describeChange).forEach(line => this.log(line));
        return { revision: state.revision, changes };
    }
}
