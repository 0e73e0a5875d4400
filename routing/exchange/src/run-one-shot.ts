import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import type { Connection } from "./connection.js";
import { acquireOneShot } from "./connection-pool.js";
import {
    failOnConnection,
    failureEvidence,
    failWithoutConnection,
    finish,
    markStart,
    receiveData,
    receiveHead,
} from "./exchange-state.js";
import { failureCause } from "./failure-cause.js";
import { detachableBody } from "./request-body.js";
import type { RunningExchange } from "./running-exchange.js";

/**
 * Runs an exchange with Node's own client on a connection that is not reused. It serves requests that the pooled client
 * cannot send: with Expect: 100-continue, whose 100 is passed on as information, and with trailers.
 */
export const runOneShot = (running: RunningExchange): void => {
    const { connections, options } = running;
    const connection = acquireOneShot(connections, { address: options.address, limit: options.limits.connections });
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
    // A request that is created before the connection is established counts its head as written.
    socket.once("connect", () => {
        if (running.connection === connection) {
            markStart(running, connection);
            const outgoing = createRequest(running, socket);
            listen(running, connection, outgoing, onError);
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

const listen = (
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
    outgoing.on("response", answer => receiveAnswer(running, connection, answer, onError));
};

const receiveAnswer = (
    running: RunningExchange,
    connection: Connection,
    answer: IncomingMessage,
    onError: (error: Error) => void,
): void => {
    if (running.connection !== connection) {
        return;
    }
    running.resumeAnswer = () => answer.resume();
    answer.on("error", onError);
    answer.on("data", (chunk: Buffer) => {
        if (running.connection === connection && !receiveData(running, chunk)) {
            answer.pause();
        }
    });
    answer.on("end", () => {
        if (running.connection === connection) {
            finish(running, answer.rawTrailers, "not-kept-alive");
        }
    });
    receiveHead(running, {
        statusCode: answer.statusCode ?? 0,
        statusMessage: answer.statusMessage ?? "",
        headers: answer.rawHeaders,
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
            outgoing.addTrailers(pairs(trailers));
        }
        outgoing.end();
    });
    body.stream.once("error", error => outgoing.destroy(error));
    body.stream.pipe(outgoing, { end: false });
    body.attach();
};

const pairs = (list: readonly string[]): [string, string][] =>
    list.flatMap((name, index) => (index % 2 === 0 ? [[name, list[index + 1] ?? ""] satisfies [string, string]] : []));
