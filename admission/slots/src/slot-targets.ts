import type { ProcessId } from "@almondusher/fleet/ids";
import { type ByUrgency, type Urgency, urgencies } from "@almondusher/fleet/urgency";
import { divideFairly, sum } from "./divide-fairly.js";

/** Requests of one member in one pool. */
export interface MemberDemand {
    readonly member: ProcessId;
    /** Short requests that run within the guaranteed share of their class. */
    readonly ownShort: ByUrgency<number>;
    /** Long requests that run within the guaranteed share of their class. */
    readonly ownLong: ByUrgency<number>;
    /** Requests that run in slots borrowed from other classes. */
    readonly borrowed: number;
    /** Requests that wait and may borrow. */
    readonly queuedShort: ByUrgency<number>;
    /** Requests that wait and may only use the share of their class. */
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

/** Slots of one member, and how many of them are guaranteed to each class. */
export interface SlotTarget {
    readonly member: ProcessId;
    readonly slots: number;
    readonly guarantees: ByUrgency<number>;
}

/** What the number of slots of each member depends on. */
export interface TargetOptions {
    /** Slots of the pool. */
    readonly total: number;
    readonly demands: readonly MemberDemand[];
    /** Guaranteed slots of each class in the whole pool; slots beyond them are for short requests of any class. */
    readonly guarantees: ByUrgency<number>;
    /** Slots that each member gets whatever its demand, so that its first requests start at once. */
    readonly reservePerMember: number;
    /** Slots that each member has now, in the order of `demands`. */
    readonly previous: readonly number[];
    /** Slots that may move in one round although nobody waits for them. */
    readonly maxSpareMoves: number;
    /** Counts up over time; what cannot be divided evenly goes to other members in each turn. */
    readonly turn: number;
}

// Long enough for a waiting request to start with the slot that its entry gets in a turn.
const TURN_MS = 200;

/** The turn at a monotonic time in milliseconds. */
export const turnAt = (nowMs: number): number => Math.floor(nowMs / TURN_MS);

/**
 * Divides the slots of a pool among its members. Each class's guaranteed slots follow the demand of that class. What a
 * class leaves goes first to the reserves and then to short requests of any class.
 * Slots that nobody asks for stay where they are and drift to an even division.
 */
export const slotTargets = (options: TargetOptions): readonly SlotTarget[] => {
    const claims = urgencies.map(urgency => claimsOf(options, urgency));
    const claimed = claims.reduce((slots, claim) => add(slots, claim), zeros(options.demands.length));
    const left = Math.max(0, options.total - sum(claimed));
    const extra = divideLeftover(options, { claims, claimed, left });
    const leftovers = urgencies.map((urgency, index) =>
        Math.max(0, options.guarantees[urgency] - sum(claims[index] ?? [])),
    );
    const labels = dealLeftovers(extra, leftovers);
    const yields = urgencies.map((urgency, index) => yieldsOf(options, urgency, claims[index] ?? []));
    return options.demands.map(({ member }, position) => {
        const guaranteeOf = (index: number): number =>
            (claims[index]?.[position] ?? 0) + (labels[index]?.[position] ?? 0) - (yields[index]?.[position] ?? 0);
        return {
            member,
            slots: (claimed[position] ?? 0) + (extra[position] ?? 0),
            guarantees: { urgent: guaranteeOf(0), normal: guaranteeOf(1), deferrable: guaranteeOf(2) },
        };
    });
};

type Counts = readonly number[];

const add = (left: Counts, right: Counts): Counts => left.map((count, index) => count + (right[index] ?? 0));

const zeros = (count: number): Counts => Array.from({ length: count }, () => 0);

// Slots of the class's guarantee that the requests of each member use. Only long requests keep their slots: if short
// ones did, members that are full of short work would keep the whole guarantee for as long as their queues last.
const claimsOf = ({ demands, guarantees, turn }: TargetOptions, urgency: Urgency): Counts => {
    const limit = guarantees[urgency];
    const long = divideFairly(
        demands.map(({ ownLong }) => ownLong[urgency]),
        limit,
    );
    const others = divideFairly(
        demands.map(
            ({ ownShort, queuedShort, queuedLong }) => ownShort[urgency] + queuedShort[urgency] + queuedLong[urgency],
        ),
        limit - sum(long),
        turn,
    );
    return add(long, others);
};

// Guaranteed slots that members may not use again when the long request in them ends, as many as there are members whose
// long requests wait without any. A member with a steady load would otherwise start its next request in the same slot,
// and the grantor would never see it free.
const yieldsOf = ({ demands, turn }: TargetOptions, urgency: Urgency, claims: Counts): Counts => {
    const starving = demands.filter(({ queuedLong }, index) => queuedLong[urgency] > 0 && claims[index] === 0);
    const holding = demands.map(({ ownLong }, index) => Math.min(1, ownLong[urgency], claims[index] ?? 0));
    return divideFairly(holding, Math.min(starving.length, sum(holding)), turn);
};

// Slots that members want; in turns where a member without any would wait.
interface Want {
    readonly counts: Counts;
    readonly turn?: number;
}

const waitingOf = ({ queuedShort, queuedLong }: MemberDemand): number =>
    sum(urgencies.map(urgency => queuedShort[urgency] + queuedLong[urgency]));

interface Leftover {
    readonly claims: readonly Counts[];
    readonly claimed: Counts;
    readonly left: number;
}

const divideLeftover = (options: TargetOptions, { claims, claimed, left }: Leftover): Counts => {
    const { demands, reservePerMember, previous, turn } = options;
    const longExcess = demands.map(({ ownLong }, index) =>
        Math.max(0, sum(urgencies.map(urgency => ownLong[urgency])) - (claimed[index] ?? 0)),
    );
    const reserve = claimed.map(count => Math.max(0, reservePerMember - count));
    const isWaiting = demands.map(demand => waitingOf(demand) > 0);
    const wanted: readonly Want[] = [
        { counts: longExcess },
        { counts: reserve.map((count, index) => (isWaiting[index] === true ? count : 0)), turn },
        { counts: reserve.map((count, index) => (isWaiting[index] === true ? 0 : count)) },
        { counts: demands.map((demand, index) => shortBeyondClaims(demand, { claims, index })), turn },
    ];
    const needed = wanted.reduce<Counts>(
        (given, want) => add(given, divideFairly(want.counts, left - sum(given), want.turn)),
        zeros(demands.length),
    );
    const surplus = needed.map((count, index) => Math.max(0, (previous[index] ?? 0) - (claimed[index] ?? 0) - count));
    const kept = add(needed, divideFairly(surplus, left - sum(needed)));
    return spreadSpare(options, { claimed, needed, kept, left });
};

// Short requests that run or wait beyond what the guaranteed share of their class covers. Those that run have no
// precedence: a member full of short work would otherwise keep its slots from one whose requests wait.
const shortBeyondClaims = (
    demand: MemberDemand,
    { claims, index }: { readonly claims: readonly Counts[]; readonly index: number },
): number =>
    urgencies.reduce((total, urgency, position) => {
        const covered = Math.max(0, (claims[position]?.[index] ?? 0) - demand.ownLong[urgency]);
        return total + Math.max(0, demand.ownShort[urgency] + demand.queuedShort[urgency] - covered);
    }, demand.borrowed);

interface Spare {
    readonly claimed: Counts;
    readonly needed: Counts;
    readonly kept: Counts;
    readonly left: number;
}

const spreadSpare = ({ maxSpareMoves }: TargetOptions, { claimed, needed, kept, left }: Spare): Counts => {
    // An even division gives each member the same number of slots beyond its needs.
    const even = add(
        needed,
        divideFairly(
            claimed.map(() => left),
            left - sum(needed),
        ),
    );
    const missing = (slots: Counts): Counts => slots.map((count, index) => Math.max(0, (even[index] ?? 0) - count));
    const filled = add(kept, divideFairly(missing(kept), left - sum(kept)));
    const above = filled.map((count, index) => Math.max(0, count - (even[index] ?? 0)));
    const moved = Math.min(maxSpareMoves, sum(above));
    const taken = divideFairly(above, moved);
    const given = divideFairly(missing(filled), moved);
    return filled.map((count, index) => count - (taken[index] ?? 0) + (given[index] ?? 0));
};

// Deals the unclaimed guaranteed slots of each class over the members in proportion to their extra slots.
const dealLeftovers = (extra: Counts, leftovers: Counts): readonly Counts[] => {
    const room = [...extra];
    return leftovers.map((slots, index) => {
        const stillToDeal = sum(leftovers.slice(index));
        const share = slots / Math.max(1, Math.max(stillToDeal, sum(room)));
        const whole = room.map(count => Math.floor(count * share));
        const rest = divideFairly(
            room.map((count, position) => count - (whole[position] ?? 0)),
            Math.min(slots, sum(room)) - sum(whole),
        );
        const dealt = add(whole, rest);
        dealt.forEach((count, position) => (room[position] = (room[position] ?? 0) - count));
        return dealt;
    });
};
