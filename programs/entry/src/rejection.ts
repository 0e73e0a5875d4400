import type { ServerResponse } from "node:http";
import type { RequestId } from "@almondusher/fleet/ids";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";

/** Why a request gets no answer of an endpoint. */
export interface Rejection {
    readonly status: number;
    readonly cause: Cause;
    readonly verdict: Verdict;
    readonly message: string;
    /** Time after which a repeat has a chance, in milliseconds. */
    readonly retryAfterMs?: number;
}

export interface RejectionContext {
    readonly requestId: RequestId;
    readonly revision: number;
    /** Asks the caller to close the connection, as its request body was not read. */
    readonly closeConnection: boolean;
}

const MS_PER_SECOND = 1000;

/** Headers and body of a rejection. */
export const formatRejection = (rejection: Rejection, context: RejectionContext) => {
    const { verdict, cause, message } = rejection;
    const body = JSON.stringify({ verdict, cause, message, revision: context.revision, requestId: context.requestId });
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        "almondusher-verdict": verdict,
        "almondusher-cause": cause,
        "almondusher-revision": String(context.revision),
        "almondusher-request-id": context.requestId,
        ...(rejection.retryAfterMs === undefined
            ? {}
            : { "retry-after": String(Math.max(1, Math.ceil(rejection.retryAfterMs / MS_PER_SECOND))) }),
        ...(context.closeConnection ? { connection: "close" } : {}),
    };
    return { headers, body };
};

/** Sends a rejection; destroys the connection if an answer has already begun. */
export const sendRejection = (response: ServerResponse, rejection: Rejection, context: RejectionContext): void => {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const { headers, body } = formatRejection(rejection, context);
    response.writeHead(rejection.status, headers);
    response.end(body);
};
