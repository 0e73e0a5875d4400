import type { PoolTables } from "@almondusher/scheduler/pool-tables";
import type { DispatcherContext } from "../process/dispatcher-context.js";

/** Logs when a pool begins to have too little room for all jobs to be in time, and when that is over. */
export interface OverloadLog {
    /** Must be called after each scheduling pass. */
    readonly check: () => void;
}

// Short ones follow each other while a pool is nearly full.
const MIN_LOGGED_MS = 500;

export const createOverloadLog = (context: DispatcherContext, { pool, selection }: PoolTables): OverloadLog => {
    let sinceMs: number | undefined;
    let isLogged = false;
    return {
        check: () => {
            const { overload } = selection;
            const nowMs = context.monotonicMs();
            if (overload === undefined) {
                if (sinceMs !== undefined && isLogged) {
                    context.log("overload-ended", { pool, tookMs: Math.round(nowMs - sinceMs) });
                }
                sinceMs = undefined;
                isLogged = false;
                return;
            }
            if (sinceMs === undefined) {
                sinceMs = nowMs;
                context.metrics.count("overloads");
            }
            if (!isLogged && nowMs - sinceMs >= MIN_LOGGED_MS) {
                isLogged = true;
                const { selected, deferred } = overload;
                context.log("overload-began", { pool, selected: selected.size, deferred: deferred.size });
            }
        },
    };
};
