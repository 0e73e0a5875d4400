/** Simulated time of one process: callbacks run in the order of their times, without waiting. */
export interface SimulatedTime {
    /** Milliseconds since the start of the simulation. */
    readonly nowMs: () => number;
    readonly after: (delayMs: number, callback: () => void) => void;
    /** Runs the next callback and returns true, or returns false if none is due up to the given time. */
    readonly runNext: (untilMs: number) => boolean;
}

interface Event {
    readonly atMs: number;
    readonly callback: () => void;
}

/** Creates simulated time at 0 ms. Callbacks of the same time run in the order in which they were added. */
export const createSimulatedTime = (): SimulatedTime => {
    // In descending order, so that the next event is the last element.
    const events: Event[] = [];
    let nowMs = 0;
    return {
        nowMs: () => nowMs,
        after: (delayMs, callback) => {
            const atMs = nowMs + Math.max(0, delayMs);
            events.splice(events.findLastIndex(event => event.atMs > atMs) + 1, 0, { atMs, callback });
        },
        runNext: untilMs => {
            const next = events.at(-1);
            if (next === undefined || next.atMs > untilMs) {
                return false;
            }
            events.pop();
            nowMs = next.atMs;
            next.callback();
            return true;
        },
    };
};
