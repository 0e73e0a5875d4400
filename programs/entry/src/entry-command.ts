import { Command, Flags } from "@oclif/core";
import { runWithSettings } from "@almondusher/settings/startup-failure";
import { runEntry } from "./entry-process.js";
import { entrySettingsSchema } from "./entry-settings.js";

/**
 * The almondusher-entry command. Exit codes: 0 after a stop by signal, 2 for invalid settings, 1 for other failures.
 * @public loaded by oclif
 */
export default class EntryCommand extends Command {
    static override description =
        "Proxies caller requests to endpoint VMs with routing, admission control and retries; syncs with other entries.";
    static override flags = {
        settings: Flags.string({ required: true, description: "JSON settings file; see docs/settings.md" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(EntryCommand);
        const failure = await runWithSettings({
            file: flags.settings,
            schema: entrySettingsSchema,
            run: settings => runEntry({ settings, settingsFile: flags.settings }),
        });
        if (failure !== undefined) {
            this.logToStderr(failure.text);
            this.exit(failure.exitCode);
        }
    }
}
