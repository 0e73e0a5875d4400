import type { DataCentreName, PoolName, VmId } from "@almondusher/fleet/ids";
import type { ExecutorId, TaskId } from "./ids.js";
import type { Resources } from "./job.js";

/** Registration record of an executor. */
export interface ExecutorRecord {
    readonly id: ExecutorId;
    readonly vm: VmId | undefined;
    readonly pool: PoolName;
    /** host:port */
    readonly address: string;
    readonly dataCentre: DataCentreName;
    readonly draining: boolean;
    /** Minimum time until a draining executor leaves, in milliseconds. */
    readonly remainingMs: number | undefined;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Unix time of its start in milliseconds; tells apart restarts under the same id. */
    readonly startedAtMs: number;
    /** Monotonic clock of the executor when it wrote the record, in milliseconds. */
    readonly clockMs: number | undefined;
}

/** A run that an executor reports as active. */
export interface ActiveRun {
    readonly task: TaskId;
    readonly run: number;
    readonly checkpoint: string;
    /** Progress in percent; a long-running task is in service at 100. */
    readonly percent: number;
    /** Tail latency in milliseconds for a task that serves users, CPU usage for other tasks. */
    readonly recentLoad: number | undefined;
}

/** How a run ended: only `done` completes the task, and only `failed` counts as a failed attempt. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** An ended run, which the executor reports until the report is acknowledged. */
export interface EndedRun {
    /** Sequence number of the ended run since the start of the executor. */
    readonly number: number;
    readonly task: TaskId;
    readonly run: number;
    readonly how: RunEnd;
    readonly checkpoint: string;
}

/** Report of an executor on all its active runs and on those that have ended since the last acknowledged end. */
export interface RunReport {
    readonly clockMs: number;
    readonly startedAtMs: number | undefined;
    readonly active: readonly ActiveRun[];
    /** The oldest ends that were not acknowledged, in the order of their numbers. */
    readonly ended: readonly EndedRun[];
    /** True if the executor may have more ends, which it lists only once those in `ended` are acknowledged. */
    readonly endsTruncated: boolean;
}

const RACK_LABEL = /^r\d+-\d+$/;

/** The rack label of an executor, if it has one. */
export const rackOf = (labels: readonly string[]): string | undefined => labels.find(label => RACK_LABEL.test(label));
