import type { ServerResponse } from "node:http";
import type { RequestId } from "@almondusher/fleet/ids";
import type { Cause, Verdict } from "@almondusher/fleet/verdict";

/** Response of almondusher itself to a request that gets no endpoint response. */
export interface Rejection {
    readonly status: number;
    readonly cause: Cause;
    readonly verdict: Verdict;
    readonly message: string;
    /** Time after which a retry by the caller may succeed, in milliseconds. */
    readonly retryAfterMs?: number;
}

export interface RejectionContext {
    readonly requestId: RequestId;
    readonly revision: number;
    /** Sends `connection: close`, because the request body has not been read completely. */
    readonly closeConnection: boolean;
}

const MS_PER_SECOND = 1000;

/** Formats the headers and the JSON body of a rejection. */
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

/** Sends a rejection, or destroys the connection if response headers have already been sent. */
export const sendRejection = (response: ServerResponse, rejection: Rejection, context: RejectionContext): void => {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const { headers, body } = formatRejection(rejection, context);
    response.writeHead(rejection.status, headers);
    response.end(body);
};
