import { parseArgs } from "node:util";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { loadSettings } from "@almondusher/settings/load-settings";
import { standInSettingsSchema } from "./stand-in-settings.js";
import { startEndpointStandIn } from "./start-endpoint-stand-in.js";

/** Runs the program. Prints an error and sets the exit code on failure. */
export const main = async (): Promise<void> => {
    try {
        const { values } = parseArgs({ options: { settings: { type: "string" } } });
        if (values.settings === undefined) {
            throw new FleetError("invalid-settings", {
                message: "--settings is missing",
                hint: "name a JSON settings file: endpoint-stand-in --settings file.json",
            });
        }
        await run(values.settings);
    } catch (error) {
        process.stderr.write(describe(error));
        process.exitCode = 1;
    }
};

const run = async (file: string): Promise<void> => {
    const settings = loadSettings({ file, schema: standInSettingsSchema });
    // Handlers are installed before the addresses are printed, so that a signal during the start also stops gracefully.
    const starting = startEndpointStandIn(settings);
    const stop = (): void => void starting.then(started => started.close());
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    const standIn = await starting;
    const ready = {
        ready: true,
        control: standIn.controlAddress,
        vms: standIn.vms.map(({ vm, address }) => ({ vm, address })),
    };
    process.stdout.write(`${JSON.stringify(ready)}\n`);
};

const describe = (error: unknown): string => {
    if (error instanceof FleetError) {
        return [error.message, ...error.details, error.hint].map(line => `${line}\n`).join("");
    }
    return `${error instanceof Error ? error.message : String(error)}\n`;
};
