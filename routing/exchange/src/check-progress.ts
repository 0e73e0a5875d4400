/** State of an exchange that is checked for missed progress responses. */
export interface ExchangeProgress {
    /** Monotonic time in milliseconds, like the other times. */
    readonly now: number;
    /** Time of the last response byte received or body chunk sent. */
    readonly lastProgressAt: number;
    /** Interval at which the endpoint sends 102 responses; undefined if it sends none. */
    readonly progressIntervalMs: number | undefined;
    /** The final response head was received, after which no 102 can follow. */
    readonly headReceived: boolean;
    /** The exchange waits for the caller, which reads slowly or has not sent the rest of its body. */
    readonly waitsForCaller: boolean;
}

const MAX_MISSED_INTERVALS = 3;

/**
 * Returns "lost" if the endpoint has missed several of its 102 responses. An exchange whose endpoint sends no 102
 * responses is never considered lost because of silence alone.
 */
export const checkProgress = (observation: ExchangeProgress): "lost" | "waiting" => {
    const { now, lastProgressAt, progressIntervalMs, headReceived, waitsForCaller } = observation;
    if (progressIntervalMs === undefined || headReceived || waitsForCaller) {
        return "waiting";
    }
    return now - lastProgressAt > MAX_MISSED_INTERVALS * progressIntervalMs ? "lost" : "waiting";
};
