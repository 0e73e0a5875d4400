import type { AdmissionRejectionCause } from "@almondusher/admission/admission-options";
import type { Arrivals } from "./arrivals.js";

/** Outcome of each request of a run, stored as columns in the order of the arrivals. */
export interface Outcomes {
    readonly arrivals: Arrivals;
    /** Times of the start on the endpoint and of the response at the entry; NaN for requests that never started. */
    readonly startMs: Float64Array;
    readonly responseMs: Float64Array;
    /** 0 if not rejected, otherwise the index in `rejectionCauses` plus 1. */
    readonly rejection: Uint8Array;
    arrived: number;
    /** Requests that have started, were rejected or expired. */
    decided: number;
    refusals: number;
}

/** Causes for which a request got no response. */
export const rejectionCauses = ["queue-full", "deadline", "quota", "no-capacity", "expired"] as const;

export type RejectionCause = AdmissionRejectionCause | "expired";

/** Creates empty outcomes: no request has arrived, started or been rejected. */
export const createOutcomes = (arrivals: Arrivals): Outcomes => ({
    arrivals,
    startMs: new Float64Array(arrivals.count).fill(NaN),
    responseMs: new Float64Array(arrivals.count).fill(NaN),
    rejection: new Uint8Array(arrivals.count),
    arrived: 0,
    decided: 0,
    refusals: 0,
});

/** Records that the request at this index, and so all before it, has arrived. */
export const recordArrival = (outcomes: Outcomes, index: number): void => {
    outcomes.arrived = Math.max(outcomes.arrived, index + 1);
};

/** Records when a request starts on its endpoint and when its response will reach the entry. */
export const recordStart = (
    outcomes: Outcomes,
    index: number,
    { startMs, responseMs }: { readonly startMs: number; readonly responseMs: number },
): void => {
    outcomes.startMs[index] = startMs;
    outcomes.responseMs[index] = responseMs;
    outcomes.decided += 1;
};

/** Records that a request was rejected or expired. */
export const recordRejection = (outcomes: Outcomes, index: number, cause: RejectionCause): void => {
    outcomes.decided += 1;
    outcomes.rejection[index] = rejectionCauses.indexOf(cause) + 1;
};
