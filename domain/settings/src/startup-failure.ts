import { FleetError } from "@almondusher/fleet/fleet-error";

/** Message and exit code of a daemon that cannot start or continue. */
export interface StartupFailure {
    readonly text: string;
    /** 2 for invalid settings, 1 for other failures. */
    readonly exitCode: number;
}

const EXIT_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

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
