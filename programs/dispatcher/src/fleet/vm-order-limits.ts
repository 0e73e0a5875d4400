/** Whether the VM service rejects an order whose fencing token is lower than one it has received for the VM. */
export type OrderFencing = { readonly kind: "enforced" } | { readonly kind: "not-enforced" };

/** Time limit of an order that may use it in full, in milliseconds. */
const ORDER_TIMEOUT_MS = 1000;
/** An order that was not answered may still be carried out up to this much later, in milliseconds. */
export const MAX_ORDER_DELAY_MS = 13_000;
// A fleet manager whose lease was renewed longer ago sends no orders, because another may have taken over.
const MAX_LEASE_AGE_MS = 2500;
// Where nothing rejects late orders, the connection of an order is reset at this age of the lease at the latest, before
// another process may take the lease over.
const LAST_ORDER_END_MS = 3000;

/**
 * Returns the time limit of an order that would be sent now, in milliseconds; 0 if none may be sent.
 * `leaseAgeMs` is the time since the fleet lease was last certainly held.
 */
export const orderTimeoutMs = (fencing: OrderFencing, leaseAgeMs: number): number => {
    if (leaseAgeMs >= MAX_LEASE_AGE_MS) {
        return 0;
    }
    switch (fencing.kind) {
        case "enforced":
            return ORDER_TIMEOUT_MS;
        case "not-enforced":
            return Math.min(ORDER_TIMEOUT_MS, LAST_ORDER_END_MS - leaseAgeMs);
    }
};
