import { platformSettingsSchema } from "@almondusher/platform/platform-settings";
import { loadSecret, loadSettings } from "@almondusher/settings/load-settings";
import { z } from "zod";

const MAX_PORT = 65_535;
const DEFAULT_OPERATOR_TIMEOUT_MS = 3_000;
const MAX_OPERATOR_TIMEOUT_MS = 60_000;

const cliSettingsSchema = z.strictObject({
    platform: platformSettingsSchema,
    /** Operator ports of managers, and of entries that the platform's list does not show. */
    operatorUrls: z.array(z.url({ protocol: /^https?$/, error: "must be an http or https URL" })).default([]),
    /** Operator port of all entries; if given, the entry VMs of the platform's list are asked too. */
    operatorPort: z.int().min(1).max(MAX_PORT).optional(),
    /** File with the secret of the operator ports, relative to the settings file. */
    operatorSecretFile: z.string().min(1).optional(),
    /** Longest time for one call of an operator port, in milliseconds. */
    operatorTimeoutMs: z.int().min(1).max(MAX_OPERATOR_TIMEOUT_MS).default(DEFAULT_OPERATOR_TIMEOUT_MS),
});

/** Settings of the command line, with the secret read from its file. */
export interface CliSettings extends z.output<typeof cliSettingsSchema> {
    readonly settingsFile: string;
    readonly operatorSecret: string;
}

/** Reads the settings; throws `invalid-settings`. */
export const loadCliSettings = (settingsFile: string): CliSettings => {
    const settings = loadSettings({ file: settingsFile, schema: cliSettingsSchema });
    const { operatorSecretFile } = settings;
    const operatorSecret = operatorSecretFile === undefined ? "" : loadSecret(settingsFile, operatorSecretFile);
    return { ...settings, settingsFile, operatorSecret };
};
