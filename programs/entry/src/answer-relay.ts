import type { ExchangeFailure, ExchangeHandler } from "@almondusher/exchange/exchange";
import { forwardHeaders } from "@almondusher/exchange/forward-headers";
import { VIA_NAME } from "./endpoint-headers.js";
import type { EntryContext } from "./entry-context.js";
import type { Attempt, RequestFlow } from "./request-flow.js";

const PROCESSING = 102;
const EARLY_HINTS = 103;
const SERVER_ERROR = 500;
// Pausing at the much lower limit of the stream itself would stop the endpoint for answers of a few chunks.
const MAX_BUFFERED_BYTES = 64 * 1024;

// Set by almondusher itself: an endpoint's copy would double the id or pass off its verdict as ours.
const ownHeaders = ["almondusher-request-id", "almondusher-verdict"];

export interface AnswerEvents {
    readonly onEnd: () => void;
    readonly onFailure: (failure: ExchangeFailure) => void;
    /** Another attempt answered first; this one is to be cancelled. */
    readonly onOvertaken: (attempt: Attempt) => void;
    /** The answer is a server error that another VM may not give. */
    readonly onServerError: (statusCode: number) => void;
}

/** Passes the answer of one attempt on to the caller; the first attempt with a head wins. */
export const createAnswerRelay = (
    entry: EntryContext,
    flow: RequestFlow,
    attempt: Attempt,
    events: AnswerEvents,
): ExchangeHandler => {
    const { response } = flow;
    return {
        onInformation: statusCode => passInformation(flow, statusCode),
        onHead: head => {
            if (head.statusCode >= SERVER_ERROR && canTryElsewhere(entry, flow)) {
                events.onServerError(head.statusCode);
                return;
            }
            flow.phase = "answering";
            flow.serverError = head.statusCode >= SERVER_ERROR;
            flow.running.filter(other => other !== attempt).forEach(events.onOvertaken);
            response.sendDate = false;
            const headers = forwardHeaders({ headers: head.headers, via: VIA_NAME, drop: ownHeaders });
            response.writeHead(head.statusCode, head.statusMessage, [
                ...headers,
                "almondusher-request-id",
                flow.request.id,
            ]);
            response.on("drain", () => attempt.exchange?.resume());
        },
        onData: chunk => response.write(chunk) || response.writableLength < MAX_BUFFERED_BYTES,
        onEnd: trailers => {
            if (trailers.length > 0) {
                response.addTrailers(pairs(trailers));
            }
            response.end();
            events.onEnd();
        },
        onFailure: events.onFailure,
    };
};

const passInformation = (flow: RequestFlow, statusCode: number): void => {
    if (flow.phase !== "sending") {
        return;
    }
    if (statusCode === PROCESSING) {
        flow.response.writeProcessing();
    } else if (statusCode === EARLY_HINTS) {
        // Links of early hints are optional; a caller that needs them finds them in the final answer.
        return;
    }
};

// An idempotent request may run again on another VM; a VM that fails everything then costs time only.
const canTryElsewhere = (entry: EntryContext, flow: RequestFlow): boolean =>
    flow.request.idempotent &&
    flow.phase === "sending" &&
    flow.ended.length + 1 < entry.settings.limits.maxAttempts &&
    flow.pool.view.vms.length > 1 &&
    flow.pool.retries.tokens >= 1 &&
    (flow.body?.canReplay() ?? true);

const pairs = (rawHeaders: readonly string[]): Record<string, string> => {
    const names = rawHeaders.filter((unusedName, index) => index % 2 === 0);
    return Object.fromEntries(names.map((name, index) => [name, rawHeaders[2 * index + 1] ?? ""]));
};
