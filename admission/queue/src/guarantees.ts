import { type ByUrgency, type Urgency, urgencies } from "@almondusher/fleet/urgency";

/** Divides slots among the classes in proportion to their shares, by the largest-remainder method. */
export const guaranteesOf = (shares: ByUrgency<number>, slots: number): ByUrgency<number> => {
    const exact = urgencies.map(urgency => ({ urgency, slots: shares[urgency] * slots }));
    const wholeSlots = exact.reduce((sum, part) => sum + Math.floor(part.slots + ROUNDING_TOLERANCE), 0);
    const remainder = Math.floor(exact.reduce((sum, part) => sum + part.slots, ROUNDING_TOLERANCE)) - wholeSlots;
    const roundedUp = new Set<Urgency>(
        exact
            .toSorted((left, right) => fractionOf(right.slots) - fractionOf(left.slots))
            .slice(0, Math.max(0, remainder))
            .map(part => part.urgency),
    );
    const wholeOf = (urgency: Urgency): number =>
        Math.floor(shares[urgency] * slots + ROUNDING_TOLERANCE) + (roundedUp.has(urgency) ? 1 : 0);
    return { urgent: wholeOf("urgent"), normal: wholeOf("normal"), deferrable: wholeOf("deferrable") };
};

/** Guaranteed slots of each class in a whole pool; the other slots are for short requests of any class. */
export const poolGuarantees = ({ shares, shortReserveSlots, slots }: PoolShares): ByUrgency<number> =>
    guaranteesOf(shares, slots - shortReserveSlots);

/** Slots of a pool and the shares of the classes, from which `poolGuarantees` calculates the guarantees. */
export interface PoolShares {
    readonly shares: ByUrgency<number>;
    /** Slots reserved for short requests of any class. */
    readonly shortReserveSlots: number;
    readonly slots: number;
}

// Floating-point sums of shares such as 0.5 + 0.3 + 0.2 differ from whole numbers by less than this.
const ROUNDING_TOLERANCE = 1e-9;

const fractionOf = (slots: number): number => slots - Math.floor(slots + ROUNDING_TOLERANCE);
