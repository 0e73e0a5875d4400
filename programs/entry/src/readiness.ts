import type { EntryContext, EntryPhase } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";

export interface ReadinessOptions {
    readonly phase: EntryPhase;
    readonly hasState: boolean;
    readonly hasVmList: boolean;
    readonly nowMs: number;
    /** Last answer of the platform or of a peer, in milliseconds of the same clock. */
    readonly lastContactMs: number;
    readonly isolationTimeoutMs: number;
}

/** Whether the entry takes requests, and why not. */
export type Readiness = { readonly ready: true } | { readonly ready: false; readonly reason: string };

/** Decides on readiness; a process that knows no state or has lost all contact may hold an old revision. */
export const readinessOf = (options: ReadinessOptions): Readiness => {
    const silentMs = options.nowMs - options.lastContactMs;
    if (options.phase !== "serving") {
        return { ready: false, reason: `the process is ${options.phase}` };
    }
    if (!options.hasState) {
        return { ready: false, reason: "no fleet state from the platform or a peer yet" };
    }
    if (!options.hasVmList) {
        return { ready: false, reason: "no VM list from the platform or a peer yet" };
    }
    if (silentMs > options.isolationTimeoutMs) {
        return { ready: false, reason: `no answer of the platform or a peer for ${Math.round(silentMs)} ms` };
    }
    return { ready: true };
};

/** Whether this entry takes requests now; computed at each request, as a process may have been paused since its last tick. */
export const currentReadiness = (entry: EntryContext) => {
    const { tables, settings } = entry;
    return readinessOf({
        phase: tables.phase,
        hasState: tables.hasState,
        hasVmList: tables.listing.listedAtMs !== undefined,
        nowMs: monotonicMs(),
        lastContactMs: Math.max(tables.platformContactAtMs, tables.peerContactAtMs),
        isolationTimeoutMs: settings.timing.isolationTimeoutMs,
    });
};
