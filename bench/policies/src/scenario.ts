import type { AdmissionLimits } from "@almondusher/admission/admission-options";
import type { Rendezvous } from "@almondusher/slots/rendezvous";
import { type Arrivals, recordArrivals, withoutFloods } from "./arrivals.js";
import { type AdmissionVariant, type PoolRun, runPool } from "./run-pool.js";
import { addRun, createScore, p99Ms, type Score, type Window } from "./score.js";
import type { SlotSharing } from "./slot-sharing.js";
import { type Flood, isLong, meanRunMs, mixedQueues, type QueueProfile } from "./workload.js";

/** Size and delays of an installation. */
export interface Installation {
    readonly name: string;
    readonly pools: number;
    readonly vmsPerPool: number;
    readonly entries: number;
    /** One-way delay between processes in different data centres. */
    readonly peerDelayMs: number;
    readonly endpointDelayMs: number;
    /** Every queue floods in turn this many times; larger installations need fewer repetitions. */
    readonly repetitions: number;
}

/** Load around the floods. */
export type LoadProfile = "steady" | "turns" | "long work" | "least then most urgent";

/** A way to share slots and admit requests. */
export interface Variant {
    readonly name: string;
    readonly sharing: SlotSharing;
    readonly admission: AdmissionVariant;
}

/** Results of one variant with and without floods. */
export interface VariantResult {
    readonly variant: Variant;
    readonly flooded: Score;
    readonly quiet: Score;
}

/** One flood of one pool, recorded for all variants. */
interface Recording {
    readonly flooded: Arrivals;
    readonly quiet: Arrivals;
    readonly window: Window;
}

const SLOTS_PER_VM = 8;
const CALM_MS = 6_000;
const FLOOD_MS = 6_000;
// Work that arrives shortly after the flood still meets its backlog.
const AFTERMATH_MS = 3_000;
const DRAIN_MS = 100_000;
const FLOOD_FACTOR = 5;
const CALM_FACTOR_IN_TURNS = 0.05;
const MIN_FLOOD_LOAD = 1.5;
// Load of each queue where it is silent for most of the time; five times that is more than the pool can serve.
const MEAN_LOAD_IN_TURNS = 0.24;

/** Defaults of the real system that the variants change. */
export const defaultLimits: AdmissionLimits = {
    shares: { urgent: 0.5, normal: 0.3, deferrable: 0.2 },
    quickShare: 0.5,
    maxQueued: { urgent: 256, normal: 256, deferrable: 256 },
    quotas: [],
    borrowRunTimeMs: 500,
};

/** Runs all variants on the same recordings of an installation. */
export const compareVariants = (
    installation: Installation,
    options: {
        readonly variants: readonly Variant[];
        readonly profile: LoadProfile;
        readonly seed: number;
        readonly rendezvous: Rendezvous;
    },
): readonly VariantResult[] => {
    const results = options.variants.map(variant => ({ variant, flooded: createScore(), quiet: createScore() }));
    const count = installation.pools * installation.repetitions;
    Array.from({ length: count }, (unused, index) => index).forEach(index => {
        const recording = recordFlood(installation, { ...options, index });
        results.forEach(({ variant, flooded, quiet }) => {
            const run = runOf(installation, variant, options.rendezvous);
            addRun(flooded, runPool({ ...run, arrivals: recording.flooded }), recording.window);
            addRun(quiet, runPool({ ...run, arrivals: recording.quiet }), recording.window);
        });
    });
    return results;
};

/** The queue of short work whose 99th percentile grows the most with floods, and how much it grows. */
export const worstQueue = ({ flooded, quiet }: VariantResult): { readonly name: string; readonly ratio: number } =>
    mixedQueues
        .filter(queue => !isLong(queue))
        .map(({ name }) => ({
            name,
            ratio: p99Ms(flooded.latencies.get(name)) / Math.max(1, p99Ms(quiet.latencies.get(name))),
        }))
        .reduce((worst, next) => (next.ratio > worst.ratio ? next : worst));

const queuesOf = (profile: LoadProfile): readonly QueueProfile[] =>
    profile === "turns" ? mixedQueues.map(queue => ({ ...queue, load: MEAN_LOAD_IN_TURNS })) : mixedQueues;

const FIRST_FLOOD = { fromMs: CALM_MS, toMs: CALM_MS + FLOOD_MS };
// Long enough for long requests to fill all slots that they can get.
const LONG_FLOOD = { fromMs: CALM_MS, toMs: CALM_MS + 3 * FLOOD_MS };
const SECOND_FLOOD = { fromMs: LONG_FLOOD.toMs, toMs: LONG_FLOOD.toMs + FLOOD_MS };

const floodsOf = (profile: LoadProfile, index: number): readonly Flood[] => {
    switch (profile) {
        case "steady":
        case "turns":
            return [{ queue: mixedQueues[index % mixedQueues.length]?.name ?? "", ...FIRST_FLOOD }];
        case "long work":
            return mixedQueues.filter(isLong).map(({ name }) => ({ queue: name, ...FIRST_FLOOD }));
        case "least then most urgent":
            return [
                { queue: "deferrable-long", ...LONG_FLOOD },
                { queue: "urgent-short", ...SECOND_FLOOD },
            ];
    }
};

const recordFlood = (
    installation: Installation,
    { seed, index, profile }: { readonly seed: number; readonly index: number; readonly profile: LoadProfile },
): Recording => {
    const queues = queuesOf(profile);
    const floods = floodsOf(profile, index);
    const slots = installation.vmsPerPool * SLOTS_PER_VM;
    const floodToMs = Math.max(...floods.map(flood => flood.toMs));
    const flooded = recordArrivals({
        seed: seed + index,
        queues,
        floods,
        durationMs: floodToMs + AFTERMATH_MS,
        slots,
        calmFactor: profile === "turns" ? CALM_FACTOR_IN_TURNS : 1,
        floodFactor: FLOOD_FACTOR,
        minFloodLoad: profile === "steady" ? MIN_FLOOD_LOAD : 0,
    });
    const window = {
        fromMs: CALM_MS,
        toMs: floodToMs + AFTERMATH_MS,
        floodQueues: floods.map(flood => flood.queue),
        floodToMs,
        slots,
    };
    return { flooded, quiet: withoutFloods(flooded), window };
};

const runOf = (installation: Installation, variant: Variant, rendezvous: Rendezvous): Omit<PoolRun, "arrivals"> => ({
    vmCount: installation.vmsPerPool,
    slotsPerVm: SLOTS_PER_VM,
    entryCount: installation.entries,
    sharing: variant.sharing,
    admission: variant.admission,
    grants: {
        grantTtlMs: 3_000,
        ...sharesOf(variant),
        reservePerMember: 1,
        maxSpareMoves: 2,
    },
    endpointDelayMs: installation.endpointDelayMs,
    peerDelayMs: installation.peerDelayMs,
    endMs: SECOND_FLOOD.toMs + AFTERMATH_MS + DRAIN_MS,
    rendezvous,
});

const sharesOf = ({ admission }: Variant): Pick<AdmissionLimits, "shares" | "quickShare"> => {
    const { shares, quickShare } = admission.kind === "classes" ? admission.limits : defaultLimits;
    return { shares, quickShare };
};

/** Load of the queues of a profile, for the report. */
export const describeQueues = (profile: LoadProfile): readonly string[] =>
    queuesOf(profile).map(
        queue =>
            `${queue.name}: load ${queue.load}, mean run ${Math.round(meanRunMs(queue))} ms, target run time + ${queue.targetMs} ms`,
    );
