import { haveLeasesExpired } from "./lease-time.js";
import type { Executor } from "./pool-tables.js";

/** True if all active runs of the executor are known, although not all ends of its runs may be. */
export const areRunsRead = ({ reconciled, hasUnreadEnds }: Executor): boolean => reconciled || hasUnreadEnds;

/**
 * True if the executor may still list run ends that this scheduler has not read. Ends that it has not listed before the
 * leases of its runs expired no longer count as known to the system, so their tasks may run again.
 */
export const mayListUnreadEnds = (executor: Executor): boolean =>
    executor.hasUnreadEnds && (executor.reachable || !haveLeasesExpired(executor, executor.unansweredPollSentAtMs));
