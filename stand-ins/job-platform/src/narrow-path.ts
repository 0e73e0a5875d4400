import { setTimeout as sleep } from "node:timers/promises";

/** Network path that carries requests one after another at a limited rate. It also carries those given up meanwhile. */
export interface NarrowPath {
    /** Resolves when the path has carried the request. */
    readonly carry: () => Promise<void>;
}

/** Creates a path with the given rate. */
export const createNarrowPath = (requestsPerSecond: number): NarrowPath => {
    let freeAtMs = Number.NEGATIVE_INFINITY;
    return {
        carry: async () => {
            const nowMs = performance.now();
            freeAtMs = Math.max(nowMs, freeAtMs) + 1000 / requestsPerSecond;
            await sleep(freeAtMs - nowMs);
        },
    };
};
