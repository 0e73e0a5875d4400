import assert from "node:assert/strict";
import { PassThrough, Readable } from "node:stream";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { startEndpointStandIn } from "@almondusher/endpoint-stand-in/start-endpoint-stand-in";
import { type VmId, toId } from "@almondusher/fleet/ids";
import { createConnectionPool, dumpConnectionPool } from "../src/connection-pool.js";
import { runExchange } from "../src/run-exchange.js";
import { exchangeDefaults, noopHandler, runRecorded, startRecorded } from "./record-exchange.js";
import { startRawEndpoint } from "./raw-endpoint.js";

const VM = toId<VmId>("vm-1");
const MEGABYTE = 1024 * 1024;
// Upper limit of the kernel buffers on both sides of a loopback connection and the stream buffers.
const BUFFERED_BYTES = 16 * MEGABYTE;

const startStandIn = async (context: TestContext) => {
    const standIn = await startEndpointStandIn({ vms: [{ vm: VM, port: 0 }] });
    context.after(() => standIn.close());
    return standIn;
};

test("a streamed body arrives completely and once", async context => {
    const standIn = await startStandIn(context);
    const chunks = Array.from({ length: 64 }, () => Buffer.alloc(64 * 1024, "b"));
    const record = await runRecorded(createConnectionPool(), {
        address: standIn.vm(VM).address,
        method: "PUT",
        body: Readable.from(chunks, { objectMode: false }),
    });
    assert.equal((JSON.parse(record.body) as { receivedBytes: number }).receivedBytes, 4 * MEGABYTE);
});

test("a paused response is not read further and is complete after it resumes", async context => {
    const standIn = await startStandIn(context);
    const bytes = 64 * MEGABYTE;
    let received = 0;
    let pausing = true;
    await new Promise<void>((resolve, reject) => {
        const exchange = runExchange(createConnectionPool(), {
            ...exchangeDefaults,
            address: standIn.vm(VM).address,
            headers: ["x-answer-bytes", String(bytes), "almondusher-request-id", "r"],
            handler: {
                ...noopHandler,
                onData: chunk => {
                    received += chunk.length;
                    if (pausing) {
                        pausing = false;
                        setTimeout(() => {
                            assert.ok(received < BUFFERED_BYTES, `${received} bytes were read while paused`);
                            assert.ok(exchange.waitsForCaller);
                            exchange.resume();
                        }, 200);
                        return false;
                    }
                    return true;
                },
                onEnd: () => resolve(),
                onFailure: failure => reject(new Error(failure.message)),
            },
        });
    });
    assert.equal(received, bytes);
});

test("a body is read from its source no faster than the endpoint reads it", async context => {
    const endpoint = await startRawEndpoint(context, socket => socket.pause());
    let produced = 0;
    const source = new Readable({
        read() {
            produced += 64 * 1024;
            this.push(Buffer.alloc(64 * 1024));
        },
    });
    const { exchange, result } = startRecorded(createConnectionPool(), {
        address: endpoint.address,
        method: "POST",
        body: source,
    });
    await delay(300);
    assert.ok(produced < BUFFERED_BYTES, `${produced} bytes were read from the source`);
    assert.ok(!exchange.waitsForCaller);
    exchange.cancel();
    const record = await result;
    assert.deepEqual([record.failure?.verdict, record.failure?.cause, record.ends], ["may-have-run", "cancelled", 1]);
    source.destroy();
});

test("a failing request body ends the exchange with cause cancelled and verdict may-have-run", async context => {
    const standIn = await startStandIn(context);
    const source = new PassThrough();
    source.write("part");
    setTimeout(() => source.destroy(new Error("the caller left")), 50);
    source.on("error", () => undefined);
    const record = await runRecorded(createConnectionPool(), {
        address: standIn.vm(VM).address,
        method: "POST",
        body: source,
    });
    assert.deepEqual([record.failure?.verdict, record.failure?.cause, record.ends], ["may-have-run", "cancelled", 1]);
});

test("a body stream stays unread and can be sent again when the connection is refused", async context => {
    const standIn = await startStandIn(context);
    const { address } = standIn.vm(VM);
    await standIn.vm(VM).setFaults({ down: true });
    const source = Readable.from([Buffer.from("body")], { objectMode: false });
    const connections = createConnectionPool();
    const first = startRecorded(connections, { address, method: "POST", body: source });
    assert.equal((await first.result).failure?.verdict, "not-run");
    assert.equal(first.exchange.bodyConsumed, false);
    await standIn.vm(VM).setFaults({});
    const second = await runRecorded(connections, { address, method: "POST", body: source });
    assert.match(second.body, /"receivedBytes":4/);
});

test("a response before the end of the request body is complete and does not destroy the source", async context => {
    const endpoint = await startRawEndpoint(context, socket =>
        socket.write("HTTP/1.1 413 Content Too Large\r\ncontent-length: 3\r\n\r\nabc"),
    );
    const source = new PassThrough();
    source.write("part");
    const record = await runRecorded(createConnectionPool(), {
        address: endpoint.address,
        method: "POST",
        body: source,
    });
    assert.deepEqual([record.statusCode, record.body, record.failure], [413, "abc", undefined]);
    assert.equal(source.destroyed, false);
});

test("a response before any byte of the request was sent is rejected", async context => {
    const endpoint = await startRawEndpoint(context, () => undefined);
    const source = new PassThrough();
    const { result } = startRecorded(createConnectionPool(), {
        address: endpoint.address,
        method: "POST",
        body: source,
    });
    await delay(100);
    endpoint.sockets.forEach(socket => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"));
    const record = await result;
    assert.deepEqual([record.failure?.verdict, record.failure?.cause, record.ends], ["not-run", "bad-answer", 1]);
});

test("cancelling an exchange closes its connection, while connecting and while waiting", async context => {
    const standIn = await startStandIn(context);
    const { address } = standIn.vm(VM);
    const connections = createConnectionPool();
    const connecting = startRecorded(connections, { address });
    connecting.exchange.cancel();
    assert.deepEqual(
        [(await connecting.result).failure?.verdict, (await connecting.result).failure?.cause],
        ["not-run", "cancelled"],
    );
    const waiting = startRecorded(connections, { address, headers: ["x-work-ms", "5000"] });
    await delay(100);
    waiting.exchange.cancel();
    assert.equal((await waiting.result).failure?.verdict, "may-have-run");
    await delay(100);
    assert.deepEqual([standIn.vm(VM).counts().connections, standIn.vm(VM).counts().slotsInUse], [0, 0]);
    assert.equal(dumpConnectionPool(connections).addresses.length, 0);
});
