import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { TableStore } from "@almondusher/platform-adapter/table-store";
import type { DecisionLog } from "./decision-log.js";
import type { DispatcherMetrics } from "./dispatcher-metrics.js";
import type { DispatcherSettings } from "./dispatcher-settings.js";

/** Settings and services that are shared by all parts of the process. */
export interface DispatcherContext {
    readonly settings: DispatcherSettings;
    readonly vm: VmId;
    /** Unique for each start of the process. */
    readonly process: ProcessId;
    readonly store: TableStore;
    readonly log: DecisionLog;
    readonly metrics: DispatcherMetrics;
    /** Monotonic clock in milliseconds. */
    readonly monotonicMs: () => number;
}

export const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
