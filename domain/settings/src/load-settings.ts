import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { describeIssues } from "@almondusher/fleet/issue-text";
import type { z } from "zod";

export interface SettingsFile<Schema extends z.ZodType> {
    readonly file: string;
    readonly schema: Schema;
}

/**
 * Reads a JSON settings file; throws `invalid-settings` with the file and, for each invalid key, what is wrong with it.
 */
export const loadSettings = <Schema extends z.ZodType>({ file, schema }: SettingsFile<Schema>): z.output<Schema> => {
    const parsed = schema.safeParse(parseJson(file, readText(file)));
    if (!parsed.success) {
        const details = describeIssues(parsed.error);
        throw new FleetError("invalid-settings", {
            message: `${file} has ${details.length} error(s)`,
            hint: "correct the keys listed; see docs/settings.md",
            details,
        });
    }
    return parsed.data;
};

/** Reads a secret from a path relative to the settings file; throws `invalid-settings` if the secret is too short. */
export const loadSecret = (settingsFile: string, secretFile: string): string => {
    const path = resolve(dirname(settingsFile), secretFile);
    const secret = readText(path).trim();
    if (secret.length < MIN_SECRET_CHARACTERS) {
        throw new FleetError("invalid-settings", {
            message: `the secret in ${path} has fewer than ${MIN_SECRET_CHARACTERS} characters`,
            hint: "write a longer random secret into the file",
        });
    }
    return secret;
};

// 128 bits as hexadecimal digits.
const MIN_SECRET_CHARACTERS = 32;

const readText = (file: string): string => {
    try {
        return readFileSync(file, "utf8");
    } catch (error) {
        throw new FleetError("invalid-settings", {
            message: `${file} cannot be read: ${error instanceof Error ? error.message : String(error)}`,
            hint: "check the path and its permissions",
        });
    }
};

const parseJson = (file: string, text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch (error) {
        throw new FleetError("invalid-settings", {
            message: `${file} is not JSON: ${error instanceof Error ? error.message : String(error)}`,
            hint: "correct the syntax",
        });
    }
};
