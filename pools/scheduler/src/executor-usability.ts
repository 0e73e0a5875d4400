import type { Step } from "@almondusher/jobs/job";
import { mayDiscardUnreadEnds } from "./lost-requests.js";
import { isLeaseHeldSince, type Executor, type OpenStep, type PoolTables } from "./pool-tables.js";
import { demandOf, fits, freeResources } from "./resources.js";

/** Why an executor gets no starts now. */
export type UnusableCause =
    | "not-registered"
    | "evacuated"
    | "unreachable"
    | "not-read"
    | "not-listed-in-lease"
    | "incarnation-unconfirmed"
    | "ends-may-be-discarded"
    | "token-not-shown"
    | "draining"
    | "orphaned-runs"
    | "back-off";

// Time after which a successor may exist, counted from the last known time at which the lease was certainly held.
const SUCCESSOR_POSSIBLE_AFTER_MS = 400;
// Covers a report that the executor holds back for a while and the one before.
const MAX_ANSWER_AGE_MS = 2000;

/** Returns the first cause for which an executor gets no starts; undefined if it gets them. */
export const unusableCauseOf = (tables: PoolTables, executor: Executor, nowMs: number): UnusableCause | undefined => {
    if (!executor.registered) {
        return "not-registered";
    }
    // The following ones apply to most evacuated executors as well, since those are not listed in the lease and end soon.
    if (executor.evacuation !== undefined) {
        return "evacuated";
    }
    if (!executor.reachable) {
        return "unreachable";
    }
    if (!executor.reconciled) {
        return "not-read";
    }
    if (!executor.listedInLease) {
        return "not-listed-in-lease";
    }
    if (!isLeaseHeldSince(tables, executor.incarnationSinceMs)) {
        return "incarnation-unconfirmed";
    }
    if (mayDiscardUnreadEnds(executor, nowMs)) {
        return "ends-may-be-discarded";
    }
    if (!hasShownToken(tables, executor, nowMs)) {
        return "token-not-shown";
    }
    if (executor.record.draining) {
        return "draining";
    }
    if (executor.orphanedRuns.length > 0) {
        return "orphaned-runs";
    }
    return executor.backoffUntilMs <= nowMs ? undefined : "back-off";
};

/** True if an executor gets starts now. */
export const isUsable = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    unusableCauseOf(tables, executor, nowMs) === undefined;

/** True if an executor gets starts now and its free capacity and labels suffice for a task of the step. */
export const hasRoomFor = (tables: PoolTables, executor: Executor, { step }: OpenStep, nowMs: number): boolean =>
    isUsable(tables, executor, nowMs) &&
    hasRequiredLabel(step, executor) &&
    fits(demandOf(step), freeResources(executor));

/** True if the step requires no label, or one that the executor has. */
export const hasRequiredLabel = ({ requiredLabel }: Step, { record }: Executor): boolean =>
    requiredLabel === undefined || record.labels.includes(requiredLabel);

// An executor rejects the starts of this process should a successor have read it. One that has restarted since has forgotten
// the successor's token, so once there may be a successor, the executor must have shown lately that it has not.
const hasShownToken = (tables: PoolTables, { answeredRequestAtMs }: Executor, nowMs: number): boolean =>
    isLeaseHeldSince(tables, nowMs - SUCCESSOR_POSSIBLE_AFTER_MS) || nowMs - answeredRequestAtMs < MAX_ANSWER_AGE_MS;
