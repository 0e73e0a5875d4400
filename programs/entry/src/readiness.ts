import type { EntryContext, EntryPhase } from "./entry-context.js";
import { monotonicMs } from "./monotonic-clock.js";

export interface ReadinessOptions {
    readonly phase: EntryPhase;
    readonly hasState: boolean;
    readonly hasVmList: boolean;
    readonly nowMs: number;
    /** Time of the last contact with the platform or a peer, in milliseconds, on the same clock as `nowMs`. */
    readonly lastContactMs: number;
    readonly isolationTimeoutMs: number;
}

/** Whether the entry accepts requests, with the reason if it does not. */
export type Readiness = { readonly ready: true } | { readonly ready: false; readonly reason: string };

/** Evaluates readiness. Without a state or recent contact, the entry may hold an outdated revision and is not ready. */
export const evaluateReadiness = (options: ReadinessOptions): Readiness => {
    const msSinceContact = options.nowMs - options.lastContactMs;
    if (options.phase !== "serving") {
        return { ready: false, reason: `the process is ${options.phase}` };
    }
    if (!options.hasState) {
        return { ready: false, reason: "no fleet state from the platform or a peer yet" };
    }
    if (!options.hasVmList) {
        return { ready: false, reason: "no VM list from the platform or a peer yet" };
    }
    if (msSinceContact > options.isolationTimeoutMs) {
        return { ready: false, reason: `no answer of the platform or a peer for ${Math.round(msSinceContact)} ms` };
    }
    return { ready: true };
};

/** Evaluates the current readiness; done on each request, as the process may have been suspended since the last tick. */
export const currentReadiness = (entry: EntryContext) => {
    const { tables, settings } = entry;
    return evaluateReadiness({
        phase: tables.phase,
        hasState: tables.hasState,
        hasVmList: tables.vmListing.listedAtMs !== undefined,
        nowMs: monotonicMs(),
        lastContactMs: Math.max(tables.platformContactAtMs, tables.peerContactAtMs),
        isolationTimeoutMs: settings.timing.isolationTimeoutMs,
    });
};
