/** Reports an unexpected error. */
export type ErrorReporter = (error: unknown) => void;

/** An unexpected error to log, and how many errors were not logged since the line before. */
interface ReportedError {
    readonly message: string;
    readonly stack: string | undefined;
    readonly unlogged: number;
}

export interface ErrorReporterOptions {
    /** Called for every error. */
    readonly count: () => void;
    /** Called for an error at most once a second, since a part that fails at each call would fill the log. */
    readonly log: (error: ReportedError) => void;
    /** Monotonic clock in milliseconds. */
    readonly monotonicMs: () => number;
}

const MIN_LOG_INTERVAL_MS = 1000;

export const createErrorReporter = ({ count, log, monotonicMs }: ErrorReporterOptions): ErrorReporter => {
    let loggedAtMs = Number.NEGATIVE_INFINITY;
    let unlogged = 0;
    return error => {
        count();
        const nowMs = monotonicMs();
        if (nowMs - loggedAtMs < MIN_LOG_INTERVAL_MS) {
            unlogged++;
            return;
        }
        const { message, stack } = error instanceof Error ? error : { message: String(error), stack: undefined };
        log({ message, stack, unlogged });
        loggedAtMs = nowMs;
        unlogged = 0;
    };
};

/** Returns a callback that reports an error of the given one instead of throwing it. */
export const containErrors =
    <Arguments extends readonly unknown[]>(
        report: ErrorReporter,
        callback: (...values: Arguments) => void,
    ): ((...values: Arguments) => void) =>
    (...values) => {
        try {
            callback(...values);
        } catch (error) {
            report(error);
        }
    };
