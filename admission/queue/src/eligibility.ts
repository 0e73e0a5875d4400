import { type ByUrgency, type Urgency } from "@almondusher/fleet/urgency";
import type { AdmissionLimits, PoolCapacity } from "./admission-options.js";
import type { Admission, EligibleSlotKind } from "./admission-state.js";
import { guaranteesOf } from "./guarantees.js";

/** Kind of slot that a request of the class may take now. */
export const eligibleSlotKind = (
    admission: Admission,
    request: { readonly urgency: Urgency; readonly mayBorrow: boolean },
    capacity: PoolCapacity,
): EligibleSlotKind => {
    if (capacity.free <= 0) {
        return "none";
    }
    const guarantees = guaranteedSlotsByClass(admission.limits, capacity);
    if (admission.classes[request.urgency].runningOwn < guarantees[request.urgency]) {
        return "own";
    }
    return request.mayBorrow ? "borrowed" : "none";
};

/** Guaranteed slots of each class on this entry. */
export const guaranteedSlotsByClass = (limits: AdmissionLimits, capacity: PoolCapacity): ByUrgency<number> => {
    if (capacity.guarantees !== undefined) {
        return capacity.guarantees;
    }
    const reserved = Math.floor(limits.quickShare * capacity.granted);
    const guarantees = guaranteesOf(limits.shares, capacity.granted - reserved);
    // A class with a share may compete for at least one slot, even if its share of a small grant rounds down to none.
    const atLeastOne = (urgency: Urgency): number =>
        limits.shares[urgency] > 0 ? Math.max(1, guarantees[urgency]) : guarantees[urgency];
    return { urgent: atLeastOne("urgent"), normal: atLeastOne("normal"), deferrable: atLeastOne("deferrable") };
};
