/** Divides slots in whole numbers so that nobody gets more than it wants and the least served get as much as possible. */
export const divideFairly = (wanted: readonly number[], slots: number): readonly number[] => {
    const order = wanted.map((want, index) => ({ want, index })).toSorted((left, right) => left.want - right.want);
    const given = wanted.map(() => 0);
    order.reduce((left, { want, index }, position) => {
        const fair = Math.floor(left / (order.length - position));
        const count = Math.max(0, Math.min(want, fair));
        given[index] = count;
        return left - count;
    }, slots);
    return given;
};
