import { type Urgency, urgencies } from "@almondusher/fleet/urgency";
import type { PoolCapacity } from "./admission-options.js";
import type { Admission } from "./admission-state.js";
import { guaranteesOf } from "./guarantees.js";

/** Which slot a class may take: one of its own share, one that it borrows, or none. */
export type Entitlement = "own" | "borrowed" | "none";

/** Which slot a request of the class may take now. */
export const entitlementOf = (
    admission: Admission,
    request: { readonly urgency: Urgency; readonly isShort: boolean },
    capacity: PoolCapacity,
): Entitlement => {
    if (capacity.free <= 0) {
        return "none";
    }
    const guarantees = guaranteesOf(admission.limits.shares, capacity.granted);
    const share = admission.limits.shares[request.urgency];
    // A class with a share keeps one slot to compete for even where its share of the granted slots rounds to none.
    const own = share > 0 ? Math.max(1, guarantees[request.urgency]) : 0;
    if (admission.classes[request.urgency].running < own) {
        return "own";
    }
    const unusedByOthers = urgencies
        .filter(urgency => urgency !== request.urgency)
        .reduce((sum, urgency) => sum + Math.max(0, guarantees[urgency] - admission.classes[urgency].running), 0);
    const mayUseOthers = request.isShort && admission.loans.overdue === 0;
    return mayUseOthers || capacity.free > unusedByOthers ? "borrowed" : "none";
};
