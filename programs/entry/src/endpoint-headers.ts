import { forwardHeaders } from "@almondusher/exchange/forward-headers";
import type { EntryContext } from "./entry-context.js";
import type { ActiveRequest } from "./active-request.js";

/** Pseudonym of this proxy in Via headers. */
export const VIA_NAME = "almondusher";

// Headers that are addressed to almondusher or set by it, and therefore not forwarded from the caller.
const reservedHeaders = ["expect", "almondusher-timeout-ms", "almondusher-request-id", "almondusher-verdict"];

/** Builds the raw header list of the request to the endpoint. */
export const requestHeaders = (entry: EntryContext, { incoming, request }: ActiveRequest): string[] => [
    ...forwardHeaders({ headers: incoming.rawHeaders, via: VIA_NAME, drop: reservedHeaders }),
    "almondusher-request-id",
    request.id,
];
