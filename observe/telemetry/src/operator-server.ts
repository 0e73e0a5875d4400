import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { FleetError } from "@almondusher/fleet/fleet-error";
import type { ListenAddress } from "@almondusher/settings/listen-schema";
import { count, type Counters } from "./counters.js";
import type { Metrics } from "./metrics.js";
import { formatPrometheus, PROMETHEUS_CONTENT_TYPE } from "./prometheus-text.js";

/** Whether the process accepts requests, and why not. */
interface Health {
    readonly ready: boolean;
    readonly reason?: string | undefined;
}

interface OperatorRequest {
    readonly query: URLSearchParams;
    /** Parsed JSON body of a POST request, otherwise undefined. The route must validate it. */
    readonly body: unknown;
}

/** Response of an operator route; the body is sent as JSON. */
interface OperatorResponse {
    readonly status: number;
    readonly body: unknown;
}

/** A route that a program adds to its operator port. */
export interface OperatorRoute {
    readonly method: "GET" | "POST";
    readonly path: `/${string}`;
    readonly handle: (request: OperatorRequest) => Promise<OperatorResponse> | OperatorResponse;
}

export interface OperatorServerOptions {
    readonly listen: ListenAddress;
    /** Bearer token that every route except /health requires. */
    readonly secret: string;
    readonly counters: Counters;
    readonly health: () => Health;
    /** Body of GET /dump. */
    readonly dump: () => unknown;
    readonly metrics: () => Metrics;
    readonly routes?: readonly OperatorRoute[];
    /** Called with errors that are not a FleetError, and with errors of the server after the start. */
    readonly onError?: (error: unknown) => void;
}

/** HTTP server of a process's operator port, already listening. */
export interface OperatorServer {
    readonly port: number;
    /** Stops listening, waits up to 1 s for the requests in flight, then closes their connections. */
    readonly close: () => Promise<void>;
}

const MAX_HEADER_BYTES = 8 * 1024;
const MAX_BODY_BYTES = 1024 ** 2;
const MAX_CONNECTIONS = 64;
const REQUEST_TIMEOUT_MS = 10_000;
const CLOSE_GRACE_MS = 1_000;
const JSON_CONTENT_TYPE = "application/json; charset=utf-8";

interface SerializedResponse {
    readonly status: number;
    readonly contentType: string;
    readonly text: string;
}

/** Starts the operator server; the promise rejects with `invalid-settings` if it cannot listen. */
export const startOperatorServer = async (options: OperatorServerOptions): Promise<OperatorServer> => {
    const secretHash = hash(`Bearer ${options.secret}`);
    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS });
    server.maxConnections = MAX_CONNECTIONS;
    server.on("request", (request, response) => {
        void handleRequest(options, secretHash, request).then(result => send(request, response, result));
    });
    await listen(server, options);
    return { port: (server.address() as AddressInfo).port, close: () => closeServer(server) };
};

const listen = (server: Server, { listen: { ip, port }, onError }: OperatorServerOptions): Promise<void> =>
    new Promise((resolve, reject) => {
        server.once("error", error =>
            reject(
                new FleetError("invalid-settings", {
                    message: `the operator server cannot listen on ${ip} port ${port}: ${error.message}`,
                    hint: "choose an address of this VM and a free port",
                    cause: error,
                }),
            ),
        );
        server.listen(port, ip, () => {
            server.removeAllListeners("error");
            // Later errors, such as too many open files, affect only single connections.
            server.on("error", error => onError?.(error));
            resolve();
        });
    });

const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        const timer = setTimeout(() => server.closeAllConnections(), CLOSE_GRACE_MS);
        server.close(() => {
            clearTimeout(timer);
            resolve();
        });
        server.closeIdleConnections();
    });

const hash = (text: string): Buffer => createHash("sha256").update(text).digest();

const jsonResponse = (status: number, body: unknown): SerializedResponse => ({
    status,
    contentType: JSON_CONTENT_TYPE,
    text: `${JSON.stringify(body)}\n`,
});

const errorResponse = (status: number, code: string, message: string, hint: string): SerializedResponse =>
    jsonResponse(status, { code, message, hint, details: [] });

const handleRequest = async (
    options: OperatorServerOptions,
    secretHash: Buffer,
    request: IncomingMessage,
): Promise<SerializedResponse> => {
    try {
        return await authorizeAndDispatch(options, secretHash, request);
    } catch (error) {
        return responseForError(options, error);
    }
};

const responseForError = (options: OperatorServerOptions, error: unknown): SerializedResponse => {
    if (error instanceof FleetError) {
        const { code, message, hint, details } = error;
        return jsonResponse(statusOfCode(code), { code, message, hint, details });
    }
    count(options.counters, { name: "operator-errors", cause: "internal" });
    options.onError?.(error);
    return errorResponse(500, "internal", "the request failed", "see the internal-error event in the log");
};

const statusOfCode = (code: FleetError["code"]): number => {
    switch (code) {
        case "invalid-settings":
        case "invalid-table":
        case "invalid-edit":
        case "invalid-job":
        case "bad-message":
            return 400;
        case "unauthorized":
            return 401;
        case "not-found":
            return 404;
        case "edit-conflict":
        case "lease-lost":
            return 409;
        case "platform-unavailable":
        case "not-accepted":
        case "unknown-outcome":
            return 503;
    }
};

const authorizeAndDispatch = async (
    options: OperatorServerOptions,
    secretHash: Buffer,
    request: IncomingMessage,
): Promise<SerializedResponse> => {
    const url = parseTarget(request.url ?? "/");
    // The health check of a load balancer sends no secret; the reason is returned only with the secret.
    const authorized = isAuthorized(secretHash, request);
    if (url.pathname === "/health" && request.method === "GET") {
        return healthResponse(options.health(), authorized);
    }
    if (!authorized) {
        count(options.counters, { name: "operator-unauthorized" });
        throw new FleetError("unauthorized", {
            message: "the Authorization header does not carry the operator secret",
            hint: "send Authorization: Bearer with the secret of this deployment",
        });
    }
    count(options.counters, { name: "operator-requests" });
    return dispatch(options, request, url);
};

const parseTarget = (target: string): URL => {
    try {
        return new URL(target, "http://operator");
    } catch (error) {
        throw new FleetError("bad-message", {
            message: "the request target is malformed",
            hint: "send a path",
            cause: error,
        });
    }
};

// Compares hashes, which have equal length, so that the time does not depend on the length of the header.
const isAuthorized = (secretHash: Buffer, request: IncomingMessage): boolean =>
    timingSafeEqual(secretHash, hash(request.headers.authorization ?? ""));

const healthResponse = (health: Health, authorized: boolean): SerializedResponse =>
    jsonResponse(health.ready ? 200 : 503, authorized ? health : { ready: health.ready });

const dispatch = async (
    options: OperatorServerOptions,
    request: IncomingMessage,
    url: URL,
): Promise<SerializedResponse> => {
    const standard = request.method === "GET" ? builtInRouteResponse(options, url.pathname) : undefined;
    if (standard !== undefined) {
        return standard;
    }
    const found = options.routes?.find(item => item.path === url.pathname && item.method === request.method);
    if (found === undefined) {
        throw new FleetError("not-found", {
            message: `${request.method ?? ""} ${url.pathname} is not an operator route`,
            hint: `use one of ${listPaths(options).join(", ")}`,
        });
    }
    const body = found.method === "POST" ? await readBody(request) : undefined;
    const result = await found.handle({ query: url.searchParams, body });
    return jsonResponse(result.status, result.body ?? {});
};

const builtInRouteResponse = (options: OperatorServerOptions, path: string): SerializedResponse | undefined => {
    switch (path) {
        case "/dump":
            return jsonResponse(200, options.dump());
        case "/metrics":
            return jsonResponse(200, options.metrics());
        case "/metrics.txt":
            return { status: 200, contentType: PROMETHEUS_CONTENT_TYPE, text: formatPrometheus(options.metrics()) };
        default:
            return undefined;
    }
};

const listPaths = (options: OperatorServerOptions): readonly string[] => [
    "GET /health",
    "GET /dump",
    "GET /metrics",
    "GET /metrics.txt",
    ...(options.routes ?? []).map(item => `${item.method} ${item.path}`),
];

const readBody = async (request: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > MAX_BODY_BYTES) {
            throw new FleetError("bad-message", {
                message: `the body exceeds ${MAX_BODY_BYTES} bytes`,
                hint: "send a smaller body",
            });
        }
        chunks.push(chunk);
    }
    return parseBody(Buffer.concat(chunks).toString("utf8"));
};

const parseBody = (text: string): unknown => {
    try {
        return text === "" ? undefined : JSON.parse(text);
    } catch (error) {
        throw new FleetError("bad-message", {
            message: `the body is not JSON: ${error instanceof Error ? error.message : String(error)}`,
            hint: "correct the syntax",
            cause: error,
        });
    }
};

const send = (
    request: IncomingMessage,
    response: ServerResponse,
    { status, contentType, text }: SerializedResponse,
): void => {
    response.writeHead(status, {
        "content-type": contentType,
        "content-length": Buffer.byteLength(text),
        "cache-control": "no-store",
        // The rest of a body that was not read to its end would be parsed as the next request on the connection.
        ...(request.complete ? {} : { connection: "close" }),
        ...(status === 401 ? { "www-authenticate": "Bearer" } : {}),
    });
    response.end(text);
};
