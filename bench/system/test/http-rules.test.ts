import assert from "node:assert/strict";
import { createHash, randomBytes } from "node:crypto";
import { request } from "node:http";
import { after, before, test } from "node:test";
import { callEntry, requireResponse } from "../src/call-entry.js";
import type { DeployedEntry, Deployment } from "../src/deployment.js";
import { type EchoEndpoint, startEchoEndpoint } from "../src/echo-endpoint.js";
import { startFailureFleet } from "../src/failure-fleet.js";
import { sendRaw } from "../src/raw-caller.js";

const BODY_LIMIT_BYTES = 12 * 1024 * 1024;
const LARGE_BODY_BYTES = 10 * 1024 * 1024;

let deployment: Deployment;
let echo: EchoEndpoint;
let entry: DeployedEntry;

before(async () => {
    echo = await startEchoEndpoint();
    deployment = await startFailureFleet({
        services: ["echo"],
        vmsPerService: 1,
        entries: 1,
        addresses: [{ vm: "echo-1", address: echo.address }],
        routeKeys: { maxBodyBytes: BODY_LIMIT_BYTES },
    });
    [entry] = deployment.entries as [DeployedEntry];
});
after(async () => {
    await (deployment as Deployment | undefined)?.stop();
    await echo.close();
});

const raw = (text: string): Promise<string> => sendRaw(entry.callerUrl, text);
const statusOf = (text: string): string => text.split(" ", 2)[1] ?? text;

test("responses to HEAD and with status 204 or 304 have no body, and the connection stays usable", async () => {
    const head = requireResponse(await callEntry(entry, { method: "HEAD", path: "/echo" }));
    assert.deepEqual([head.status, head.headers["content-length"], head.body.length], [200, "11", 0]);
    const text = await raw(
        [204, 304, 200].map(status => `GET /echo HTTP/1.1\r\nhost: a\r\nx-answer-status: ${status}\r\n\r\n`).join(""),
    );
    assert.deepEqual(
        [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]),
        ["204", "304", "200"],
    );
});

test("a request with Expect: 100-continue gets 100 Continue before its body is sent", async () => {
    const body = await new Promise<string>((resolve, reject) => {
        const outgoing = request(`${entry.callerUrl}/echo`, {
            method: "PUT",
            headers: { expect: "100-continue", "content-length": 5 },
            agent: false,
        });
        outgoing.on("continue", () => outgoing.end("after"));
        outgoing.on("response", incoming => {
            incoming.toArray().then(chunks => resolve(Buffer.concat(chunks as Buffer[]).toString()), reject);
        });
        outgoing.on("error", reject);
        outgoing.flushHeaders();
    });
    assert.equal(body, "after");
});

test("chunked bodies and response trailers are forwarded, and hop-by-hop headers are not", async () => {
    const text = await raw(
        "POST /echo HTTP/1.1\r\nhost: a\r\nconnection: x-secret-hop\r\nx-secret-hop: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n",
    );
    assert.equal(statusOf(text), "200");
    assert.match(text.replace(/\r\n[0-9a-f]+\r\n/g, ""), /abcdefgh/);
    assert.match(text, /x-echo-trailer: none/);
    assert.doesNotMatch(text, /x-secret-hop/);
});

test("the response has one request id, and an endpoint's verdict on a served request is removed", async () => {
    const response = requireResponse(await callEntry(entry, { method: "PUT", path: "/echo", body: "a" }));
    assert.match(response.requestId ?? "", /^[^,]+$/);
    assert.equal(response.verdict, undefined);
});

test("a body of 10 MB passes unchanged to the endpoint and back to the caller", async () => {
    const sent = randomBytes(LARGE_BODY_BYTES);
    const response = requireResponse(await callEntry(entry, { method: "PUT", path: "/echo", body: sent }));
    const hash = (bytes: Buffer): string => createHash("sha256").update(bytes).digest("hex");
    assert.equal(response.body.length, LARGE_BODY_BYTES);
    assert.equal(hash(response.body), hash(sent));
});

test("ambiguous, oversized and unsupported requests get the status codes that HTTP specifies", async () => {
    const long = "x".repeat(40_000);
    const head = "HTTP/1.1\r\nhost: a\r\n";
    const rows: readonly (readonly [string, string])[] = [
        ["400", `POST /echo ${head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`],
        ["400", `POST /echo ${head}idempotency-key: a\r\nidempotency-key: b\r\ncontent-length: 0\r\n\r\n`],
        ["400", `GET /echo ${head}bad header\r\n\r\n`],
        ["404", `GET /nothing ${head}\r\n`],
        ["413", `POST /echo ${head}content-length: ${BODY_LIMIT_BYTES + 1}\r\n\r\n`],
        ["431", `GET /echo ${head}x-long: ${long}\r\n\r\n`],
        ["501", `GET /echo ${head}connection: upgrade\r\nupgrade: websocket\r\n\r\n`],
        ["501", `CONNECT a:80 ${head}\r\n`],
    ];
    const responses = await Promise.all(rows.map(([, text]) => raw(text)));
    assert.deepEqual(
        responses.map(statusOf),
        rows.map(([status]) => status),
    );
    responses.forEach(text => assert.match(text, /almondusher-verdict: not-run/));
});

test("a chunked body above the route's limit is rejected with 413 or its connection is closed", async () => {
    const chunk = `${(1024 * 1024).toString(16)}\r\n${"x".repeat(1024 * 1024)}\r\n`;
    const text = await raw(
        `POST /echo HTTP/1.1\r\nhost: a\r\nx-answer-status: 200\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(13)}0\r\n\r\n`,
    ).catch((error: unknown) => String(error));
    // If the endpoint has already sent its response head, the entry can only close the connection.
    assert.ok(statusOf(text) === "413" || !text.endsWith("0\r\n\r\n"));
});

test("operator paths are not served on the caller port, and the operator port requires the secret", async () => {
    const paths = ["/dump", "/metrics", "/status", "/traffic"];
    const onCallerPort = await Promise.all(paths.map(path => callEntry(entry, { path })));
    assert.deepEqual(
        onCallerPort.map(result => requireResponse(result).status),
        paths.map(() => 404),
    );
    const operatorPort = { callerUrl: entry.operatorUrl };
    const withWrongSecret = await Promise.all(
        paths.map(path => callEntry(operatorPort, { path, headers: { authorization: "Bearer wrong" } })),
    );
    assert.deepEqual(
        withWrongSecret.map(result => requireResponse(result).status),
        paths.map(() => 401),
    );
});
