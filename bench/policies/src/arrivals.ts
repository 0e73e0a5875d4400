import { createRandom, type Random } from "./random.js";
import { type Flood, meanRunMs, type QueueProfile } from "./workload.js";

/** Generated arrivals at one pool by ascending time, stored as columns; 16 bytes per request. */
export interface Arrivals {
    readonly queues: readonly QueueProfile[];
    readonly count: number;
    readonly atMs: Float64Array;
    readonly runMs: Float32Array;
    readonly queue: Uint8Array;
    readonly team: Uint8Array;
    /** Relative position of the caller's entry, 0 to 255; scaled to the number of entries in a run. */
    readonly entryPosition: Uint8Array;
    /** 1 for requests added by a flood, otherwise 0. */
    readonly isFlood: Uint8Array;
}

/** Parameters from which the arrivals at one pool are generated. */
export interface RecordingOptions {
    readonly seed: number;
    readonly queues: readonly QueueProfile[];
    readonly floods: readonly Flood[];
    readonly durationMs: number;
    /** Slots of the pool; the loads of the queues are shares of them. */
    readonly slots: number;
    /** Factor on the mean load of each queue outside floods. */
    readonly baseFactor: number;
    /** Factor on the mean load of a queue during its flood. */
    readonly floodFactor: number;
    /** Minimum total load of all queues during a flood, as a share of the slots. */
    readonly minFloodLoad: number;
}

// Callers use keep-alive connections, so a load balancer distributes the requests of a queue unevenly over the entries.
const CONNECTIONS_PER_QUEUE = 24;
const TEAMS_PER_QUEUE = 3;
const ENTRY_POSITIONS = 256;

/** Generates arrivals from a seed; the same options give the same arrivals. */
export const recordArrivals = (options: RecordingOptions): Arrivals => {
    const rows = options.queues
        .flatMap((profile, index) => arrivalsOfQueue(options, profile, index))
        .toSorted((left, right) => left.atMs - right.atMs);
    return {
        queues: options.queues,
        count: rows.length,
        atMs: Float64Array.from(rows, row => row.atMs),
        runMs: Float32Array.from(rows, row => row.runMs),
        queue: Uint8Array.from(rows, row => row.queue),
        team: Uint8Array.from(rows, row => row.team),
        entryPosition: Uint8Array.from(rows, row => row.entryPosition),
        isFlood: Uint8Array.from(rows, row => Number(row.isFlood)),
    };
};

/** Returns the arrivals without the requests added by floods. */
export const withoutFloods = (arrivals: Arrivals): Arrivals => {
    const keep = (unused: number, index: number): boolean => arrivals.isFlood[index] === 0;
    const atMs = arrivals.atMs.filter(keep);
    return {
        queues: arrivals.queues,
        count: atMs.length,
        atMs,
        runMs: arrivals.runMs.filter(keep),
        queue: arrivals.queue.filter(keep),
        team: arrivals.team.filter(keep),
        entryPosition: arrivals.entryPosition.filter(keep),
        isFlood: arrivals.isFlood.filter(keep),
    };
};

interface Arrival {
    readonly atMs: number;
    readonly runMs: number;
    readonly queue: number;
    readonly team: number;
    readonly entryPosition: number;
    readonly isFlood: boolean;
}

const arrivalsOfQueue = (options: RecordingOptions, profile: QueueProfile, queue: number): readonly Arrival[] => {
    const random = createRandom(options.seed * QUEUE_SEED_STEP + queue);
    const connections = Array.from({ length: CONNECTIONS_PER_QUEUE }, () => random.below(ENTRY_POSITIONS));
    const perMs = options.slots / meanRunMs(profile);
    const rowsOf = (from: number, to: number, load: number, isFlood: boolean): readonly Arrival[] =>
        poissonTimes(random, { from, to, perMs: load * perMs }).map(atMs => ({
            atMs,
            runMs: random.logNormal(profile.medianRunMs, profile.sigma),
            queue,
            team: queue * TEAMS_PER_QUEUE + (isFlood ? 0 : random.below(TEAMS_PER_QUEUE)),
            entryPosition: connections[random.below(CONNECTIONS_PER_QUEUE)] ?? 0,
            isFlood,
        }));
    const base = rowsOf(0, options.durationMs, profile.load * options.baseFactor, false);
    const floods = options.floods
        .filter(flood => flood.queue === profile.name)
        .flatMap(flood => rowsOf(flood.fromMs, flood.toMs, addedFloodLoad(options, profile), true));
    return [...base, ...floods];
};

const QUEUE_SEED_STEP = 1_000;

// Load that a flood adds to the base load of its queue.
const addedFloodLoad = (options: RecordingOptions, profile: QueueProfile): number => {
    const base = options.queues.reduce((sum, queue) => sum + queue.load * options.baseFactor, 0);
    const byFactor = profile.load * (options.floodFactor - options.baseFactor);
    return Math.max(byFactor, options.minFloodLoad - base);
};

interface PoissonOptions {
    readonly from: number;
    readonly to: number;
    readonly perMs: number;
}

const poissonTimes = (random: Random, { from, to, perMs }: PoissonOptions): readonly number[] => {
    const times: number[] = [];
    let at = from + random.exponential(1 / perMs);
    while (at < to) {
        times.push(at);
        at += random.exponential(1 / perMs);
    }
    return times;
};
