import { Errors } from "@oclif/core";
import { FleetError, type FleetErrorCode } from "@almondusher/fleet/fleet-error";

/** Exit codes, documented in docs/operators.md. */
const exitCodes = {
    unexpected: 1,
    invalidInput: 2,
    conflict: 3,
    platformUnavailable: 4,
    unknownOutcome: 5,
} as const;

/** An error as a command prints it, as text or with --json. */
export interface ErrorReport {
    readonly code: string;
    readonly message: string;
    readonly details: readonly string[];
    readonly hint: string;
    readonly exitCode: number;
}

const USAGE_HINT = "run the command with --help";

/** Converts any error thrown by a command to a report. */
export const toErrorReport = (error: unknown): ErrorReport => {
    if (error instanceof FleetError) {
        const { code, message, details, hint } = error;
        // An error with a single detail often repeats it as the message.
        return { code, message, details: details.filter(line => line !== message), hint, exitCode: exitCodeOf(code) };
    }
    if (error instanceof Errors.CLIError) {
        const message = error.message.replace(/\n?See more help with --help$/, "");
        return { code: "usage", message, details: [], hint: USAGE_HINT, exitCode: exitCodes.invalidInput };
    }
    return {
        code: "internal",
        message: error instanceof Error ? error.message : String(error),
        details: [],
        hint: "this is a bug in almondusher; report it with the command and the message",
        exitCode: exitCodes.unexpected,
    };
};

/** Formats the report as lines of text. */
export const formatError = ({ code, message, details, hint }: ErrorReport): string =>
    [`error ${code}: ${message}`, ...details.map(line => `  ${line}`), `hint: ${hint}`].join("\n");

const exitCodeOf = (code: FleetErrorCode): number => {
    switch (code) {
        case "invalid-settings":
        case "invalid-table":
        case "invalid-edit":
        case "invalid-job":
        case "not-found":
        case "unauthorized":
            return exitCodes.invalidInput;
        case "edit-conflict":
        case "lease-lost":
            return exitCodes.conflict;
        case "platform-unavailable":
        case "not-accepted":
            return exitCodes.platformUnavailable;
        case "unknown-outcome":
            return exitCodes.unknownOutcome;
        case "bad-message":
            return exitCodes.unexpected;
    }
};
