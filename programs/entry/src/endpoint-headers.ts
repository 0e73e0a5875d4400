import { forwardHeaders } from "@almondusher/exchange/forward-headers";
import type { EntryContext } from "./entry-context.js";
import type { RequestFlow } from "./request-flow.js";

/** Name of this hop in Via headers. */
export const VIA_NAME = "almondusher";

// Meant for almondusher itself, or set by it.
const ownHeaders = ["expect", "almondusher-timeout-ms", "almondusher-request-id", "almondusher-verdict"];

/** Headers of the request as the endpoint gets it. */
export const requestHeaders = (entry: EntryContext, { incoming, request }: RequestFlow): string[] => [
    ...forwardHeaders({ headers: incoming.rawHeaders, via: VIA_NAME, drop: ownHeaders }),
    "almondusher-request-id",
    request.id,
];
