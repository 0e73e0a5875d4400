import { areInheritedRunsKnown } from "./inherited-runs.js";
import { isHeldByInheritedStart } from "./inherited-starts.js";
import { attemptsLeft } from "./job-terms.js";
import { isLeaseHeldSince, type OpenJob, type PoolTables, type Task } from "./pool-tables.js";

/** Why no task of an inherited job may start. */
export type InheritedGate = "inherited-runs-unknown" | "progress-not-read";

/** Why no task of a job may start, whatever the executors have room for. */
export type JobGate = InheritedGate | "job-read-unconfirmed";

/** Why a task may not start, whatever the executors have room for. */
export type TaskGate =
    "done" | "run-not-ended" | "give-up-unconfirmed" | "inherited-start-possible" | "attempts-unknown";

/** Returns why the inherited jobs of the pool may not start tasks; undefined if they may. */
export const inheritedGateOf = (tables: PoolTables, nowMs: number): InheritedGate | undefined => {
    if (!areInheritedRunsKnown(tables, nowMs)) {
        return "inherited-runs-unknown";
    }
    return tables.isProgressCurrent ? undefined : "progress-not-read";
};

/**
 * Returns why a job may not start tasks, given the reason for the inherited jobs of the pool; undefined if it may. A job that
 * was read after the last proof that the pool lease was held may have been read by a successor, too.
 */
export const jobGateOf = (
    tables: PoolTables,
    { inherited, readAtMs }: OpenJob,
    inheritedGate: InheritedGate | undefined,
): JobGate | undefined => {
    if (inherited && inheritedGate !== undefined) {
        return inheritedGate;
    }
    return isLeaseHeldSince(tables, readAtMs) ? undefined : "job-read-unconfirmed";
};

/**
 * Returns why a task may not start; undefined if it may. A successor can have adopted a run that was given up after the last
 * proof that the pool lease was held. A task that has failed waits while nobody knows how often it may be attempted: neither
 * one attempt too many nor a job that is shown as failed can be taken back.
 */
export const taskGateOf = (tables: PoolTables, task: Task): TaskGate | undefined => {
    const { id, done, runs, givenUpAtMs } = task;
    if (done) {
        return "done";
    }
    if (runs.length > 0) {
        return "run-not-ended";
    }
    if (!isLeaseHeldSince(tables, givenUpAtMs)) {
        return "give-up-unconfirmed";
    }
    if (isHeldByInheritedStart(tables, id)) {
        return "inherited-start-possible";
    }
    return attemptsLeft(tables, task) === "unknown" ? "attempts-unknown" : undefined;
};

/** True for a waiting task of which no successor can have adopted a run. */
export const mayStart = (tables: PoolTables, task: Task): boolean => taskGateOf(tables, task) === undefined;
