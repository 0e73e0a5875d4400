/** Whether a request may have run on an endpoint. */
export type Verdict = "not-run" | "may-have-run" | "ran";

/** Why a request was refused or failed; counters and refusals carry it. */
export const causes = [
    "no-route",
    "bad-request",
    "too-large",
    "not-ready",
    "queue-full",
    "deadline",
    "quota",
    "no-capacity",
    "no-vm",
    "claim-held",
    "claim-ran",
    "claim-mismatch",
    "platform-unavailable",
    "connect-failed",
    "connection-lost",
    "bad-answer",
    "endpoint-refused",
    "retry-budget",
    "cancelled",
    "stopping",
    "upgrade",
    "internal",
] as const;

/** One of the documented causes. */
export type Cause = (typeof causes)[number];

/** The verdict on a request whose attempts ended with the given verdicts: the one that claims the most. */
export const combineVerdicts = (verdicts: readonly Verdict[]): Verdict => {
    if (verdicts.includes("ran")) {
        return "ran";
    }
    return verdicts.includes("may-have-run") ? "may-have-run" : "not-run";
};
