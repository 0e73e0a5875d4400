import {
    containErrors as contain,
    createErrorReporter as createReporter,
    type ErrorReporter,
} from "@almondusher/telemetry/error-reporter";
import { sleep, type DispatcherContext } from "./dispatcher-context.js";

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

const PAUSE_AFTER_ERROR_MS = 250;

/** Creates a reporter that counts every error as `internal_errors` and logs at most one a second. */
export const createErrorReporter = ({ context, part }: ErrorReporterOptions): ErrorReporter =>
    createReporter({
        count: () => context.metrics.count("internal_errors"),
        log: ({ message, stack, unlogged }) =>
            context.log("internal-error", { part, reason: stack ?? message, unlogged }),
        monotonicMs: context.monotonicMs,
    });

/** Returns a callback that reports an error of the given one instead of throwing it. */
export const containErrors = <Arguments extends readonly unknown[]>(
    options: ErrorReporterOptions,
    callback: (...values: Arguments) => void,
): ((...values: Arguments) => void) => contain(createErrorReporter(options), callback);

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
