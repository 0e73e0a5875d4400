/** Integers as ranges with their first and last number, in ascending order, with a gap between any two. */
export type NumberRanges = readonly (readonly [first: number, last: number])[];

/** Returns the range that contains a number; undefined if none does. */
export const findRange = (ranges: NumberRanges, number: number): NumberRanges[number] | undefined => {
    // The first range that does not end before the number, by bisection.
    let low = 0;
    let high = ranges.length;
    while (low < high) {
        const middle = Math.floor((low + high) / 2);
        const [, last] = ranges[middle] as NumberRanges[number];
        if (last < number) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    const range = ranges[low];
    return range !== undefined && range[0] <= number ? range : undefined;
};

/** Returns true if a number is in one of the ranges. */
export const isInRanges = (ranges: NumberRanges, number: number): boolean => findRange(ranges, number) !== undefined;

/** Returns the ranges with a number added. */
export const addToRanges = (ranges: NumberRanges, number: number): NumberRanges =>
    mergeRanges(ranges, [[number, number]]);

/** Number of integers in the ranges. */
export const countInRanges = (ranges: NumberRanges): number =>
    ranges.reduce((sum, [first, last]) => sum + last - first + 1, 0);

/** Returns the numbers that are in any of the two. */
export const mergeRanges = (left: NumberRanges, right: NumberRanges): NumberRanges =>
    [...left, ...right]
        .sort(([first], [other]) => first - other)
        .reduce<[number, number][]>((merged, [first, last]) => {
            const previous = merged.at(-1);
            if (previous !== undefined && first <= previous[1] + 1) {
                previous[1] = Math.max(previous[1], last);
            } else {
                merged.push([first, last]);
            }
            return merged;
        }, []);
