import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createConnectionPool, dumpConnectionPool } from "../src/connection-pool.js";
import type { ExchangeOptions } from "../src/exchange.js";
import { runExchange } from "../src/run-exchange.js";
import { exchangeDefaults, type ExchangeRecord, noopHandler, runRecorded } from "./record-exchange.js";
import { startRawEndpoint } from "./raw-endpoint.js";

interface ResponseCase {
    readonly name: string;
    readonly bytes: string;
    readonly close?: "fin" | "reset";
    readonly request?: Partial<ExchangeOptions>;
    /** Cause of the failure, or body of the complete response. */
    readonly expected: { readonly cause: string } | { readonly body: string };
}

const send = (socket: Socket, { bytes, close }: ResponseCase): void => {
    socket.write(bytes, () => {
        if (close === "fin") {
            socket.end();
        } else if (close === "reset") {
            socket.resetAndDestroy();
        }
    });
};

const cases: readonly ResponseCase[] = [
    {
        name: "a body shorter than its Content-Length",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        close: "fin",
        expected: { cause: "connection-lost" },
    },
    {
        name: "a chunked body without its last chunk",
        bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        close: "fin",
        expected: { cause: "connection-lost" },
    },
    {
        name: "a reset in the middle of the body",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        close: "reset",
        expected: { cause: "connection-lost" },
    },
    {
        name: "a connection that closes in the middle of the head",
        bytes: "HTTP/1.1 200 OK\r\ncontent-len",
        close: "fin",
        expected: { cause: "connection-lost" },
    },
    {
        name: "a connection that closes without a byte",
        bytes: "",
        close: "fin",
        expected: { cause: "connection-lost" },
    },
    { name: "bytes that are not HTTP", bytes: "SSH-2.0-x\r\n", expected: { cause: "bad-answer" } },
    {
        name: "Content-Length together with Transfer-Encoding",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        expected: { cause: "bad-answer" },
    },
    {
        name: "two different Content-Length headers",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        expected: { cause: "bad-answer" },
    },
    {
        name: "an upgrade that was not requested",
        bytes: "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        expected: { cause: "bad-answer" },
    },
    {
        name: "a head that exceeds the limit",
        bytes: `HTTP/1.1 200 OK\r\nx: ${"y".repeat(100_000)}\r\n\r\n`,
        expected: { cause: "bad-answer" },
    },
    {
        name: "a response with the id of another request",
        bytes: "HTTP/1.1 200 OK\r\nalmondusher-request-id: other\r\ncontent-length: 3\r\n\r\nabc",
        request: { requestId: "mine" },
        expected: { cause: "bad-answer" },
    },
    {
        name: "a complete response",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
        expected: { body: "abc" },
    },
    {
        name: "a complete chunked response",
        bytes: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        expected: { body: "abc" },
    },
    {
        name: "a body delimited by the end of the connection",
        bytes: "HTTP/1.1 200 OK\r\n\r\nabc",
        close: "fin",
        expected: { body: "abc" },
    },
    { name: "a 204", bytes: "HTTP/1.1 204 No Content\r\n\r\n", expected: { body: "" } },
    {
        name: "a 304 with Content-Length",
        bytes: "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
        expected: { body: "" },
    },
    {
        name: "a response to HEAD with Content-Length",
        bytes: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
        request: { method: "HEAD" },
        expected: { body: "" },
    },
];

cases.forEach(response => {
    test(`${response.name} ends the exchange once and with the correct verdict`, async context => {
        const endpoint = await startRawEndpoint(context, socket => send(socket, response));
        const record = await runRecorded(createConnectionPool(), { address: endpoint.address, ...response.request });
        assert.equal(record.ends, 1);
        if ("cause" in response.expected) {
            assert.deepEqual(
                [record.failure?.verdict, record.failure?.cause],
                ["may-have-run", response.expected.cause],
            );
        } else {
            assert.equal(record.failure, undefined);
            assert.equal(record.body, response.expected.body);
        }
    });
});

test("informational responses are passed on before the final response", async context => {
    const endpoint = await startRawEndpoint(context, socket =>
        socket.write(
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ),
    );
    const record = await runRecorded(createConnectionPool(), { address: endpoint.address });
    assert.deepEqual([record.information, record.statusCode, record.failure], [[102, 103], 200, undefined]);
});

test("trailers of the response are passed on", async context => {
    const endpoint = await startRawEndpoint(context, socket =>
        socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx-sum: 7\r\n\r\n"),
    );
    const record = await runRecorded(createConnectionPool(), { address: endpoint.address });
    assert.deepEqual(record.trailers, ["x-sum", "7"]);
});

const RESPONSE_HEAD = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";

test("a second response in the same segment never reaches the next request", async context => {
    const endpoint = await startRawEndpoint(context, (socket, request) => {
        const response = `${RESPONSE_HEAD}ans-${request}`;
        socket.write(request === 1 ? `${response}${RESPONSE_HEAD}wrong` : response);
    });
    const connections = createConnectionPool();
    const next = await new Promise<ExchangeRecord>(resolve => {
        runExchange(connections, {
            ...exchangeDefaults,
            address: endpoint.address,
            handler: {
                ...noopHandler,
                // Starts the next request before the rest of the segment is parsed.
                onEnd: () => void runRecorded(connections, { address: endpoint.address }).then(resolve),
            },
        });
    });
    assert.equal(next.body, "ans-2");
    assert.equal(dumpConnectionPool(connections).opened, 2);
});

test("unsolicited bytes on an idle connection close it and are counted", async context => {
    const endpoint = await startRawEndpoint(context, (socket, request) => {
        socket.write(`${RESPONSE_HEAD}ans-${request}`);
        if (request === 1) {
            setTimeout(() => socket.write(`${RESPONSE_HEAD}wrong`), 50);
        }
    });
    const connections = createConnectionPool();
    await runRecorded(connections, { address: endpoint.address });
    await delay(150);
    const second = await runRecorded(connections, { address: endpoint.address });
    assert.equal(second.body, "ans-2");
    assert.equal(dumpConnectionPool(connections).closed["unsolicited-bytes"], 1);
    assert.equal(endpoint.sockets.length, 2);
});
