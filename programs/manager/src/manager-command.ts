import { Command, Flags } from "@oclif/core";
import { runWithSettings } from "@almondusher/settings/startup-failure";
import { runManager } from "./manager-process.js";
import { managerSettingsSchema } from "./manager-settings.js";

/**
 * The command almondusher-manager. Exit codes: 0 after a stop by signal, 2 for invalid settings, 1 for other failures.
 * @public loaded by oclif
 */
export default class ManagerCommand extends Command {
    static override description =
        "Plan moves, maintenance and spare capacity; of several running managers one is active, the others are standbys.";
    static override flags = {
        settings: Flags.string({ required: true, description: "path of the JSON settings file; see docs/settings.md" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(ManagerCommand);
        const failure = await runWithSettings({
            file: flags.settings,
            schema: managerSettingsSchema,
            run: settings => runManager({ settings, settingsFile: flags.settings }),
        });
        if (failure !== undefined) {
            this.logToStderr(failure.text);
            this.exit(failure.exitCode);
        }
    }
}
