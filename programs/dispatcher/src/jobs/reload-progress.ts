import { areInheritedRunsKnown } from "@almondusher/scheduler/inherited-runs";
import { createErrorReporter } from "../process/contain-errors.js";
import { sleep } from "../process/dispatcher-context.js";
import { createProgressReading, type ProgressReadingOptions } from "./progress-reading.js";

export interface ProgressReloadOptions extends ProgressReadingOptions {
    /** Called after each attempt. */
    readonly reloaded: () => void;
}

const RETRY_DELAY_MS = 60;

/**
 * Returns a function that brings the progress of the pool's jobs up to date after a takeover, once the inherited runs are
 * known. Between the first read and the first report of an executor, the previous scheduler may have stored a run end and
 * acknowledged it, so that the executor no longer reports it.
 */
export const createProgressReload = (options: ProgressReloadOptions): (() => void) => {
    const { context, tables, reloaded } = options;
    const reportError = createErrorReporter({ context, part: "progress-reload" });
    const reading = createProgressReading(options);
    const areRunsKnown = (): boolean => areInheritedRunsKnown(tables, context.monotonicMs());
    let isReading = false;
    /** False if inherited runs became unknown after the attempt had begun. */
    let haveRunsStayedKnown = true;
    return () => {
        if (tables.isProgressCurrent) {
            return;
        }
        if (!areRunsKnown()) {
            // The previous scheduler may store further ends, so pages that were read before do not count.
            haveRunsStayedKnown = false;
            if (!isReading) {
                reading.dropPages();
            }
            return;
        }
        if (isReading) {
            return;
        }
        isReading = true;
        haveRunsStayedKnown = true;
        void reading
            .read()
            .catch((error: unknown) => {
                reportError(error);
                reading.startOver();
                return false;
            })
            .then(async isRead => {
                haveRunsStayedKnown &&= areRunsKnown();
                if (!haveRunsStayedKnown) {
                    reading.dropPages();
                }
                tables.isProgressCurrent = isRead && haveRunsStayedKnown;
                if (!isRead) {
                    await sleep(RETRY_DELAY_MS);
                }
                isReading = false;
                reloaded();
            });
    };
};
