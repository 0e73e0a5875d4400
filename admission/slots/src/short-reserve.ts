/** Moving average of the slots that the short requests of a pool use. */
export interface ShortReserve {
    /** Exponentially weighted mean. */
    readonly meanInUse: number;
    readonly updatedAt: number;
}

// Time constant of the average, so that the load of the last minutes counts. If slots were given up sooner, long
// requests would occupy them.
const AVERAGING_TIME_MS = 120_000;
// Reserved slots for each slot in use; with a lower factor the queues of short requests grow whenever their load
// fluctuates.
const HEADROOM = 1.5;

/** Creates the reserve of a pool without history, which starts at the allowed maximum. */
export const createShortReserve = ({ maxSlots, now }: { maxSlots: number; now: number }): ShortReserve => ({
    meanInUse: maxSlots / HEADROOM,
    updatedAt: now,
});

/** Updates the average with the number of slots that short requests use now. */
export const updateShortReserve = (reserve: ShortReserve, inUse: number, now: number): ShortReserve => {
    const weight = 1 - Math.exp(-Math.max(0, now - reserve.updatedAt) / AVERAGING_TIME_MS);
    return { meanInUse: reserve.meanInUse + weight * (inUse - reserve.meanInUse), updatedAt: now };
};

/** Slots to keep for short requests of any class; a pool without short requests keeps none. */
export const shortReserveSlots = (reserve: ShortReserve, maxSlots: number): number =>
    Math.min(maxSlots, Math.round(HEADROOM * reserve.meanInUse));
