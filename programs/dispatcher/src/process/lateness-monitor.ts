import type { DispatcherContext } from "./dispatcher-context.js";

export interface LatenessMonitorOptions {
    readonly context: Pick<DispatcherContext, "log" | "metrics" | "monotonicMs">;
}

const CHECK_INTERVAL_MS = 100;
// Requests to executors time out after a few times this delay, so a process with this delay acts on outdated answers.
const REPORTED_DELAY_MS = 100;
const REPORT_INTERVAL_MS = 1000;

/**
 * Measures how late the process handles its timers, in the histogram `timer_delay`, and logs `process-late` at most once
 * a second while it is late. A process that is short of processor time or was suspended is late.
 */
export const monitorLateness = ({ context }: LatenessMonitorOptions): void => {
    let lastAtMs = context.monotonicMs();
    let reportedAtMs = Number.NEGATIVE_INFINITY;
    let worstDelayMs = 0;
    setInterval(() => {
        const nowMs = context.monotonicMs();
        const delayMs = Math.max(0, nowMs - lastAtMs - CHECK_INTERVAL_MS);
        lastAtMs = nowMs;
        context.metrics.record("timer_delay", delayMs);
        worstDelayMs = Math.max(worstDelayMs, delayMs);
        if (worstDelayMs >= REPORTED_DELAY_MS && nowMs - reportedAtMs >= REPORT_INTERVAL_MS) {
            context.metrics.count("process_late");
            context.log("process-late", { delayMs: Math.round(worstDelayMs) });
            reportedAtMs = nowMs;
            worstDelayMs = 0;
        }
    }, CHECK_INTERVAL_MS).unref();
};
