import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { deriveClientLimits, readProcessResources, type ClientLimits } from "@almondusher/connections/client-limits";
import { guardServer } from "@almondusher/connections/guard-server";
import { FleetError } from "@almondusher/fleet/fleet-error";
import type { RequestId } from "@almondusher/fleet/ids";
import { toId } from "@almondusher/fleet/ids";
import { count } from "@almondusher/telemetry/counters";
import { logEvent } from "@almondusher/telemetry/logger";
import { acceptRequest } from "./accept-request.js";
import type { EntryContext } from "./entry-context.js";
import { recordRejection } from "./record-outcome.js";
import { formatRejection, type Rejection } from "./rejection.js";

const KEEP_ALIVE_MS = 60_000;
const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";

/** The HTTP server for callers. */
export interface CallerServer {
    readonly port: number;
    /** Stops accepting connections and resolves once all open connections have ended. */
    close: () => Promise<void>;
}

/** Starts the server for callers; rejects with `invalid-settings` if it cannot listen. */
export const startCallerServer = async (entry: EntryContext): Promise<CallerServer> => {
    const server = createServer({
        maxHeaderSize: entry.settings.limits.maxHeaderBytes,
        keepAliveTimeout: KEEP_ALIVE_MS,
        // Rejects a request with both Content-Length and Transfer-Encoding, which allows request smuggling: two parsers
        // could disagree on where the request ends.
        insecureHTTPParser: false,
        noDelay: true,
    });
    const accept = (expectsContinue: boolean) => (incoming: IncomingMessage, response: ServerResponse) =>
        acceptRequest(entry, { incoming, response, expectsContinue });
    const guard = guardServer(server, {
        limits: callerLimits(entry),
        report: (reason, closed) => {
            count(entry.counters, { name: `connections-closed-${reason}` }, closed);
            logEvent(entry.logger, { kind: "connections-closed", reason, closed });
        },
    });
    // Uploads and long-running requests may take any time as long as they go on.
    server.on("request", guard.inTurn(accept(false)));
    server.on("checkContinue", guard.inTurn(accept(true)));
    server.on("connect", (unusedRequest, socket: Socket) => respondOnSocket(entry, socket, unsupportedMethodRejection));
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) =>
        respondOnSocket(entry, socket, malformedRequestRejection(error)),
    );
    await listen(server, entry);
    return { port: (server.address() as AddressInfo).port, close: () => closeServer(server) };
};

const callerLimits = ({ settings: { limits } }: EntryContext): ClientLimits =>
    deriveClientLimits(readProcessResources(), {
        connections: limits.maxConnections,
        heldBytes: limits.maxHeldBytes,
        requestsInWork: limits.maxRequestsInWork,
        headTimeoutMs: limits.headTimeoutMs,
        stallTimeoutMs: limits.stallTimeoutMs,
    });

const unsupportedMethodRejection: Rejection = {
    status: 501,
    cause: "upgrade",
    verdict: "not-run",
    message: "CONNECT is not served",
};

const malformedRequestRejection = (error: NodeJS.ErrnoException): Rejection =>
    error.code === HEADER_OVERFLOW
        ? {
              status: 431,
              cause: "too-large",
              verdict: "not-run",
              message: "the request headers are too long",
          }
        : {
              status: 400,
              cause: "bad-request",
              verdict: "not-run",
              message: `the request is malformed: ${error.message}`,
          };

// Without a ServerResponse, as for CONNECT and after a parse error, the rejection is written directly to the socket.
const respondOnSocket = (entry: EntryContext, socket: Socket, rejection: Rejection): void => {
    const revision = entry.tables.view.state.revision;
    recordRejection(entry, { cause: rejection.cause, verdict: rejection.verdict });
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const requestId = toId<RequestId>(`${entry.processId}.raw`);
    const { headers, body } = formatRejection(rejection, { requestId, revision, closeConnection: true });
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    socket.end([`HTTP/1.1 ${rejection.status} Rejected`, ...lines, "", body].join("\r\n"));
};

const listen = (server: Server, { settings: { listen: address } }: EntryContext): Promise<void> =>
    new Promise((resolve, reject) => {
        server.once("error", error =>
            reject(
                new FleetError("invalid-settings", {
                    message: `cannot listen for callers on ${address.ip} port ${address.port}: ${error.message}`,
                    hint: "choose an address of this VM and a free port",
                    cause: error,
                }),
            ),
        );
        server.listen(address.port, address.ip, resolve);
    });

const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
