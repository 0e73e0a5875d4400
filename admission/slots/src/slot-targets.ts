import type { ProcessId } from "@almondusher/fleet/ids";
import { type ByUrgency, type Urgency, urgencies } from "@almondusher/fleet/urgency";
import { maxMinFairShares, sum } from "./max-min-fair-shares.js";

/** Running and queued requests of one member in one pool. */
export interface MemberDemand {
    readonly member: ProcessId;
    /** Short requests that run in guaranteed slots of their class. */
    readonly ownShort: ByUrgency<number>;
    /** Long requests that run in guaranteed slots of their class. */
    readonly ownLong: ByUrgency<number>;
    /** Requests that run in slots borrowed from other classes. */
    readonly borrowed: number;
    /** Queued requests that may borrow slots of other classes. */
    readonly queuedShort: ByUrgency<number>;
    /** Queued requests that may only use the guaranteed slots of their class. */
    readonly queuedLong: ByUrgency<number>;
}

const NO_REQUESTS: ByUrgency<number> = { urgent: 0, normal: 0, deferrable: 0 };

/** The demand of a member that has not reported. */
export const emptyDemand = (member: ProcessId): MemberDemand => ({
    member,
    ownShort: NO_REQUESTS,
    ownLong: NO_REQUESTS,
    borrowed: 0,
    queuedShort: NO_REQUESTS,
    queuedLong: NO_REQUESTS,
});

/** Number of slots for one member, and how many of them are guaranteed to each class. */
export interface SlotTarget {
    readonly member: ProcessId;
    readonly slots: number;
    readonly guarantees: ByUrgency<number>;
}

/** Slots of a pool, guarantees and demand of its members, from which `slotTargets` calculates the targets. */
export interface TargetOptions {
    /** Slots of the pool. */
    readonly total: number;
    readonly demands: readonly MemberDemand[];
    /** Guaranteed slots of each class in the whole pool; the other slots are for short requests of any class. */
    readonly guarantees: ByUrgency<number>;
    /** Slots that each member gets regardless of its demand, so that its first requests start at once. */
    readonly reservePerMember: number;
    /** Slots that each member has now, in the order of `demands`. */
    readonly previous: readonly number[];
    /** Idle slots that may move between members in one round. */
    readonly maxIdleMoves: number;
    /** Increases over time; each rotation gives the remainder of an uneven division to different members. */
    readonly rotation: number;
}

// Long enough for a queued request to start in the slot that its entry gets for one rotation.
const ROTATION_INTERVAL_MS = 200;

/** The rotation at a monotonic time in milliseconds. */
export const rotationAt = (nowMs: number): number => Math.floor(nowMs / ROTATION_INTERVAL_MS);

/**
 * Divides the slots of a pool among its members. The guaranteed slots of each class are divided by the members' demand
 * in that class. The other slots and the guaranteed slots that a class does not use go first to running long requests
 * beyond the guarantees, then to the members' reserves and then to short requests of any class. Idle slots stay with
 * their members and move gradually towards an even division.
 */
export const slotTargets = (options: TargetOptions): readonly SlotTarget[] => {
    const guaranteeShares = urgencies.map(urgency => guaranteeSharesOf(options, urgency));
    const guaranteed = guaranteeShares.reduce((slots, shares) => add(slots, shares), zeros(options.demands.length));
    const remaining = Math.max(0, options.total - sum(guaranteed));
    const extraSlots = divideRemainder(options, { guaranteeShares, guaranteed, remaining });
    const unusedGuarantees = urgencies.map((urgency, index) =>
        Math.max(0, options.guarantees[urgency] - sum(guaranteeShares[index] ?? [])),
    );
    const extraGuarantees = divideUnusedGuarantees(extraSlots, unusedGuarantees);
    const withheld = urgencies.map((urgency, index) => withheldSlotsOf(options, urgency, guaranteeShares[index] ?? []));
    return options.demands.map(({ member }, position) => {
        const guaranteeOf = (index: number): number =>
            (guaranteeShares[index]?.[position] ?? 0) +
            (extraGuarantees[index]?.[position] ?? 0) -
            (withheld[index]?.[position] ?? 0);
        return {
            member,
            slots: (guaranteed[position] ?? 0) + (extraSlots[position] ?? 0),
            guarantees: { urgent: guaranteeOf(0), normal: guaranteeOf(1), deferrable: guaranteeOf(2) },
        };
    });
};

type Counts = readonly number[];

const add = (left: Counts, right: Counts): Counts => left.map((count, index) => count + (right[index] ?? 0));

const zeros = (count: number): Counts => Array.from({ length: count }, () => 0);

// Guaranteed slots of the class that each member gets for its requests. Only running long requests keep their slots: if
// short ones did, members loaded with short requests would keep the whole guarantee until their queues are empty.
const guaranteeSharesOf = ({ demands, guarantees, rotation }: TargetOptions, urgency: Urgency): Counts => {
    const limit = guarantees[urgency];
    const long = maxMinFairShares(
        demands.map(({ ownLong }) => ownLong[urgency]),
        limit,
    );
    const others = maxMinFairShares(
        demands.map(
            ({ ownShort, queuedShort, queuedLong }) => ownShort[urgency] + queuedShort[urgency] + queuedLong[urgency],
        ),
        limit - sum(long),
        rotation,
    );
    return add(long, others);
};

// Guaranteed slots that members may not reuse when the long request in them ends: as many as there are members with
// queued long requests and no guaranteed slot. Otherwise a member under steady load would start its next request in the
// same slot before the grantor could see it free.
const withheldSlotsOf = ({ demands, rotation }: TargetOptions, urgency: Urgency, guaranteeShares: Counts): Counts => {
    const waitingMembers = demands.filter(
        ({ queuedLong }, index) => queuedLong[urgency] > 0 && guaranteeShares[index] === 0,
    );
    const releasable = demands.map(({ ownLong }, index) => Math.min(1, ownLong[urgency], guaranteeShares[index] ?? 0));
    return maxMinFairShares(releasable, Math.min(waitingMembers.length, sum(releasable)), rotation);
};

// Slots that each member asks for. The rotation is set where members without a slot would otherwise wait indefinitely.
interface Demand {
    readonly counts: Counts;
    readonly rotation?: number;
}

const queuedOf = ({ queuedShort, queuedLong }: MemberDemand): number =>
    sum(urgencies.map(urgency => queuedShort[urgency] + queuedLong[urgency]));

interface Remainder {
    readonly guaranteeShares: readonly Counts[];
    readonly guaranteed: Counts;
    readonly remaining: number;
}

const divideRemainder = (options: TargetOptions, { guaranteeShares, guaranteed, remaining }: Remainder): Counts => {
    const { demands, reservePerMember, previous, rotation } = options;
    const longExcess = demands.map(({ ownLong }, index) =>
        Math.max(0, sum(urgencies.map(urgency => ownLong[urgency])) - (guaranteed[index] ?? 0)),
    );
    const reserve = guaranteed.map(count => Math.max(0, reservePerMember - count));
    const hasQueued = demands.map(demand => queuedOf(demand) > 0);
    const demandsByPriority: readonly Demand[] = [
        { counts: longExcess },
        { counts: reserve.map((count, index) => (hasQueued[index] === true ? count : 0)), rotation },
        { counts: reserve.map((count, index) => (hasQueued[index] === true ? 0 : count)) },
        { counts: demands.map((demand, index) => shortBeyondGuarantees(demand, { guaranteeShares, index })), rotation },
    ];
    const needs = demandsByPriority.reduce<Counts>(
        (received, demand) =>
            add(received, maxMinFairShares(demand.counts, remaining - sum(received), demand.rotation)),
        zeros(demands.length),
    );
    const unneeded = needs.map((count, index) =>
        Math.max(0, (previous[index] ?? 0) - (guaranteed[index] ?? 0) - count),
    );
    const kept = add(needs, maxMinFairShares(unneeded, remaining - sum(needs)));
    return balanceIdleSlots(options, { guaranteed, needs, kept, remaining });
};

// Running and queued short requests beyond the guaranteed slots of their class. Running ones have no precedence:
// otherwise a member loaded with short requests would keep its slots while requests of other members wait.
const shortBeyondGuarantees = (
    demand: MemberDemand,
    { guaranteeShares, index }: { readonly guaranteeShares: readonly Counts[]; readonly index: number },
): number =>
    urgencies.reduce((total, urgency, position) => {
        const covered = Math.max(0, (guaranteeShares[position]?.[index] ?? 0) - demand.ownLong[urgency]);
        return total + Math.max(0, demand.ownShort[urgency] + demand.queuedShort[urgency] - covered);
    }, demand.borrowed);

interface IdleSlots {
    readonly guaranteed: Counts;
    readonly needs: Counts;
    readonly kept: Counts;
    readonly remaining: number;
}

const balanceIdleSlots = (
    { maxIdleMoves }: TargetOptions,
    { guaranteed, needs, kept, remaining }: IdleSlots,
): Counts => {
    // An even division gives each member the same number of slots beyond its needs.
    const even = add(
        needs,
        maxMinFairShares(
            guaranteed.map(() => remaining),
            remaining - sum(needs),
        ),
    );
    const missing = (slots: Counts): Counts => slots.map((count, index) => Math.max(0, (even[index] ?? 0) - count));
    const filled = add(kept, maxMinFairShares(missing(kept), remaining - sum(kept)));
    const excess = filled.map((count, index) => Math.max(0, count - (even[index] ?? 0)));
    const moved = Math.min(maxIdleMoves, sum(excess));
    const taken = maxMinFairShares(excess, moved);
    const received = maxMinFairShares(missing(filled), moved);
    return filled.map((count, index) => count - (taken[index] ?? 0) + (received[index] ?? 0));
};

// Divides the unused guaranteed slots of each class among the members in proportion to their extra slots.
const divideUnusedGuarantees = (extraSlots: Counts, unusedGuarantees: Counts): readonly Counts[] => {
    const available = [...extraSlots];
    return unusedGuarantees.map((slots, index) => {
        const undivided = sum(unusedGuarantees.slice(index));
        const share = slots / Math.max(1, Math.max(undivided, sum(available)));
        const whole = available.map(count => Math.floor(count * share));
        const rest = maxMinFairShares(
            available.map((count, position) => count - (whole[position] ?? 0)),
            Math.min(slots, sum(available)) - sum(whole),
        );
        const divided = add(whole, rest);
        divided.forEach((count, position) => (available[position] = (available[position] ?? 0) - count));
        return divided;
    });
};
