import type { AdmissionLimits } from "@almondusher/admission/admission-options";
import type { Rendezvous } from "@almondusher/slots/rendezvous";
import { type Arrivals, recordArrivals, withoutFloods } from "./arrivals.js";
import { type AdmissionVariant, type PoolRun, runPool } from "./run-pool.js";
import { addRun, createScore, p99Ms, type Score, type MeasurementWindow } from "./score.js";
import type { SlotSharing } from "./slot-sharing.js";
import { type Flood, isLong, meanRunMs, defaultQueues, type QueueProfile } from "./workload.js";

/** Size and network delays of an installation. */
export interface Installation {
    readonly name: string;
    readonly pools: number;
    readonly vmsPerPool: number;
    readonly entries: number;
    /** One-way delay between processes in different data centres. */
    readonly peerDelayMs: number;
    readonly endpointDelayMs: number;
    /**
     * Number of recordings per pool. In the profiles `steady` and `turns` each recording floods the next queue in turn.
     * More pools need fewer repetitions.
     */
    readonly repetitions: number;
}

/**
 * Which queues flood: in `steady` and `turns` one queue in each recording (in `turns` all queues are almost idle
 * otherwise), in `long work` all queues of long requests, in `least then most urgent` first deferrable-long and then
 * urgent-short.
 */
export type LoadProfile = "steady" | "turns" | "long work" | "least then most urgent";

/** A combination of slot sharing and admission policy. */
export interface Variant {
    readonly name: string;
    readonly sharing: SlotSharing;
    readonly admission: AdmissionVariant;
}

/** Scores of one variant with and without floods. */
export interface VariantResult {
    readonly variant: Variant;
    readonly flooded: Score;
    readonly quiet: Score;
}

/** Generated arrivals at one pool with and without a flood; all variants run on the same recording. */
interface Recording {
    readonly flooded: Arrivals;
    readonly quiet: Arrivals;
    readonly window: MeasurementWindow;
}

const SLOTS_PER_VM = 8;
const BEFORE_FLOOD_MS = 6_000;
const FLOOD_MS = 6_000;
// Requests that arrive shortly after the flood are still delayed by its backlog.
const AFTER_FLOOD_MS = 3_000;
const DRAIN_MS = 100_000;
const FLOOD_FACTOR = 5;
const BASE_FACTOR_IN_TURNS = 0.05;
const MIN_FLOOD_LOAD = 1.5;
// Mean load of each queue in profile turns, in which a queue is almost idle outside its flood. Five times this load
// exceeds the capacity of the pool.
const MEAN_LOAD_IN_TURNS = 0.24;

/** Production defaults, which some variants override. */
export const defaultLimits: AdmissionLimits = {
    shares: { urgent: 0.5, normal: 0.3, deferrable: 0.2 },
    quickShare: 0.5,
    maxQueued: { urgent: 256, normal: 256, deferrable: 256 },
    quotas: [],
    borrowRunTimeMs: 500,
};

/** Runs all variants of an installation on the same recordings. */
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
            const run = poolRunOf(installation, variant, options.rendezvous);
            addRun(flooded, runPool({ ...run, arrivals: recording.flooded }), recording.window);
            addRun(quiet, runPool({ ...run, arrivals: recording.quiet }), recording.window);
        });
    });
    return results;
};

/** Finds the queue of short requests whose p99 latency grows the most under floods, and the ratio. */
export const worstQueue = ({ flooded, quiet }: VariantResult): { readonly name: string; readonly ratio: number } =>
    defaultQueues
        .filter(queue => !isLong(queue))
        .map(({ name }) => ({
            name,
            ratio: p99Ms(flooded.latencies.get(name)) / Math.max(1, p99Ms(quiet.latencies.get(name))),
        }))
        .reduce((worst, next) => (next.ratio > worst.ratio ? next : worst));

const queuesOf = (profile: LoadProfile): readonly QueueProfile[] =>
    profile === "turns" ? defaultQueues.map(queue => ({ ...queue, load: MEAN_LOAD_IN_TURNS })) : defaultQueues;

const FIRST_FLOOD = { fromMs: BEFORE_FLOOD_MS, toMs: BEFORE_FLOOD_MS + FLOOD_MS };
// Long enough for long requests to occupy all slots that they may use.
const LONG_FLOOD = { fromMs: BEFORE_FLOOD_MS, toMs: BEFORE_FLOOD_MS + 3 * FLOOD_MS };
const SECOND_FLOOD = { fromMs: LONG_FLOOD.toMs, toMs: LONG_FLOOD.toMs + FLOOD_MS };

const floodsOf = (profile: LoadProfile, index: number): readonly Flood[] => {
    switch (profile) {
        case "steady":
        case "turns":
            return [{ queue: defaultQueues[index % defaultQueues.length]?.name ?? "", ...FIRST_FLOOD }];
        case "long work":
            return defaultQueues.filter(isLong).map(({ name }) => ({ queue: name, ...FIRST_FLOOD }));
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
        durationMs: floodToMs + AFTER_FLOOD_MS,
        slots,
        baseFactor: profile === "turns" ? BASE_FACTOR_IN_TURNS : 1,
        floodFactor: FLOOD_FACTOR,
        minFloodLoad: profile === "steady" ? MIN_FLOOD_LOAD : 0,
    });
    const window = {
        fromMs: BEFORE_FLOOD_MS,
        toMs: floodToMs + AFTER_FLOOD_MS,
        floodQueues: floods.map(flood => flood.queue),
        floodToMs,
        slots,
    };
    return { flooded, quiet: withoutFloods(flooded), window };
};

const poolRunOf = (
    installation: Installation,
    variant: Variant,
    rendezvous: Rendezvous,
): Omit<PoolRun, "arrivals"> => ({
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
    endMs: SECOND_FLOOD.toMs + AFTER_FLOOD_MS + DRAIN_MS,
    rendezvous,
});

const sharesOf = ({ admission }: Variant): Pick<AdmissionLimits, "shares" | "quickShare"> => {
    const { shares, quickShare } = admission.kind === "classes" ? admission.limits : defaultLimits;
    return { shares, quickShare };
};

/** Describes the queues of a profile for the report. */
export const describeQueues = (profile: LoadProfile): readonly string[] =>
    queuesOf(profile).map(
        queue =>
            `${queue.name}: load ${queue.load}, mean run ${Math.round(meanRunMs(queue))} ms, target run time + ${queue.targetMs} ms`,
    );
