import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import type { Connection } from "./connection.js";
import { acquireUnpooledConnection } from "./connection-pool.js";
import {
    failOnConnection,
    failureEvidence,
    failWithoutConnection,
    finish,
    recordByteCounts,
    receiveData,
    receiveHead,
} from "./exchange-state.js";
import { failureCause } from "./failure-cause.js";
import { detachableBody } from "./request-body.js";
import type { RunningExchange } from "./running-exchange.js";

/**
 * Runs an exchange with the Node.js HTTP client on a connection that is not reused. It sends requests that the undici
 * client of a pooled connection does not support: those with trailers and those with Expect: 100-continue, whose 100 is
 * passed on as an informational response.
 */
export const runUnpooledExchange = (running: RunningExchange): void => {
    const { connections, options } = running;
    const connection = acquireUnpooledConnection(connections, {
        address: options.address,
        limit: options.limits.connections,
    });
    if (connection?.socket === undefined) {
        queueMicrotask(() => failWithoutConnection(running));
        return;
    }
    const { socket } = connection;
    running.connection = connection;
    running.body = detachableBody(options.body as Readable);
    const onError = (error: Error): void => {
        if (running.connection === connection) {
            failOnConnection(running, connection, failureCause(failureEvidence(running, connection, error)), error);
        }
    };
    socket.on("error", onError);
    // The request is created only after the connection is established, because `bytesWritten` of the socket also counts
    // a head that still waits for the connection.
    socket.once("connect", () => {
        if (running.connection === connection) {
            recordByteCounts(running, connection);
            const outgoing = createRequest(running, socket);
            addListeners(running, connection, outgoing, onError);
            outgoing.flushHeaders();
            sendBody(running, outgoing);
        }
    });
};

const createRequest = (running: RunningExchange, socket: Socket): ClientRequest => {
    const { method, path, headers } = running.options;
    return request({
        method,
        path,
        headers: [...headers, "connection", "close"],
        maxHeaderSize: running.connections.settings.maxHeadBytes,
        createConnection: () => socket,
    });
};

const addListeners = (
    running: RunningExchange,
    connection: Connection,
    outgoing: ClientRequest,
    onError: (error: Error) => void,
): void => {
    outgoing.on("error", onError);
    outgoing.on("upgrade", () => onError(new Error("the endpoint answered with an upgrade")));
    outgoing.on("information", ({ statusCode, statusMessage, rawHeaders }) => {
        if (running.connection === connection) {
            receiveHead(running, { statusCode, statusMessage, headers: rawHeaders });
        }
    });
    outgoing.on("response", response => receiveResponse(running, connection, response, onError));
};

const receiveResponse = (
    running: RunningExchange,
    connection: Connection,
    response: IncomingMessage,
    onError: (error: Error) => void,
): void => {
    if (running.connection !== connection) {
        return;
    }
    running.resumeResponse = () => response.resume();
    response.on("error", onError);
    response.on("data", (chunk: Buffer) => {
        if (running.connection === connection && !receiveData(running, chunk)) {
            response.pause();
        }
    });
    response.on("end", () => {
        if (running.connection === connection) {
            finish(running, response.rawTrailers, "not-kept-alive");
        }
    });
    receiveHead(running, {
        statusCode: response.statusCode ?? 0,
        statusMessage: response.statusMessage ?? "",
        headers: response.rawHeaders,
    });
};

const sendBody = (running: RunningExchange, outgoing: ClientRequest): void => {
    const { body, options } = running;
    if (body === undefined) {
        return;
    }
    body.stream.on("data", () => {
        running.lastProgressAt = performance.now();
    });
    body.stream.once("end", () => {
        const trailers = options.trailers?.() ?? [];
        if (trailers.length > 0) {
            outgoing.addTrailers(toPairs(trailers));
        }
        outgoing.end();
    });
    body.stream.once("error", error => outgoing.destroy(error));
    body.stream.pipe(outgoing, { end: false });
    body.attach();
};

const toPairs = (list: readonly string[]): [string, string][] =>
    list.flatMap((name, index) => (index % 2 === 0 ? [[name, list[index + 1] ?? ""] satisfies [string, string]] : []));
