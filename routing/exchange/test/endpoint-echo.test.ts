import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createConnectionPool } from "../src/connection-pool.js";
import { type EchoBehaviours, acceptResponse } from "../src/endpoint-echo.js";
import { runRecorded } from "./record-exchange.js";
import { startRawEndpoint } from "./raw-endpoint.js";

const address = "127.0.0.1:9";
const RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
const responseTo = (id: string): string => RESPONSE.replace("\r\n\r\n", `\r\nalmondusher-request-id: ${id}\r\n\r\n`);

test("a response without request id on a reused connection is rejected if the endpoint has echoed all ids", () => {
    const echoes: EchoBehaviours = new Map();
    assert.equal(acceptResponse(echoes, { address, echoed: true, reused: false }), true);
    assert.equal(acceptResponse(echoes, { address, echoed: false, reused: true }), false);
    assert.equal(acceptResponse(echoes, { address: "127.0.0.1:10", echoed: false, reused: true }), true);
});

test("the first response on a connection shows, if it has no request id, that the endpoint echoes only some ids", () => {
    const echoes: EchoBehaviours = new Map();
    acceptResponse(echoes, { address, echoed: true, reused: false });
    assert.equal(acceptResponse(echoes, { address, echoed: false, reused: false }), true);
    acceptResponse(echoes, { address, echoed: true, reused: true });
    assert.equal(acceptResponse(echoes, { address, echoed: false, reused: true }), true);
});

test("a second response that arrives during the next request fails that request as may-have-run", async context => {
    const endpoint = await startRawEndpoint(context, (socket, request) => {
        if (request === 1) {
            socket.write(responseTo("first"));
        } else {
            socket.write(RESPONSE);
        }
    });
    const connections = createConnectionPool();
    const options = { address: endpoint.address };
    assert.equal((await runRecorded(connections, { ...options, requestId: "first" })).body, "abc");
    await delay(20);
    const second = await runRecorded(connections, { ...options, requestId: "second" });
    assert.equal(second.failure?.cause, "bad-answer");
    assert.equal(second.failure.verdict, "may-have-run");
    assert.equal(endpoint.sockets.length, 1);
});

test("a refusal that names no request, on a reused connection of an endpoint that names all, is no broken answer", async context => {
    const endpoint = await startRawEndpoint(context, (socket, request) => {
        if (request === 1) {
            socket.write(responseTo("first"));
        } else {
            socket.write("HTTP/1.1 503 Full\r\nalmondusher-verdict: not-run\r\ncontent-length: 0\r\n\r\n");
        }
    });
    const connections = createConnectionPool();
    const options = { address: endpoint.address };
    await runRecorded(connections, { ...options, requestId: "first" });
    const second = await runRecorded(connections, { ...options, requestId: "second" });
    assert.equal(second.failure?.cause, "endpoint-refused");
    assert.equal(second.failure.verdict, "may-have-run", "it may be a second response to the first request");
    assert.equal(connections.byAddress.size, 0, "the connection is kept");
});
