import { createRandom, type Random } from "./random.js";
import { type Flood, meanRunMs, type QueueProfile } from "./workload.js";

/** Recorded arrivals at one pool in order of time, as columns; 18 bytes for each request. */
export interface Arrivals {
    readonly queues: readonly QueueProfile[];
    readonly count: number;
    readonly atMs: Float64Array;
    readonly runMs: Float32Array;
    readonly queue: Uint8Array;
    readonly team: Uint8Array;
    /** Position of the caller's entry among all entries, 0 to 255; scaled to the number of entries of a run. */
    readonly place: Uint8Array;
    /** 1 for a request that exists only because its queue floods. */
    readonly isFlood: Uint8Array;
}

/** What a recording depends on. */
export interface RecordingOptions {
    readonly seed: number;
    readonly queues: readonly QueueProfile[];
    readonly floods: readonly Flood[];
    readonly durationMs: number;
    /** Slots of the pool, to which the loads of the queues refer. */
    readonly slots: number;
    /** Factor on the loads outside floods. */
    readonly calmFactor: number;
    /** Factor on the load of a queue while it floods. */
    readonly floodFactor: number;
    /** Load of all queues together that a flood reaches at least, as a share of the slots. */
    readonly minFloodLoad: number;
}

// Callers keep connections open, so that a balancer spreads the load of a queue unevenly over the entries.
const CONNECTIONS_PER_QUEUE = 24;
const TEAMS_PER_QUEUE = 3;
const PLACES = 256;

/** Records the arrivals that a seed gives. */
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
        place: Uint8Array.from(rows, row => row.place),
        isFlood: Uint8Array.from(rows, row => Number(row.isFlood)),
    };
};

/** The same arrivals without those that exist only because of floods. */
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
        place: arrivals.place.filter(keep),
        isFlood: arrivals.isFlood.filter(keep),
    };
};

interface Row {
    readonly atMs: number;
    readonly runMs: number;
    readonly queue: number;
    readonly team: number;
    readonly place: number;
    readonly isFlood: boolean;
}

const arrivalsOfQueue = (options: RecordingOptions, profile: QueueProfile, queue: number): readonly Row[] => {
    const random = createRandom(options.seed * QUEUE_SEED_STEP + queue);
    const connections = Array.from({ length: CONNECTIONS_PER_QUEUE }, () => random.below(PLACES));
    const perMs = options.slots / meanRunMs(profile);
    const rowsOf = (from: number, to: number, load: number, isFlood: boolean): readonly Row[] =>
        poissonTimes(random, { from, to, perMs: load * perMs }).map(atMs => ({
            atMs,
            runMs: random.logNormal(profile.medianRunMs, profile.sigma),
            queue,
            team: queue * TEAMS_PER_QUEUE + (isFlood ? 0 : random.below(TEAMS_PER_QUEUE)),
            place: connections[random.below(CONNECTIONS_PER_QUEUE)] ?? 0,
            isFlood,
        }));
    const calm = rowsOf(0, options.durationMs, profile.load * options.calmFactor, false);
    const floods = options.floods
        .filter(flood => flood.queue === profile.name)
        .flatMap(flood => rowsOf(flood.fromMs, flood.toMs, floodLoad(options, profile), true));
    return [...calm, ...floods];
};

const QUEUE_SEED_STEP = 1_000;

// Load that a flood adds to the calm load of its queue.
const floodLoad = (options: RecordingOptions, profile: QueueProfile): number => {
    const calm = options.queues.reduce((sum, queue) => sum + queue.load * options.calmFactor, 0);
    const fivefold = profile.load * (options.floodFactor - options.calmFactor);
    return Math.max(fivefold, options.minFloodLoad - calm);
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
