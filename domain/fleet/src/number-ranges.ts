/** Integers as ranges with their first and last number, in ascending order, with a gap between any two. */
export type NumberRanges = readonly (readonly [first: number, last: number])[];

/** Returns true if a number is in one of the ranges. */
export const isInRanges = (ranges: NumberRanges, number: number): boolean =>
    ranges.some(([first, last]) => first <= number && number <= last);

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
