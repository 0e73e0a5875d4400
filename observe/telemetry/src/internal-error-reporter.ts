import { count, type Counters } from "./counters.js";
import { createErrorReporter, type ErrorReporter } from "./error-reporter.js";
import { logEvent, type Logger } from "./logger.js";

export interface InternalErrorReporterOptions {
    readonly counters: Counters;
    readonly logger: Logger;
}

/** Creates a reporter that counts unexpected errors as `internal-errors` and logs them. */
export const createInternalErrorReporter = ({ counters, logger }: InternalErrorReporterOptions): ErrorReporter =>
    createErrorReporter({
        count: () => count(counters, { name: "internal-errors" }),
        log: error => logEvent(logger, { kind: "internal-error", ...error }),
        monotonicMs: () => performance.now(),
    });
