/** Learned need of a pool's short work. */
export interface QuickReserve {
    /** Slots that short requests used lately, averaged. */
    readonly meanInUse: number;
    readonly updatedAt: number;
}

// Short work of the last minutes counts; long requests of other queues would hold slots freed any sooner.
const MEMORY_MS = 120_000;
// Slots kept for each one in use; below this the queues of short work grow whenever it fluctuates.
const HEADROOM = 1.5;

/** The reserve of a pool about which nothing is known: as much as may be kept. */
export const createQuickReserve = ({ maxSlots, now }: { maxSlots: number; now: number }): QuickReserve => ({
    meanInUse: maxSlots / HEADROOM,
    updatedAt: now,
});

/** Learns from the number of slots that short requests use now. */
export const learnShortUse = (reserve: QuickReserve, inUse: number, now: number): QuickReserve => {
    const weight = 1 - Math.exp(-Math.max(0, now - reserve.updatedAt) / MEMORY_MS);
    return { meanInUse: reserve.meanInUse + weight * (inUse - reserve.meanInUse), updatedAt: now };
};

/** Slots to keep for short requests of any class; a pool without short work keeps none. */
export const quickSlots = (reserve: QuickReserve, maxSlots: number): number =>
    Math.min(maxSlots, Math.round(HEADROOM * reserve.meanInUse));
