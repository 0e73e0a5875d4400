import { build, type Histogram } from "hdr-histogram-js";
import { type Outcomes, rejectionCauses } from "./outcomes.js";
import type { PoolResult } from "./run-pool.js";

/** Results of runs of one variant, added up. */
export interface Score {
    /** Requests that do not belong to a flooding queue, and those of them answered within target. */
    others: number;
    othersWithinTarget: number;
    /** Requests of other teams in a flooding queue, and those of them answered within target. */
    neighbours: number;
    neighboursWithinTarget: number;
    /** Requests of a flooding queue, and those of them answered. */
    flooding: number;
    floodingAnswered: number;
    /** Slot time used and available while the queues flood, in milliseconds. */
    usedSlotMs: number;
    availableSlotMs: number;
    /** Latency of other work by queue in microseconds. */
    readonly latencies: Map<string, Histogram>;
    /** Urgent other requests, and those of them that started within the aim. */
    urgent: number;
    urgentInTime: number;
    /** Wait until urgent other work that started did so, in microseconds. */
    readonly urgentWait: Histogram;
    readonly othersRejected: Map<string, number>;
    readonly floodingRejected: Map<string, number>;
    refusals: number;
    messages: number;
    movedSlots: number;
    simulatedMs: number;
}

/** The part of a run that counts. */
export interface Window {
    readonly fromMs: number;
    readonly toMs: number;
    readonly floodQueues: readonly string[];
    readonly floodToMs: number;
    readonly slots: number;
}

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_US = 3_600_000_000;

const createHistogram = (): Histogram =>
    build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3 });

/** A score without runs. */
export const createScore = (): Score => ({
    others: 0,
    othersWithinTarget: 0,
    neighbours: 0,
    neighboursWithinTarget: 0,
    flooding: 0,
    floodingAnswered: 0,
    usedSlotMs: 0,
    availableSlotMs: 0,
    latencies: new Map(),
    urgent: 0,
    urgentInTime: 0,
    urgentWait: createHistogram(),
    othersRejected: new Map(),
    floodingRejected: new Map(),
    refusals: 0,
    messages: 0,
    movedSlots: 0,
    simulatedMs: 0,
});

/** Adds the requests of a run that arrived in the window. */
export const addRun = (score: Score, result: PoolResult, window: Window): void => {
    const { outcomes } = result;
    const { arrivals } = outcomes;
    arrivals.atMs.forEach((atMs, index) => {
        if (atMs >= window.fromMs && atMs < window.toMs) {
            addRequest(score, { outcomes, index, window });
        }
        addUse(score, { outcomes, index, window });
    });
    score.availableSlotMs += window.slots * (window.floodToMs - window.fromMs);
    score.refusals += outcomes.refusals;
    score.messages += result.messages;
    score.movedSlots += result.movedSlots;
    score.simulatedMs += arrivals.atMs.at(-1) ?? 0;
};

/** The value below which 99 of 100 latencies of a queue are, in milliseconds. */
export const p99Ms = (histogram: Histogram | undefined): number =>
    histogram === undefined || histogram.totalCount === 0
        ? 0
        : histogram.getValueAtPercentile(P99) / MICROSECONDS_PER_MS;

const P99 = 99;

interface RequestAt {
    readonly outcomes: Outcomes;
    readonly index: number;
    readonly window: Window;
}

const addRequest = (score: Score, { outcomes, index, window }: RequestAt): void => {
    const { arrivals } = outcomes;
    const profile = arrivals.queues[arrivals.queue[index] ?? 0];
    const isAnswered = !Number.isNaN(outcomes.answerMs[index]);
    const tookMs = (outcomes.answerMs[index] ?? NaN) - (arrivals.atMs[index] ?? 0);
    const isWithinTarget = isAnswered && tookMs - (arrivals.runMs[index] ?? 0) <= (profile?.targetMs ?? 0);
    if (profile !== undefined && window.floodQueues.includes(profile.name)) {
        const isNeighbour = arrivals.isFlood[index] === 0 && (arrivals.team[index] ?? 0) % TEAMS_PER_QUEUE > 0;
        score.flooding += 1;
        score.floodingAnswered += Number(isAnswered);
        score.neighbours += Number(isNeighbour);
        score.neighboursWithinTarget += Number(isNeighbour && isWithinTarget);
        countRejection(score.floodingRejected, outcomes.rejection[index]);
        return;
    }
    score.others += 1;
    score.othersWithinTarget += Number(isWithinTarget);
    countRejection(score.othersRejected, outcomes.rejection[index]);
    if (isAnswered && profile !== undefined) {
        histogramOf(score, profile.name).recordValue(toMicroseconds(tookMs));
    }
    if (profile?.urgency === "urgent") {
        recordUrgentWait(score, outcomes, index);
    }
};

// The first team of each queue is the one that floods.
const TEAMS_PER_QUEUE = 3;

// Aim for the time until urgent work starts at the target size.
const URGENT_START_AIM_MS = 1_400;

const recordUrgentWait = (score: Score, outcomes: Outcomes, index: number): void => {
    const waitMs = (outcomes.startMs[index] ?? NaN) - (outcomes.arrivals.atMs[index] ?? 0);
    score.urgent += 1;
    score.urgentInTime += Number(waitMs <= URGENT_START_AIM_MS);
    if (!Number.isNaN(waitMs)) {
        score.urgentWait.recordValue(toMicroseconds(waitMs));
    }
};

const toMicroseconds = (ms: number): number => Math.min(HIGHEST_US, Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)));

const histogramOf = (score: Score, queue: string): Histogram => {
    const known = score.latencies.get(queue) ?? createHistogram();
    score.latencies.set(queue, known);
    return known;
};

const countRejection = (counts: Map<string, number>, code: number | undefined): void => {
    const cause = rejectionCauses[(code ?? 0) - 1];
    if (cause !== undefined) {
        counts.set(cause, (counts.get(cause) ?? 0) + 1);
    }
};

const addUse = (score: Score, { outcomes, index, window }: RequestAt): void => {
    const from = outcomes.startMs[index] ?? NaN;
    const to = from + (outcomes.arrivals.runMs[index] ?? 0);
    const overlap = Math.min(to, window.floodToMs) - Math.max(from, window.fromMs);
    if (overlap > 0) {
        score.usedSlotMs += overlap;
    }
};
