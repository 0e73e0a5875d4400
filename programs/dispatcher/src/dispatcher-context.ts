import type { ProcessId, VmId } from "@almondusher/fleet/ids";
import type { TableStore } from "@almondusher/platform-adapter/table-store";
import type { DecisionLog } from "./decision-log.js";
import type { DispatcherMetrics } from "./dispatcher-metrics.js";
import type { DispatcherSettings } from "./dispatcher-settings.js";

/** What every part of the process uses. */
export interface DispatcherContext {
    readonly settings: DispatcherSettings;
    readonly vm: VmId;
    /** One run of this process. */
    readonly process: ProcessId;
    readonly store: TableStore;
    readonly log: DecisionLog;
    readonly metrics: DispatcherMetrics;
    /** Steady clock in milliseconds. */
    readonly monotonicMs: () => number;
}

/** Resolves after the given time. */
export const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
