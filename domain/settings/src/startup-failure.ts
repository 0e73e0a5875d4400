import { FleetError } from "@almondusher/fleet/fleet-error";
import type { z } from "zod";
import { loadSettings, type SettingsFile } from "./load-settings.js";

/** Message and exit code of a daemon that cannot start or continue. */
export interface StartupFailure {
    readonly text: string;
    /** 2 for invalid settings, 1 for other failures. */
    readonly exitCode: number;
}

export interface ConfiguredProgram<Schema extends z.ZodType> extends SettingsFile<Schema> {
    /** Runs the program; resolves when it has stopped. */
    readonly run: (settings: z.output<Schema>) => Promise<void>;
}

const EXIT_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

/** Loads the settings and runs a program; resolves to its failure, if it has one. Unexpected errors are thrown. */
export const runWithSettings = async <Schema extends z.ZodType>({
    file,
    schema,
    run,
}: ConfiguredProgram<Schema>): Promise<StartupFailure | undefined> => {
    try {
        await run(loadSettings({ file, schema }));
        return undefined;
    } catch (error) {
        const failure = describeStartupFailure(error);
        if (failure === undefined) {
            throw error;
        }
        return failure;
    }
};

/** Describes a FleetError without a stack trace; undefined for unexpected errors. */
export const describeStartupFailure = (error: unknown): StartupFailure | undefined => {
    if (!(error instanceof FleetError)) {
        return undefined;
    }
    const details = error.details.map(line => `  ${line}`);
    return {
        text: [`${error.code}: ${error.message}`, ...details, `hint: ${error.hint}`].join("\n"),
        exitCode: error.code === "invalid-settings" ? EXIT_INVALID_SETTINGS : EXIT_FAILED,
    };
};
