import { sleep, type DispatcherContext } from "./dispatcher-context.js";

/** Logs and counts an unexpected error of one part of the process. */
export type ErrorReporter = (error: unknown) => void;

export interface ErrorReporterOptions {
    readonly context: Pick<DispatcherContext, "log" | "metrics" | "monotonicMs">;
    /** Name of the part, which tells in the log where the error occurred. */
    readonly part: string;
}

export interface LoopOptions {
    readonly context: Pick<DispatcherContext, "log" | "metrics" | "monotonicMs">;
    readonly part: string;
    readonly isActive: () => boolean;
    readonly step: () => Promise<void>;
}

// A part that fails at each call would fill the log.
const MIN_LOG_INTERVAL_MS = 1000;
const PAUSE_AFTER_ERROR_MS = 250;

/** Creates a reporter that counts every error as `internal_errors` and logs at most one a second. */
export const createErrorReporter = ({ context, part }: ErrorReporterOptions): ErrorReporter => {
    let loggedAtMs = Number.NEGATIVE_INFINITY;
    let unlogged = 0;
    return error => {
        context.metrics.count("internal_errors");
        const nowMs = context.monotonicMs();
        if (nowMs - loggedAtMs < MIN_LOG_INTERVAL_MS) {
            unlogged++;
            return;
        }
        const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
        context.log("internal-error", { part, reason, unlogged });
        loggedAtMs = nowMs;
        unlogged = 0;
    };
};

/** Returns a callback that reports an error of the given one instead of throwing it. */
export const containErrors = <Arguments extends readonly unknown[]>(
    options: ErrorReporterOptions,
    callback: (...values: Arguments) => void,
): ((...values: Arguments) => void) => {
    const report = createErrorReporter(options);
    return (...values) => {
        try {
            callback(...values);
        } catch (error) {
            report(error);
        }
    };
};

/** Repeats a step while `isActive` returns true. A step that fails is reported, and the next follows after a pause. */
export const repeatWhileActive = async ({ context, part, isActive, step }: LoopOptions): Promise<void> => {
    const report = createErrorReporter({ context, part });
    while (isActive()) {
        try {
            await step();
        } catch (error) {
            report(error);
            await sleep(PAUSE_AFTER_ERROR_MS);
        }
    }
};
