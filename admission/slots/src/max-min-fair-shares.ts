/**
 * Max-min fair division into whole slots: no share exceeds the slots wanted, and the smallest shares are as large as
 * possible. The remainder goes, one slot each, to those that want more: the largest wants first or, with a
 * `rotation`, in cyclic order from that position, so that each of them gets a slot in some rotation.
 */
export const maxMinFairShares = (wanted: readonly number[], slots: number, rotation?: number): readonly number[] => {
    const level = fairLevel(wanted, slots);
    const shares = wanted.map(want => Math.max(0, Math.min(want, level)));
    const remainder = Math.max(0, slots - sum(shares));
    wanted
        .map((want, index) => ({ want, index }))
        .filter(({ want }) => want > level)
        .toSorted(rotation === undefined ? byWant : byRotation(rotation, wanted.length))
        .slice(0, remainder)
        .forEach(({ index }) => (shares[index] = level + 1));
    return shares;
};

interface WantedSlots {
    readonly want: number;
    readonly index: number;
}

export const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

const byWant = (left: WantedSlots, right: WantedSlots): number => right.want - left.want || right.index - left.index;

const byRotation = (rotation: number, count: number) => {
    const positionOf = ({ index }: WantedSlots): number => (index + count - (rotation % count)) % count;
    return (left: WantedSlots, right: WantedSlots): number => positionOf(left) - positionOf(right);
};

// The largest share that can be given to all who want at least that many slots.
const fairLevel = (wanted: readonly number[], slots: number): number => {
    const ascending = wanted.toSorted((left, right) => left - right);
    let remaining = slots;
    const evenPart = (position: number): number => Math.floor(remaining / (ascending.length - position));
    const unserved = ascending.findIndex((want, position) => {
        if (want > evenPart(position)) {
            return true;
        }
        remaining -= want;
        return false;
    });
    return unserved < 0 ? Infinity : Math.max(0, evenPart(unserved));
};
