/**
 * Divides slots in whole numbers so that nobody gets more than it wants and the least served get as much as possible.
 * What an even division leaves goes one each to those that want more: to the ones that want most, or with a `turn` to
 * those from that position on, so that each of them gets some over the turns.
 */
export const divideFairly = (wanted: readonly number[], slots: number, turn?: number): readonly number[] => {
    const level = evenLevel(wanted, slots);
    const given = wanted.map(want => Math.max(0, Math.min(want, level)));
    const left = Math.max(0, slots - sum(given));
    wanted
        .map((want, index) => ({ want, index }))
        .filter(({ want }) => want > level)
        .toSorted(turn === undefined ? byWant : byTurn(turn, wanted.length))
        .slice(0, left)
        .forEach(({ index }) => (given[index] = level + 1));
    return given;
};

interface Want {
    readonly want: number;
    readonly index: number;
}

/** Sum of counts. */
export const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

const byWant = (left: Want, right: Want): number => right.want - left.want || right.index - left.index;

const byTurn = (turn: number, count: number) => {
    const placeOf = ({ index }: Want): number => (index + count - (turn % count)) % count;
    return (left: Want, right: Want): number => placeOf(left) - placeOf(right);
};

// The most that everyone who wants it can have.
const evenLevel = (wanted: readonly number[], slots: number): number => {
    const ascending = wanted.toSorted((left, right) => left - right);
    let left = slots;
    const evenPart = (position: number): number => Math.floor(left / (ascending.length - position));
    const unserved = ascending.findIndex((want, position) => {
        if (want > evenPart(position)) {
            return true;
        }
        left -= want;
        return false;
    });
    return unserved < 0 ? Infinity : Math.max(0, evenPart(unserved));
};
