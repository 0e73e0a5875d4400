import { build, type Histogram } from "hdr-histogram-js";
import { type Outcomes, rejectionCauses } from "./outcomes.js";
import type { PoolResult } from "./run-pool.js";

/** Aggregated results of the runs of one variant. */
export interface Score {
    /** Requests of queues that do not flood, and how many got a response within target. */
    others: number;
    othersWithinTarget: number;
    /** Requests of other teams in a flooding queue, and how many got a response within target. */
    otherTeams: number;
    otherTeamsWithinTarget: number;
    /** Requests of a flooding queue, and how many got a response. */
    flooding: number;
    floodingAnswered: number;
    /** Slot time used and available during the flood. */
    usedSlotMs: number;
    availableSlotMs: number;
    /** Latency in microseconds by queue, of queues that do not flood. */
    readonly latencies: Map<string, Histogram>;
    /** Urgent requests of queues that do not flood, and how many started within the target time. */
    urgent: number;
    urgentInTime: number;
    /** Time from arrival to start in microseconds, of the urgent requests that started. */
    readonly urgentWait: Histogram;
    readonly othersRejected: Map<string, number>;
    readonly floodingRejected: Map<string, number>;
    refusals: number;
    messages: number;
    movedSlots: number;
    simulatedMs: number;
}

/** The part of a run that is measured. */
export interface MeasurementWindow {
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

/** Creates an empty score. */
export const createScore = (): Score => ({
    others: 0,
    othersWithinTarget: 0,
    otherTeams: 0,
    otherTeamsWithinTarget: 0,
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

/** Adds a run to a score; only requests that arrived within the window count. */
export const addRun = (score: Score, result: PoolResult, window: MeasurementWindow): void => {
    const { outcomes } = result;
    const { arrivals } = outcomes;
    arrivals.atMs.forEach((atMs, index) => {
        if (atMs >= window.fromMs && atMs < window.toMs) {
            addRequest(score, { outcomes, index, window });
        }
        addSlotTime(score, { outcomes, index, window });
    });
    score.availableSlotMs += window.slots * (window.floodToMs - window.fromMs);
    score.refusals += outcomes.refusals;
    score.messages += result.messages;
    score.movedSlots += result.movedSlots;
    score.simulatedMs += arrivals.atMs.at(-1) ?? 0;
};

/** 99th percentile of a histogram in milliseconds; 0 if it is empty. */
export const p99Ms = (histogram: Histogram | undefined): number =>
    histogram === undefined || histogram.totalCount === 0
        ? 0
        : histogram.getValueAtPercentile(P99) / MICROSECONDS_PER_MS;

const P99 = 99;

interface RequestAt {
    readonly outcomes: Outcomes;
    readonly index: number;
    readonly window: MeasurementWindow;
}

const addRequest = (score: Score, { outcomes, index, window }: RequestAt): void => {
    const { arrivals } = outcomes;
    const profile = arrivals.queues[arrivals.queue[index] ?? 0];
    const hasResponse = !Number.isNaN(outcomes.responseMs[index]);
    const latencyMs = (outcomes.responseMs[index] ?? NaN) - (arrivals.atMs[index] ?? 0);
    const isWithinTarget = hasResponse && latencyMs - (arrivals.runMs[index] ?? 0) <= (profile?.targetMs ?? 0);
    if (profile !== undefined && window.floodQueues.includes(profile.name)) {
        const isOtherTeam = arrivals.isFlood[index] === 0 && (arrivals.team[index] ?? 0) % TEAMS_PER_QUEUE > 0;
        score.flooding += 1;
        score.floodingAnswered += Number(hasResponse);
        score.otherTeams += Number(isOtherTeam);
        score.otherTeamsWithinTarget += Number(isOtherTeam && isWithinTarget);
        countRejection(score.floodingRejected, outcomes.rejection[index]);
        return;
    }
    score.others += 1;
    score.othersWithinTarget += Number(isWithinTarget);
    countRejection(score.othersRejected, outcomes.rejection[index]);
    if (hasResponse && profile !== undefined) {
        histogramOf(score, profile.name).recordValue(toMicroseconds(latencyMs));
    }
    if (profile?.urgency === "urgent") {
        recordUrgentWait(score, outcomes, index);
    }
};

// Floods come from the first team of each queue. Must equal the number of teams in arrivals.ts.
const TEAMS_PER_QUEUE = 3;

// Maximum time to the start of an urgent request that is required at the target size.
const URGENT_START_TARGET_MS = 1_400;

const recordUrgentWait = (score: Score, outcomes: Outcomes, index: number): void => {
    const waitMs = (outcomes.startMs[index] ?? NaN) - (outcomes.arrivals.atMs[index] ?? 0);
    score.urgent += 1;
    score.urgentInTime += Number(waitMs <= URGENT_START_TARGET_MS);
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

const addSlotTime = (score: Score, { outcomes, index, window }: RequestAt): void => {
    const from = outcomes.startMs[index] ?? NaN;
    const to = from + (outcomes.arrivals.runMs[index] ?? 0);
    const overlap = Math.min(to, window.floodToMs) - Math.max(from, window.fromMs);
    if (overlap > 0) {
        score.usedSlotMs += overlap;
    }
};
