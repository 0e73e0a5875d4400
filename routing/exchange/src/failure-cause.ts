import type { Cause } from "@almondusher/fleet/verdict";

/** What is known when an exchange fails. */
export interface FailureEvidence {
    readonly error: Error;
    /** The connection could not be established. */
    readonly connectFailed: boolean;
    /** Bytes of the request were handed to the socket. */
    readonly bytesSent: number;
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

/** Cause of a failed exchange, from the error of the client and what was sent. */
export const failureCause = (evidence: FailureEvidence): Cause => {
    const code = errorCode(evidence.error);
    if (evidence.connectFailed) {
        return "connect-failed";
    }
    if (badRequestCodes.has(code)) {
        return "bad-request";
    }
    if (badAnswerCodes.has(code) || code.startsWith("HPE_") || evidence.error.name === "HTTPParserError") {
        return "bad-answer";
    }
    return "connection-lost";
};

const errorCode = (error: Error): string => {
    const code = "code" in error ? error.code : undefined;
    return typeof code === "string" ? code : "";
};
