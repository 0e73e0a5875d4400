import { encodeRunTimes } from "@almondusher/run-times/run-time-state";
import { learnFromActive } from "@almondusher/scheduler/learned-times";
import type { PoolTables } from "@almondusher/scheduler/pool-tables";

/** What a scheduler has learned of run times, for its lease row. */
export interface PublishedRunTimes {
    /** Takes the runs into account that still go on, if that was not done for a while. */
    readonly observe: () => void;
    /** The state to store; it changes rarely. Undefined until something was learned. */
    readonly text: () => string | undefined;
}

export interface PublishedRunTimesOptions {
    readonly tables: PoolTables;
    readonly monotonicMs: () => number;
}

const OBSERVE_INTERVAL_MS = 500;
// The row is written every 500 ms, and encoding takes time.
const ENCODE_INTERVAL_MS = 3000;
// The state is encoded again once the learned runs have grown by this share, or by the number at which old ones fade.
const MIN_GROWTH = 0.1;
const MAX_UNPUBLISHED_RUNS = 50;

export const createPublishedRunTimes = ({ tables, monotonicMs }: PublishedRunTimesOptions): PublishedRunTimes => {
    let observedAtMs = Number.NEGATIVE_INFINITY;
    let encodedAtMs = Number.NEGATIVE_INFINITY;
    let encodedRuns = -1;
    let encoded: string | undefined;
    const isDue = (): boolean => {
        const unpublished = tables.runTimes.learned - encodedRuns;
        return (
            monotonicMs() - encodedAtMs >= ENCODE_INTERVAL_MS &&
            unpublished > Math.min(MAX_UNPUBLISHED_RUNS, encodedRuns * MIN_GROWTH)
        );
    };
    return {
        observe: () => {
            if (monotonicMs() - observedAtMs >= OBSERVE_INTERVAL_MS) {
                observedAtMs = monotonicMs();
                learnFromActive(tables, monotonicMs());
            }
        },
        text: () => {
            if (isDue()) {
                encoded = encodeRunTimes(tables.runTimes);
                encodedAtMs = monotonicMs();
                encodedRuns = tables.runTimes.learned;
            }
            return encoded;
        },
    };
};
