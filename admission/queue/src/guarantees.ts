import { type ByUrgency, type Urgency, urgencies } from "@almondusher/fleet/urgency";

/** Divides slots among the classes by their shares in whole numbers; the largest remainders are rounded up. */
export const guaranteesOf = (shares: ByUrgency<number>, slots: number): ByUrgency<number> => {
    const exact = urgencies.map(urgency => ({ urgency, slots: shares[urgency] * slots }));
    const wholeSlots = exact.reduce((sum, part) => sum + Math.floor(part.slots + ROUNDING), 0);
    const spare = Math.floor(exact.reduce((sum, part) => sum + part.slots, ROUNDING)) - wholeSlots;
    const roundedUp = new Set<Urgency>(
        exact
            .toSorted((left, right) => fractionOf(right.slots) - fractionOf(left.slots))
            .slice(0, Math.max(0, spare))
            .map(part => part.urgency),
    );
    const wholeOf = (urgency: Urgency): number =>
        Math.floor(shares[urgency] * slots + ROUNDING) + (roundedUp.has(urgency) ? 1 : 0);
    return { urgent: wholeOf("urgent"), normal: wholeOf("normal"), deferrable: wholeOf("deferrable") };
};

/** Guaranteed slots of each class in a whole pool; the rest is for short requests of any class. */
export const poolGuarantees = ({ shares, quickSlots, slots }: PoolShares): ByUrgency<number> =>
    guaranteesOf(shares, slots - quickSlots);

/** Shares of the slots of a pool. */
export interface PoolShares {
    readonly shares: ByUrgency<number>;
    /** Slots kept for short requests of any class. */
    readonly quickSlots: number;
    readonly slots: number;
}

// Sums of shares such as 0.5 + 0.3 + 0.2 miss whole numbers by less than this.
const ROUNDING = 1e-9;

const fractionOf = (slots: number): number => slots - Math.floor(slots + ROUNDING);
