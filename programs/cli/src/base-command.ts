import { Command, Flags } from "@oclif/core";
import { formatError, toErrorReport } from "./error-report.js";

/** Settings flag of the commands that call the platform or operator ports. */
export const settingsFlag = Flags.string({
    description: "settings file with the addresses of the platform, the operator ports and the secret file",
    env: "ALMONDUSHER_SETTINGS",
    required: true,
});

/** Base of all commands: adds --json and reports errors without a stack trace and with a documented exit code. */
export abstract class BaseCommand extends Command {
    static override enableJsonFlag = true;

    protected override catch(error: unknown): Promise<void> {
        const report = toErrorReport(error);
        process.exitCode = report.exitCode;
        if (this.jsonEnabled()) {
            this.logJson({ error: report });
        } else {
            this.logToStderr(formatError(report));
        }
        return Promise.resolve();
    }
}
