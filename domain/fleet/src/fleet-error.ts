/** Stable codes of the errors that are reported to operators and other processes. */
export type FleetErrorCode =
    | "invalid-settings"
    | "invalid-table"
    | "invalid-edit"
    | "invalid-job"
    | "edit-conflict"
    | "not-found"
    | "platform-unavailable"
    | "not-accepted"
    | "unknown-outcome"
    | "lease-lost"
    | "unauthorized"
    | "bad-message";

export interface FleetErrorOptions {
    /** What went wrong, with the file, row, key or value that caused it. */
    message: string;
    /** What the operator can do about it. */
    hint: string;
    /** Further findings of the same check, one line each. */
    details?: readonly string[];
    cause?: unknown;
}

/** An error with a stable code and a hint; printed without a stack trace. */
export class FleetError extends Error {
    readonly code: FleetErrorCode;
    readonly hint: string;
    readonly details: readonly string[];

    constructor(code: FleetErrorCode, options: FleetErrorOptions) {
        super(options.message, options.cause === undefined ? undefined : { cause: options.cause });
        this.name = "FleetError";
        this.code = code;
        this.hint = options.hint;
        this.details = options.details ?? [];
    }
}

/** True for a FleetError with the given code. */
export const hasCode = (error: unknown, code: FleetErrorCode): error is FleetError =>
    error instanceof FleetError && error.code === code;
