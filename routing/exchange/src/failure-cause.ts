import type { Cause } from "@almondusher/fleet/verdict";

/** Evidence for the cause of a failed exchange. */
export interface FailureEvidence {
    readonly error: Error;
    /** The connection could not be established. */
    readonly connectFailed: boolean;
    /** The request body of the caller failed or was closed early. */
    readonly bodyFailed: boolean;
    /** The endpoint closed its side of the connection; a reset is recognised by the code of `error` instead. */
    readonly closedByEndpoint: boolean;
    /** Bytes of a response were received. */
    readonly responseReceived: boolean;
}

const badResponseCodes = new Set([
    "UND_ERR_RES_CONTENT_LENGTH_MISMATCH",
    "UND_ERR_HEADERS_OVERFLOW",
    "UND_ERR_RES_EXCEEDED_MAX_SIZE",
]);
const badRequestCodes = new Set([
    "UND_ERR_INVALID_ARG",
    "UND_ERR_NOT_SUPPORTED",
    "UND_ERR_REQ_CONTENT_LENGTH_MISMATCH",
]);

/** Determines the cause of a failed exchange from the error of the HTTP client and the state of the connection. */
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
    if (badResponseCodes.has(code) || code.startsWith("HPE_")) {
        return "bad-answer";
    }
    // The HTTP client itself closes the connection when it rejects a response.
    const rejectedByClient = evidence.responseReceived && !evidence.closedByEndpoint && !isSystemError(code);
    return rejectedByClient ? "bad-answer" : "connection-lost";
};

const isSystemError = (code: string): boolean => /^E[A-Z]+$/.test(code);

const errorCode = (error: Error): string => {
    const code = "code" in error ? error.code : undefined;
    return typeof code === "string" ? code : "";
};
