import type { Cause } from "@almondusher/fleet/verdict";

/** What is known when an exchange fails. */
export interface FailureEvidence {
    readonly error: Error;
    /** The connection could not be established. */
    readonly connectFailed: boolean;
    /** The caller's body ended with an error. */
    readonly bodyFailed: boolean;
    /** The endpoint closed the connection. */
    readonly closedByEndpoint: boolean;
    /** Bytes of an answer were received. */
    readonly answered: boolean;
}

const badAnswerCodes = new Set([
    "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
    "UND_ERR_HEADERS_OVERFLOW",
    "UND_ERR_RES_EXCEEDED_MAX_SIZE",
]);
const badRequestCodes = new Set([
    "UND_ERR_INVALID_ARG",
    "UND_ERR_NOT_SUPPORTED",
    "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH",
]);

/** Cause of a failed exchange, from the error of the client and what was seen on the connection. */
export const failureCause = (evidence: FailureEvidence): Cause => {
    const code = errorCode(evidence.error);
    if (evidence.bodyFailed) {
        return "cancelled";
    }
    if (evidence.connectFailed) {
        return "connect-failed";
    }
    if (badRequestCodes.has(code)) {
        return "bad-request";
    }
    if (badAnswerCodes.has(code) || code.startsWith("HPE_")) {
        return "bad-answer";
    }
    // The client itself closes a connection on an answer that it does not accept.
    const rejectedByClient = evidence.answered && !evidence.closedByEndpoint && !isSystemError(code);
    return rejectedByClient ? "bad-answer" : "connection-lost";
};

const isSystemError = (code: string): boolean => /^E[A-Z]+$/.test(code);

const errorCode = (error: Error): string => {
    const code = "code" in error ? error.code : undefined;
    return typeof code === "string" ? code : "";
};
