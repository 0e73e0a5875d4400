import { platformSettingsSchema } from "@almondusher/platform/platform-settings";
import { loadSecret, loadSettings } from "@almondusher/settings/load-settings";
import { z } from "zod";

const MAX_PORT = 65_535;
const DEFAULT_OPERATOR_TIMEOUT_MS = 3_000;
const MAX_OPERATOR_TIMEOUT_MS = 60_000;

const cliSettingsSchema = z.strictObject({
    platform: platformSettingsSchema,
    /** URLs of the operator ports of managers, and of entries that are not in the platform's VM list. */
    operatorUrls: z.array(z.url({ protocol: /^https?$/, error: "must be an http or https URL" })).default([]),
    /** Operator port number common to all entries; if set, the entry VMs in the platform's VM list are called too. */
    operatorPort: z.int().min(1).max(MAX_PORT).optional(),
    /** File with the secret of the operator ports, relative to the settings file. */
    operatorSecretFile: z.string().min(1).optional(),
    /** Timeout of one call to an operator port. */
    operatorTimeoutMs: z.int().min(1).max(MAX_OPERATOR_TIMEOUT_MS).default(DEFAULT_OPERATOR_TIMEOUT_MS),
});

/** Settings of the CLI, with the operator secret read from its file; the secret is empty if no file is configured. */
export interface CliSettings extends z.output<typeof cliSettingsSchema> {
    readonly settingsFile: string;
    readonly operatorSecret: string;
}

/** Loads the settings file and the operator secret; throws `invalid-settings`. */
export const loadCliSettings = (settingsFile: string): CliSettings => {
    const settings = loadSettings({ file: settingsFile, schema: cliSettingsSchema });
    const { operatorSecretFile } = settings;
    const operatorSecret = operatorSecretFile === undefined ? "" : loadSecret(settingsFile, operatorSecretFile);
    return { ...settings, settingsFile, operatorSecret };
};
