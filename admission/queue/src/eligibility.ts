import { type ByUrgency, type Urgency } from "@almondusher/fleet/urgency";
import type { AdmissionLimits, PoolCapacity } from "./admission-options.js";
import type { Admission, Entitlement } from "./admission-state.js";
import { guaranteesOf } from "./guarantees.js";

/** Which slot a request of the class may take now. */
export const entitlementOf = (
    admission: Admission,
    request: { readonly urgency: Urgency; readonly mayBorrow: boolean },
    capacity: PoolCapacity,
): Entitlement => {
    if (capacity.free <= 0) {
        return "none";
    }
    const guarantees = guaranteedSlots(admission.limits, capacity);
    if (admission.classes[request.urgency].runningOwn < guarantees[request.urgency]) {
        return "own";
    }
    return request.mayBorrow ? "borrowed" : "none";
};

/** Slots that each class may claim on this entry. */
export const guaranteedSlots = (limits: AdmissionLimits, capacity: PoolCapacity): ByUrgency<number> => {
    if (capacity.guarantees !== undefined) {
        return capacity.guarantees;
    }
    const open = Math.floor(limits.quickShare * capacity.granted);
    const guarantees = guaranteesOf(limits.shares, capacity.granted - open);
    // A class with a share keeps one slot to compete for even where its share of few slots rounds to none.
    const atLeastOne = (urgency: Urgency): number =>
        limits.shares[urgency] > 0 ? Math.max(1, guarantees[urgency]) : guarantees[urgency];
    return { urgent: atLeastOne("urgent"), normal: atLeastOne("normal"), deferrable: atLeastOne("deferrable") };
};
