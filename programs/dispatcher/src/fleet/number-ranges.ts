/** Integers as ranges with their first and last number, in ascending order, with a gap between any two. */
export type NumberRanges = readonly (readonly [first: number, last: number])[];

/** Returns true if a number is in one of the ranges. */
export const isInRanges = (ranges: NumberRanges, number: number): boolean =>
    ranges.some(([first, last]) => first <= number && number <= last);

/** Returns the ranges with a number added. */
export const addToRanges = (ranges: NumberRanges, number: number): NumberRanges =>
    [...ranges, [number, number] as const]
        .sort(([left], [right]) => left - right)
        .reduce<NumberRanges>((merged, [first, last]) => {
            const previous = merged.at(-1);
            return previous !== undefined && first <= previous[1] + 1
                ? [...merged.slice(0, -1), [previous[0], Math.max(previous[1], last)] as const]
                : [...merged, [first, last] as const];
        }, []);
