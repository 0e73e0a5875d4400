import type { AdmissionCause } from "@almondusher/admission/admission-options";
import type { Arrivals } from "./arrivals.js";

/** How each request of a run ended, as columns in the order of the arrivals. */
export interface Outcomes {
    readonly arrivals: Arrivals;
    /** NaN for requests that never started. */
    readonly startMs: Float64Array;
    readonly answerMs: Float64Array;
    /** 0 for none, otherwise position in `rejectionCauses` plus one. */
    readonly rejection: Uint8Array;
    arrived: number;
    /** Requests that started or were refused. */
    decided: number;
    refusals: number;
}

/** Why a request got no answer. */
export const rejectionCauses = ["queue-full", "deadline", "quota", "no-capacity", "expired"] as const;

/** One of the causes. */
export type RejectionCause = AdmissionCause | "expired";

/** Outcomes of a run that has not started. */
export const createOutcomes = (arrivals: Arrivals): Outcomes => ({
    arrivals,
    startMs: new Float64Array(arrivals.count).fill(NaN),
    answerMs: new Float64Array(arrivals.count).fill(NaN),
    rejection: new Uint8Array(arrivals.count),
    arrived: 0,
    decided: 0,
    refusals: 0,
});

/** Counts an arrival. */
export const recordArrival = (outcomes: Outcomes, index: number): void => {
    outcomes.arrived = Math.max(outcomes.arrived, index + 1);
};

/** Notes when a request starts on its endpoint and when its answer will reach the entry. */
export const recordStart = (
    outcomes: Outcomes,
    index: number,
    { startMs, answerMs }: { readonly startMs: number; readonly answerMs: number },
): void => {
    outcomes.startMs[index] = startMs;
    outcomes.answerMs[index] = answerMs;
    outcomes.decided += 1;
};

/** Notes that a request was refused or expired. */
export const recordRejection = (outcomes: Outcomes, index: number, cause: RejectionCause): void => {
    outcomes.decided += 1;
    outcomes.rejection[index] = rejectionCauses.indexOf(cause) + 1;
};
