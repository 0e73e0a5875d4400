/** A count that halves every half-life. */
export interface DecayedCount {
    readonly value: number;
    /** Time in milliseconds at which the value held. */
    readonly at: number;
}

/** The count at a later time; a clock that steps back leaves it unchanged. */
export const decayedValue = (count: DecayedCount, now: number, halfLifeMs: number): number =>
    now <= count.at ? count.value : count.value * 2 ** ((count.at - now) / halfLifeMs);

/** The count at the given time plus an amount. */
export const addDecayed = (
    count: DecayedCount | undefined,
    amount: number,
    now: number,
    halfLifeMs: number,
): DecayedCount => ({
    value: (count === undefined ? 0 : decayedValue(count, now, halfLifeMs)) + amount,
    at: count === undefined ? now : Math.max(now, count.at),
});
