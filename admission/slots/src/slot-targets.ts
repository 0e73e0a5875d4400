import type { ProcessId } from "@almondusher/fleet/ids";
import { type ByUrgency, urgencies } from "@almondusher/fleet/urgency";

/** Requests of one member that run or wait, by class. */
export interface MemberDemand {
    readonly member: ProcessId;
    readonly demand: ByUrgency<number>;
}

/** What the number of slots of each member depends on. */
export interface TargetOptions {
    readonly total: number;
    readonly demands: readonly MemberDemand[];
    readonly shares: ByUrgency<number>;
    /** Slots that each member gets whatever its demand, as far as there are enough. */
    readonly reservePerMember: number;
}

/** Slots of one member. */
export interface SlotTarget {
    readonly member: ProcessId;
    readonly slots: number;
}

/**
 * Divides the slots of a pool among the members: a reserve for each, then the guaranteed share of each class by its
 * demand, then the rest by the remaining demand, and what nobody asked for evenly.
 */
export const slotTargets = ({ total, demands, shares, reservePerMember }: TargetOptions): readonly SlotTarget[] => {
    const reserve = Math.min(reservePerMember, Math.floor(total / Math.max(1, demands.length)));
    const targets = demands.map(() => reserve);
    const unmet = demands.map(({ demand }) => ({ ...demand }));
    const slots = { left: total - reserve * demands.length };
    unmet.forEach(demand => coverByReserve(demand, reserve));
    urgencies.forEach(urgency => {
        const wanted = unmet.map(demand => demand[urgency]);
        const given = divideFairly(wanted, Math.min(slots.left, Math.floor(shares[urgency] * total)));
        given.forEach((count, index) => {
            targets[index] = (targets[index] ?? 0) + count;
            slots.left -= count;
            const demand = unmet[index];
            if (demand !== undefined) {
                demand[urgency] -= count;
            }
        });
    });
    const rest = divideFairly(
        unmet.map(demand => urgencies.reduce((sum, urgency) => sum + demand[urgency], 0)),
        slots.left,
    );
    const spare = slots.left - rest.reduce((sum, count) => sum + count, 0);
    const even = divideFairly(
        demands.map(() => Math.ceil(spare / Math.max(1, demands.length))),
        spare,
    );
    return demands.map(({ member }, index) => ({
        member,
        slots: (targets[index] ?? 0) + (rest[index] ?? 0) + (even[index] ?? 0),
    }));
};

// The reserve serves the most urgent requests of the member first.
const coverByReserve = (demand: Record<keyof ByUrgency<number>, number>, reserve: number): void => {
    urgencies.reduce((left, urgency) => {
        const covered = Math.min(left, demand[urgency]);
        demand[urgency] -= covered;
        return left - covered;
    }, reserve);
};

/** Divides slots so that nobody gets more than it wants and the least served get the most; in whole numbers. */
export const divideFairly = (wanted: readonly number[], slots: number): readonly number[] => {
    const order = wanted.map((want, index) => ({ want, index })).toSorted((left, right) => left.want - right.want);
    const given = wanted.map(() => 0);
    order.reduce((left, { want, index }, position) => {
        const fair = Math.floor(left / (order.length - position));
        const count = Math.min(want, fair);
        given[index] = count;
        return left - count;
    }, slots);
    return given;
};
