import { Command, Flags } from "@oclif/core";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { loadSettings } from "@almondusher/settings/load-settings";
import { runEntry } from "./entry-process.js";
import { entrySettingsSchema } from "./entry-settings.js";

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILED = 1;

/**
 * The command almondusher-entry: exit code 0 after a planned stop, 2 for invalid settings, 1 for other failures.
 * @public loaded by oclif
 */
export default class EntryCommand extends Command {
    static override description =
        "Serves callers: routes, limits, retries, and takes part in the exchange between entries.";
    static override flags = {
        settings: Flags.string({ required: true, description: "JSON settings file; see docs/settings.md" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(EntryCommand);
        try {
            const settings = loadSettings({ file: flags.settings, schema: entrySettingsSchema });
            await runEntry({ settings, settingsFile: flags.settings });
        } catch (error) {
            this.fail(error);
        }
    }

    private fail(error: unknown): never {
        if (error instanceof FleetError) {
            const text = [error.message, ...error.details.map(line => `  ${line}`), `hint: ${error.hint}`].join("\n");
            this.logToStderr(`${error.code}: ${text}`);
            this.exit(error.code === "invalid-settings" ? EXIT_INVALID_SETTINGS : EXIT_FAILED);
        }
        throw error;
    }
}
