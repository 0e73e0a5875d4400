/** What is known of an exchange whose endpoint announces progress. */
export interface ProgressObservation {
    /** Monotonic time in milliseconds, as are the other times. */
    readonly now: number;
    /** Last byte of the answer or last part of the body sent. */
    readonly lastProgressAt: number;
    /** Interval at which the endpoint sends 102; absent if it sends none. */
    readonly progressIntervalMs: number | undefined;
    /** The final head has arrived; no 102 can follow it. */
    readonly headSeen: boolean;
    /** The next step is the caller's: it reads slowly or has not sent the rest of its body. */
    readonly waitsForCaller: boolean;
}

const MISSED_INTERVALS = 3;

/** Tells whether the connection is lost; silence alone never ends an exchange whose endpoint announces no progress. */
export const watchProgress = (observation: ProgressObservation): "lost" | "waiting" => {
    const { now, lastProgressAt, progressIntervalMs, headSeen, waitsForCaller } = observation;
    if (progressIntervalMs === undefined || headSeen || waitsForCaller) {
        return "waiting";
    }
    return now - lastProgressAt > MISSED_INTERVALS * progressIntervalMs ? "lost" : "waiting";
};
