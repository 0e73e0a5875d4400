import type { ExchangeFailure, ExchangeHandler } from "@almondusher/exchange/exchange";
import { forwardHeaders } from "@almondusher/exchange/forward-headers";
import { VIA_NAME } from "./endpoint-headers.js";
import type { EntryContext } from "./entry-context.js";
import type { ActiveRequest, Attempt } from "./active-request.js";

const PROCESSING = 102;
const EARLY_HINTS = 103;
const SERVER_ERROR = 500;
// The default high-water mark of the stream is much lower and would pause the endpoint on responses of a few chunks.
const MAX_BUFFERED_BYTES = 64 * 1024;

// Headers that almondusher sets itself. Relaying the endpoint's values would duplicate the request id, or present a
// verdict of the endpoint as one of almondusher.
const reservedHeaders = ["almondusher-request-id", "almondusher-verdict"];

export interface ResponseRelayEvents {
    readonly onEnd: () => void;
    readonly onFailure: (failure: ExchangeFailure) => void;
    /** Called with an attempt that has to be cancelled because this attempt received a response first. */
    readonly onSuperseded: (attempt: Attempt) => void;
    /** Called instead of relaying a server error if the request can be retried on another VM. */
    readonly onServerError: (statusCode: number) => void;
}

/** Relays the response of one attempt to the caller; the first attempt that receives a response head wins. */
export const createResponseRelay = (
    entry: EntryContext,
    active: ActiveRequest,
    attempt: Attempt,
    events: ResponseRelayEvents,
): ExchangeHandler => {
    const { response } = active;
    return {
        onInformation: statusCode => relayInformationalResponse(active, statusCode),
        onHead: head => {
            if (head.statusCode >= SERVER_ERROR && canRetryOnOtherVm(entry, active)) {
                events.onServerError(head.statusCode);
                return;
            }
            active.phase = "answering";
            active.serverError = head.statusCode >= SERVER_ERROR;
            active.running.filter(other => other !== attempt).forEach(events.onSuperseded);
            response.sendDate = false;
            const headers = forwardHeaders({ headers: head.headers, via: VIA_NAME, drop: reservedHeaders });
            response.writeHead(head.statusCode, head.statusMessage, [
                ...headers,
                "almondusher-request-id",
                active.request.id,
            ]);
            response.on("drain", () => attempt.exchange?.resume());
        },
        onData: chunk => response.write(chunk) || response.writableLength < MAX_BUFFERED_BYTES,
        onEnd: trailers => {
            if (trailers.length > 0) {
                response.addTrailers(pairRawHeaders(trailers));
            }
            response.end();
            events.onEnd();
        },
        onFailure: events.onFailure,
    };
};

const relayInformationalResponse = (active: ActiveRequest, statusCode: number): void => {
    if (active.phase !== "sending") {
        return;
    }
    if (statusCode === PROCESSING) {
        active.response.writeProcessing();
    } else if (statusCode === EARLY_HINTS) {
        // Early hints are not relayed: they are optional, and the final response repeats the links that callers need.
        return;
    }
};

// An idempotent request may run again on another VM, so that a VM on which all requests fail only adds latency. Refusals
// by a full endpoint count as attempts here.
const canRetryOnOtherVm = (entry: EntryContext, active: ActiveRequest): boolean =>
    active.request.idempotent &&
    active.phase === "sending" &&
    active.ended.length + 1 < entry.settings.limits.maxAttempts &&
    active.pool.view.vms.length > 1 &&
    active.pool.retries.tokens >= 1 &&
    (active.body?.canReplay() ?? true);

const pairRawHeaders = (rawHeaders: readonly string[]): Record<string, string> => {
    const names = rawHeaders.filter((unusedName, index) => index % 2 === 0);
    return Object.fromEntries(names.map((name, index) => [name, rawHeaders[2 * index + 1] ?? ""]));
};
