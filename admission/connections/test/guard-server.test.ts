import assert from "node:assert/strict";
import { createServer } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { once } from "node:events";
import test, { type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { ClientLimits } from "@almondusher/connections/client-limits";
import { deriveClientLimits } from "@almondusher/connections/client-limits";
import { guardServer } from "@almondusher/connections/guard-server";

const LIMITS: ClientLimits = {
    connections: 3,
    heldBytes: 40_000,
    requestsInWork: 2,
    headTimeoutMs: 1000,
    stallTimeoutMs: 1000,
};
const MAX_BODY_BYTES = 20_000;

const startGuarded = async (context: TestContext, limits: Partial<ClientLimits> = {}) => {
    const server = createServer();
    const reasons: string[] = [];
    let inWork = 0;
    let mostInWork = 0;
    const guard = guardServer(server, {
        limits: { ...LIMITS, ...limits },
        report: (reason, closed) => reasons.push(`${reason} ${closed}`),
    });
    server.on(
        "request",
        guard.inTurn((request, response) => {
            inWork += 1;
            mostInWork = Math.max(mostInWork, inWork);
            void guard.receiveBody(request, MAX_BODY_BYTES).then(async body => {
                await sleep(5);
                inWork -= 1;
                response.statusCode = body.kind === "whole" ? 200 : 413;
                response.end(`${request.url ?? ""} ${body.kind === "whole" ? body.text.length : body.kind}`);
            });
        }),
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    const open = async (text: string): Promise<{ readonly socket: Socket; readonly received: () => string }> => {
        const socket = connect(port, "127.0.0.1");
        const parts: Buffer[] = [];
        socket.on("data", part => parts.push(part));
        socket.on("error", () => undefined);
        context.after(() => socket.destroy());
        await once(socket, "connect");
        socket.write(text);
        return { socket, received: () => Buffer.concat(parts).toString() };
    };
    return { open, reasons, mostInWork: () => mostInWork };
};

const until = async (what: string, check: () => boolean): Promise<void> => {
    const endMs = performance.now() + 10_000;
    while (!check()) {
        assert.ok(performance.now() < endMs, `timed out waiting for ${what}`);
        await sleep(10);
    }
};

const head = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

test("requests sent ahead are all answered in order, a few at a time", async context => {
    const { open, mostInWork } = await startGuarded(context, { heldBytes: 1_000_000 });
    const paths = Array.from({ length: 30 }, (unused, index) => `/${index}`);
    const { received } = await open(paths.map(path => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""));
    await until("all answers", () => received().includes("/29 0"));
    assert.deepEqual(
        [...received().matchAll(/(\/\d+) 0/g)].map(([, path]) => path),
        paths,
    );
    assert.equal(mostInWork(), 2);
});

test("a body in many tiny chunks is received whole, and one over its limit is refused", async context => {
    const { open } = await startGuarded(context);
    const small = await open(`${head}${chunk(1).repeat(5000)}0\r\n\r\n`);
    await until("the answer", () => small.received().includes("/a 5000"));
    const large = await open(`${head}${chunk(10_000).repeat(3)}0\r\n\r\n`);
    await until("the refusal", () => large.received().includes("413"));
});

test("over the sum of held bytes the connection that holds most and has stopped is closed", async context => {
    const { open, reasons } = await startGuarded(context);
    const large = await open(head + chunk(15_000));
    const small = await open(head + chunk(100));
    await sleep(100);
    const next = await open(head + chunk(15_000));
    await until("the end of the largest", () => large.socket.closed);
    await until("the report", () => reasons.includes("too-much-held 1"));
    assert.ok(!small.socket.closed && !next.socket.closed);
    small.socket.write("0\r\n\r\n");
    await until("the answer", () => small.received().includes("/a 100"));
});

test("over the number of connections an idle one that was never used is closed first", async context => {
    const { open, reasons } = await startGuarded(context, { heldBytes: 1_000_000, stallTimeoutMs: 60_000 });
    const used = await open("GET /b HTTP/1.1\r\nhost: a\r\n\r\n");
    await until("the answer", () => used.received().includes("/b 0"));
    const busy = await open(head);
    const silent = await open("");
    const next = await open("GET /c HTTP/1.1\r\nhost: a\r\n\r\n");
    await until("the answer", () => next.received().includes("/c 0"));
    await until("the end of the silent one", () => silent.socket.closed);
    assert.ok(!used.socket.closed && !busy.socket.closed);
    await until("the report", () => reasons.includes("too-many-connections 1"));
});

test("a head and a body that stop are ended, an idle connection is not", async context => {
    const { open, reasons } = await startGuarded(context);
    const idle = await open("GET /b HTTP/1.1\r\nhost: a\r\n\r\n");
    const slowHead = await open("GET /c HTTP/1.1\r\nhost: a\r\n");
    const slowBody = await open(head + chunk(10));
    await until("the end of the head", () => slowHead.socket.closed);
    await until("the end of the body", () => slowBody.socket.closed);
    assert.match(slowHead.received(), /^HTTP\/1\.1 408 /);
    assert.equal(slowBody.received(), "");
    assert.ok(!idle.socket.closed);
    await until("the reports", () => reasons.includes("slow-head 1") && reasons.includes("stalled-body 1"));
});

test("limits follow from memory and descriptors and leave room for both", () => {
    const limits = deriveClientLimits({ memoryBytes: 250_000_000, heapBytes: 200_000_000, descriptors: 4100 });
    assert.equal(limits.connections, Math.floor(200_000_000 / 4 / 16_384));
    assert.equal(limits.heldBytes, 25_000_000);
    const few = deriveClientLimits(
        { memoryBytes: 250_000_000, heapBytes: 200_000_000, descriptors: 1000 },
        { heldBytes: 7 },
    );
    assert.deepEqual([few.connections, few.heldBytes], [750, 7]);
});

// Past the first block, whose parts all wait until the reader has been attached.
const PAUSE_AT_BYTES = 15_000;

void test("a reader that pauses leaves few chunks of one byte in the stream, and gets the rest when it goes on", async context => {
    const server = createServer();
    const guard = guardServer(server, { limits: { ...LIMITS, heldBytes: 1_000_000 }, report: () => undefined });
    let receivedBytes = 0;
    let leftBytes: number | undefined;
    server.on(
        "request",
        guard.inTurn((request, response) => {
            request.on("data", (part: Buffer) => {
                receivedBytes += part.length;
                if (leftBytes === undefined && receivedBytes === PAUSE_AT_BYTES) {
                    leftBytes = 0;
                    request.pause();
                    setTimeout(() => {
                        leftBytes = request.readableLength;
                        request.resume();
                    }, 100);
                }
            });
            request.once("end", () => response.end());
        }),
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    context.after(() => {
        socket.destroy();
        server.closeAllConnections();
        server.close();
    });
    const chunks = 20_000;
    socket.write(`${head}${"1\r\nx\r\n".repeat(chunks)}0\r\n\r\n`);
    await until("the body", () => receivedBytes === chunks);
    assert.ok(leftBytes !== undefined && leftBytes < 200, `${leftBytes} chunks`);
});
