import type { ExecutorId } from "@almondusher/jobs/ids";

/** Number of orders that a scheduling pass may still send. What exceeds it stays in the tables for a later pass. */
export interface OrderBudget {
    /** True while no executor may be sent another order. */
    readonly isExhausted: () => boolean;
    /** True if another order may be sent to the executor. */
    readonly allows: (executor: ExecutorId) => boolean;
    /** Counts an order to the executor as sent. */
    readonly spend: (executor: ExecutorId) => void;
}
