import { FleetError } from "@almondusher/fleet/fleet-error";
import { describeStartupFailure } from "@almondusher/settings/startup-failure";
import { readDispatcherSettings } from "./process/dispatcher-settings.js";
import { runDispatcher } from "./process/dispatcher-process.js";

// The platform sets this variable to the path of the settings file; --settings FILE takes precedence.
const SETTINGS_VARIABLE = "ALMONDUSHER_NODE_FILE";
const EXIT_FAILED = 1;

const settingsFile = (): string | undefined => {
    const flag = process.argv.indexOf("--settings");
    return flag >= 0 ? process.argv[flag + 1] : process.env[SETTINGS_VARIABLE];
};

const start = async (): Promise<void> => {
    const file = settingsFile();
    if (file === undefined) {
        throw new FleetError("invalid-settings", {
            message: "no settings file given",
            hint: `pass --settings FILE or set ${SETTINGS_VARIABLE}`,
        });
    }
    await runDispatcher(readDispatcherSettings(file));
};

start().catch((error: unknown) => {
    const { text, exitCode } = describeStartupFailure(error) ?? { text: String(error), exitCode: EXIT_FAILED };
    process.stderr.write(`${text}\n`);
    process.exit(exitCode);
});
