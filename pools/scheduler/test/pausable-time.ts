import { isWithin, type FaultSpan } from "./simulated-fault.js";
import type { SimulatedTime } from "./simulated-time.js";

/** Simulated time of a process that is paused now and then: callbacks that are due in a pause run after it. */
export const createPausableTime = (time: SimulatedTime, pauses: readonly FaultSpan[]): SimulatedTime => {
    const runUnlessPaused = (callback: () => void): void => {
        const pause = pauses.find(span => isWithin(span, time.nowMs()));
        if (pause === undefined) {
            callback();
        } else {
            time.after(pause.fromMs + pause.durationMs - time.nowMs(), () => runUnlessPaused(callback));
        }
    };
    return { ...time, after: (delayMs, callback) => time.after(delayMs, () => runUnlessPaused(callback)) };
};
