/** Whether a request may have run on an endpoint. */
export type Verdict = "not-run" | "may-have-run" | "ran";

/** Why a request was rejected or failed; reported in rejections and counted by cause. */
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

export type Cause = (typeof causes)[number];

/**
 * Combines the verdicts of the attempts of a request: `ran` takes precedence over `may-have-run`, and that over
 * `not-run`.
 */
export const combineVerdicts = (verdicts: readonly Verdict[]): Verdict => {
    if (verdicts.includes("ran")) {
        return "ran";
    }
    return verdicts.includes("may-have-run") ? "may-have-run" : "not-run";
};
