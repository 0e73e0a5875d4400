import { Command, Flags } from "@oclif/core";
import { formatError, reportError } from "./error-report.js";

/** Flag for the commands that talk to the platform or to operator ports. */
export const settingsFlag = Flags.string({
    description: "settings file with the platform's addresses, operator ports and secret file",
    env: "ALMONDUSHER_SETTINGS",
    required: true,
});

/** Common behaviour of all commands: --json, and errors without a stack and with a documented exit code. */
export abstract class BaseCommand extends Command {
    static override enableJsonFlag = true;

    protected override catch(error: unknown): Promise<void> {
        const report = reportError(error);
        process.exitCode = report.exitCode;
        if (this.jsonEnabled()) {
            this.logJson({ error: report });
        } else {
            this.logToStderr(formatError(report));
        }
        return Promise.resolve();
    }
}
