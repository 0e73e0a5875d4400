import { isWithin, type FaultSpan } from "./simulated-fault.js";
import type { SimulatedTime } from "./simulated-time.js";

/** Simulated time of a process: callbacks that are due in a pause run after it, and none once the process has ended. */
export const createPausableTime = (
    time: SimulatedTime,
    pauses: readonly FaultSpan[],
    isAlive: () => boolean,
): SimulatedTime => {
    const runUnlessPaused = (callback: () => void): void => {
        if (!isAlive()) {
            return;
        }
        const pause = pauses.find(span => isWithin(span, time.nowMs()));
        if (pause === undefined) {
            callback();
        } else {
            time.after(pause.fromMs + pause.durationMs - time.nowMs(), () => runUnlessPaused(callback));
        }
    };
    return { ...time, after: (delayMs, callback) => time.after(delayMs, () => runUnlessPaused(callback)) };
};
