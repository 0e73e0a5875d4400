import type { DataCentreName, PoolName, VmId } from "@almondusher/fleet/ids";
import type { ExecutorId, TaskId } from "./ids.js";
import type { Resources } from "./job.js";

/** What an executor registered about itself. */
export interface ExecutorRecord {
    readonly id: ExecutorId;
    readonly vm: VmId | undefined;
    readonly pool: PoolName;
    /** host:port */
    readonly address: string;
    readonly dataCentre: DataCentreName;
    readonly draining: boolean;
    /** Least time until a draining executor leaves, in milliseconds. */
    readonly remainingMs: number | undefined;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Unix time of its start in milliseconds; another value is another life under the same id. */
    readonly bornMs: number;
    /** Its steady clock when it wrote the record. */
    readonly clockMs: number | undefined;
}

/** A run that an executor reports as present. */
export interface ActiveRun {
    readonly task: TaskId;
    readonly run: number;
    readonly checkpoint: string;
    /** Progress; a long-running task is at work at 100. */
    readonly percent: number;
    /** Tail latency in milliseconds for a task that serves users, processor use for others. */
    readonly recentLoad: number | undefined;
}

/** How a run ended. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** A run that an executor reports as ended until the report is acknowledged. */
export interface EndedRun {
    /** Rises by one with each end of an executor's life. */
    readonly number: number;
    readonly task: TaskId;
    readonly run: number;
    readonly how: RunEnd;
    readonly checkpoint: string;
}

/** An executor's answer about all its runs. */
export interface RunReport {
    readonly clockMs: number;
    readonly bornMs: number | undefined;
    readonly active: readonly ActiveRun[];
    readonly ended: readonly EndedRun[];
}

const RACK_LABEL = /^r\d+-\d+$/;

/** The rack named by an executor's labels. */
export const rackOf = (labels: readonly string[]): string | undefined => labels.find(label => RACK_LABEL.test(label));
