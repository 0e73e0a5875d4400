import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import type { Faults } from "./fault-schema.js";

export interface Answer {
    readonly statusCode: number;
    readonly requestId: string;
    readonly vm: string;
    readonly echoRequestId: boolean;
    /** Body size in bytes. The JSON text with the request id is padded to this size; a longer text is sent whole. */
    readonly bytes: number;
    /** Size of the request body. */
    readonly receivedBytes: number;
}

const CHUNK_BYTES = 64 * 1024;
const UNSOLICITED_BYTES = "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nunsolicited";

/** Sends an answer subject to the given faults. */
export const sendAnswer = (response: ServerResponse, answer: Answer, faults: Faults): void => {
    const first = firstChunk(answer);
    const bytes = Math.max(answer.bytes, first.length);
    if (faults.closeWithoutAnswer) {
        response.destroy();
        return;
    }
    response.writeHead(answer.statusCode, answerHeaders(answer, bytes + faults.contentLengthError));
    if (faults.closeAfterHead) {
        response.flushHeaders();
        destroyAfterFlush(response);
    } else if (faults.cutBody) {
        response.write(first.subarray(0, Math.ceil(first.length / 2)));
        destroyAfterFlush(response);
    } else if (faults.contentLengthError > 0) {
        response.write(first);
        destroyAfterFlush(response);
    } else {
        sendBody(response, answer, first, bytes);
        sendExtraBytes(response, answer, first, faults);
    }
};

const answerHeaders = (answer: Answer, bytes: number): Record<string, string | number> => ({
    "content-type": "application/json",
    "content-length": bytes,
    ...(answer.echoRequestId && answer.requestId !== "" ? { "almondusher-request-id": answer.requestId } : {}),
});

const firstChunk = (answer: Answer): Buffer =>
    Buffer.from(
        `${JSON.stringify({ requestId: answer.requestId, vm: answer.vm, receivedBytes: answer.receivedBytes })}\n`,
    );

const destroyAfterFlush = (response: ServerResponse): void => {
    const socket = response.socket;
    socket?.write("", () => socket.destroy());
};

const sendBody = (response: ServerResponse, answer: Answer, first: Buffer, bytes: number): void => {
    if (bytes <= first.length) {
        response.end(first);
        return;
    }
    response.write(first);
    Readable.from(filler(answer.requestId, bytes - first.length)).pipe(response);
};

// The filler repeats the request id, so that a body mixed from two answers can be detected.
const filler = function* (requestId: string, bytes: number): Generator<Buffer> {
    const chunk = Buffer.alloc(CHUNK_BYTES, `${requestId}.`);
    for (let sent = 0; sent < bytes; sent += CHUNK_BYTES) {
        yield chunk.subarray(0, Math.min(CHUNK_BYTES, bytes - sent));
    }
};

const sendExtraBytes = (response: ServerResponse, answer: Answer, first: Buffer, faults: Faults): void => {
    const socket = response.socket;
    response.once("finish", () => {
        if (faults.answerTwice) {
            const head = Object.entries(answerHeaders(answer, first.length)).map(
                ([name, value]) => `${name}: ${value}`,
            );
            socket?.write(`HTTP/1.1 200 OK\r\n${head.join("\r\n")}\r\n\r\n${first.toString()}`);
        }
        if (faults.unsolicitedAfterMs !== undefined) {
            setTimeout(() => socket?.write(UNSOLICITED_BYTES), faults.unsolicitedAfterMs).unref();
        }
    });
};
