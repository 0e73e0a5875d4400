/**
 * Max-min fair division into whole slots: no share exceeds its demand, and the smallest shares are as large as
 * possible. The remainder goes, one slot each, to demands that are not met: the largest ones first or, with a
 * `rotation`, in cyclic order from that position, so that each of them gets a slot in some rotation.
 */
export const maxMinFairShares = (demands: readonly number[], slots: number, rotation?: number): readonly number[] => {
    const level = fairLevel(demands, slots);
    const shares = demands.map(amount => Math.max(0, Math.min(amount, level)));
    const remainder = Math.max(0, slots - sum(shares));
    demands
        .map((amount, index) => ({ amount, index }))
        .filter(({ amount }) => amount > level)
        .toSorted(rotation === undefined ? byAmount : byRotation(rotation, demands.length))
        .slice(0, remainder)
        .forEach(({ index }) => (shares[index] = level + 1));
    return shares;
};

interface Demand {
    readonly amount: number;
    readonly index: number;
}

export const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

const byAmount = (left: Demand, right: Demand): number => right.amount - left.amount || right.index - left.index;

const byRotation = (rotation: number, count: number) => {
    const positionOf = ({ index }: Demand): number => (index + count - (rotation % count)) % count;
    return (left: Demand, right: Demand): number => positionOf(left) - positionOf(right);
};

// The largest share that every demand of at least that size can get.
const fairLevel = (demands: readonly number[], slots: number): number => {
    const ascending = demands.toSorted((left, right) => left - right);
    let remaining = slots;
    const evenShare = (position: number): number => Math.floor(remaining / (ascending.length - position));
    const unmet = ascending.findIndex((amount, position) => {
        if (amount > evenShare(position)) {
            return true;
        }
        remaining -= amount;
        return false;
    });
    return unmet < 0 ? Infinity : Math.max(0, evenShare(unmet));
};
