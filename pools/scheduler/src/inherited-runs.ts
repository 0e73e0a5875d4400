import { haveLeasesExpired } from "./lost-requests.js";
import { isLeaseHeldSince, type Executor, type PoolTables } from "./pool-tables.js";

/** True if all active runs of the executor are known, although not all ends of its runs may be. */
export const areRunsRead = ({ reconciled, hasUnreadEnds }: Executor): boolean => reconciled || hasUnreadEnds;

/** Returns the monotonic time in milliseconds until which runs of previous holders may be active on an executor. */
export const inheritedWaitEndMs = (tables: PoolTables, { inheritedWaitUntilMs }: Executor): number =>
    inheritedWaitUntilMs ?? tables.inheritedWaitUntilMs;

/**
 * True once no run of the executor that a previous holder of the pool lease started, and no end of one, can be missing from
 * the tables: its runs and ends were read, or the wait until the leases of such runs have expired is over. The wait does
 * not replace reading the ends of an executor that lists more of them than one report holds, because this scheduler has
 * extended its leases since. What follows from time alone needs a proof that the pool lease was held then: a successor may
 * have adopted the runs and extended their leases.
 */
export const areInheritedRunsOver = (tables: PoolTables, executor: Executor, nowMs: number): boolean =>
    executor.reconciled ||
    // It ended with its VM after the evacuation in which its runs were read, or is out of reach.
    (!executor.reachable && executor.inheritedRunsRead) ||
    (nowMs >= inheritedWaitEndMs(tables, executor) &&
        isLeaseHeldSince(tables, inheritedWaitEndMs(tables, executor)) &&
        !mayListUnreadEnds(tables, executor));

/**
 * True once no run that a previous holder of the pool lease started, and no end of one, can be missing from the tables of
 * any executor.
 */
export const areInheritedRunsKnown = (tables: PoolTables, nowMs: number): boolean =>
    [...tables.executors.values()].every(executor => areInheritedRunsOver(tables, executor, nowMs));

// Ends that the executor has not listed before the leases of its runs expired no longer count as known to the system, so
// their tasks may run again.
const mayListUnreadEnds = (tables: PoolTables, executor: Executor): boolean =>
    executor.hasUnreadEnds &&
    (executor.reachable ||
        !haveLeasesExpired(tables, executor, executor.unansweredPollSentAtMs) ||
        !isLeaseHeldSince(tables, executor.unansweredPollSentAtMs));
