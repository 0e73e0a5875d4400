import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createConnections } from "../src/connection-pool.js";
import { type EndpointEchoes, judgeAnswer } from "../src/endpoint-echo.js";
import { runRecorded } from "./exchange-run.js";
import { startRawEndpoint } from "./raw-endpoint.js";

const address = "127.0.0.1:9";
const ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
const answerTo = (id: string): string => ANSWER.replace("\r\n\r\n", `\r\nalmondusher-request-id: ${id}\r\n\r\n`);

test("an answer without a name on a reused connection is another request's if the endpoint names all others", () => {
    const echoes: EndpointEchoes = new Map();
    assert.equal(judgeAnswer(echoes, { address, named: true, reused: false }), true);
    assert.equal(judgeAnswer(echoes, { address, named: false, reused: true }), false);
    assert.equal(judgeAnswer(echoes, { address: "127.0.0.1:10", named: false, reused: true }), true);
});

test("an endpoint that names some requests only is told by a connection's first answer, and then keeps serving", () => {
    const echoes: EndpointEchoes = new Map();
    judgeAnswer(echoes, { address, named: true, reused: false });
    assert.equal(judgeAnswer(echoes, { address, named: false, reused: false }), true);
    judgeAnswer(echoes, { address, named: true, reused: true });
    assert.equal(judgeAnswer(echoes, { address, named: false, reused: true }), true);
});

test("a second answer that arrives while the next request waits fails that request as may-have-run", async context => {
    const endpoint = await startRawEndpoint(context, (socket, request) => {
        if (request === 1) {
            socket.write(answerTo("first"));
        } else {
            socket.write(ANSWER);
        }
    });
    const connections = createConnections();
    const options = { address: endpoint.address };
    assert.equal((await runRecorded(connections, { ...options, requestId: "first" })).body, "abc");
    await delay(20);
    const second = await runRecorded(connections, { ...options, requestId: "second" });
    assert.equal(second.failure?.cause, "bad-answer");
    assert.equal(second.failure.verdict, "may-have-run");
    assert.equal(endpoint.sockets.length, 1);
});
