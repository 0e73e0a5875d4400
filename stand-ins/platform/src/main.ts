import { parseArgs } from "node:util";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { loadSettings } from "@almondusher/settings/load-settings";
import { standInSettingsSchema } from "./stand-in-settings.js";
import { startPlatformStandIn } from "./start-platform-stand-in.js";

const run = async (): Promise<void> => {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    const settings =
        values.settings === undefined ? {} : loadSettings({ file: values.settings, schema: standInSettingsSchema });
    const standIn = await startPlatformStandIn(settings);
    const { tableUrl, objectUrl, vmListUrl, controlUrl } = standIn;
    console.log(JSON.stringify({ event: "started", tableUrl, objectUrl, vmListUrl, controlUrl }));
    const stop = (): void => void standIn.close();
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
};

run().catch((error: unknown) => {
    const lines = error instanceof FleetError ? [error.message, ...error.details, error.hint] : [String(error)];
    console.error(lines.join("\n"));
    process.exitCode = 1;
});
