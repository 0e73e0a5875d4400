/** A count with exponential decay. */
export interface DecayedCount {
    readonly value: number;
    /** Time in milliseconds to which the value refers. */
    readonly at: number;
}

/** Returns the value at a later time; unchanged if the clock has stepped back. */
export const decayedValue = (count: DecayedCount, now: number, halfLifeMs: number): number =>
    now <= count.at ? count.value : count.value * 2 ** ((count.at - now) / halfLifeMs);

/** Returns the count decayed to the given time, plus an amount. */
export const addToDecayed = (
    count: DecayedCount | undefined,
    amount: number,
    now: number,
    halfLifeMs: number,
): DecayedCount => ({
    value: (count === undefined ? 0 : decayedValue(count, now, halfLifeMs)) + amount,
    at: count === undefined ? now : Math.max(now, count.at),
});
