import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough, Readable } from "node:stream";
import { test, type TestContext } from "node:test";
import { startEndpointStandIn } from "@almondusher/endpoint-stand-in/start-endpoint-stand-in";
import { type VmId, toId } from "@almondusher/fleet/ids";
import { createConnectionPool, dumpConnectionPool } from "../src/connection-pool.js";
import { runExchange } from "../src/run-exchange.js";
import { exchangeDefaults, noopHandler, runRecorded, startRecorded } from "./record-exchange.js";
import { startRawEndpoint } from "./raw-endpoint.js";

const VM = toId<VmId>("vm-1");
const expecting = { method: "POST", headers: ["host", "a", "content-length", "4", "expect", "100-continue"] };

const startVm = async (context: TestContext) => {
    const standIn = await startEndpointStandIn({ vms: [{ vm: VM, port: 0 }] });
    context.after(() => standIn.close());
    return standIn.vm(VM);
};

test("the 100 response of the endpoint reaches the caller before the body is sent", async context => {
    const vm = await startVm(context);
    const source = new PassThrough();
    const information: number[] = [];
    const body = await new Promise<string>((resolve, reject) => {
        let received = "";
        runExchange(createConnectionPool(), {
            ...exchangeDefaults,
            ...expecting,
            address: vm.address,
            body: source,
            handler: {
                ...noopHandler,
                onInformation: statusCode => {
                    information.push(statusCode);
                    source.end("body");
                },
                onData: chunk => {
                    received += chunk.toString();
                    return true;
                },
                onEnd: () => resolve(received),
                onFailure: failure => reject(new Error(failure.message)),
            },
        });
    });
    assert.deepEqual(information, [100]);
    assert.match(body, /"receivedBytes":4/);
});

test("a final response instead of 100 ends the exchange and leaves the body unread", async context => {
    const endpoint = await startRawEndpoint(context, socket =>
        socket.write("HTTP/1.1 417 Expectation Failed\r\ncontent-length: 0\r\n\r\n"),
    );
    const connections = createConnectionPool();
    const { exchange, result } = startRecorded(connections, {
        ...expecting,
        address: endpoint.address,
        body: new PassThrough(),
    });
    const record = await result;
    assert.deepEqual([record.statusCode, record.failure, record.ends], [417, undefined, 1]);
    assert.equal(exchange.bodyConsumed, false);
    assert.equal(dumpConnectionPool(connections).addresses.length, 0);
});

test("requests with Expect get the same verdicts as other requests", async context => {
    const vm = await startVm(context);
    const verdict = async (): Promise<unknown[]> => {
        const body = Readable.from([Buffer.from("body")], { objectMode: false });
        const record = await runRecorded(createConnectionPool(), { ...expecting, address: vm.address, body });
        return [record.failure?.verdict, record.failure?.cause, record.ends];
    };
    await vm.setFaults({ refuse: true });
    assert.deepEqual(await verdict(), ["not-run", "endpoint-refused", 1]);
    await vm.setFaults({ closeWithoutAnswer: true });
    assert.deepEqual(await verdict(), ["may-have-run", "connection-lost", 1]);
    await vm.setFaults({ cutBody: true });
    assert.deepEqual(await verdict(), ["may-have-run", "connection-lost", 1]);
    await vm.setFaults({ down: true });
    assert.deepEqual(await verdict(), ["not-run", "connect-failed", 1]);
});

test("trailers of the request reach the endpoint", async context => {
    const server = createServer((request, response) => {
        request.resume().once("end", () => response.end(JSON.stringify(request.trailers)));
    }).listen(0, "127.0.0.1");
    context.after(() => server.close());
    await once(server, "listening");
    const record = await runRecorded(createConnectionPool(), {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method: "POST",
        body: Readable.from([Buffer.from("body")], { objectMode: false }),
        trailers: () => ["x-sum", "7"],
    });
    assert.equal(record.body, '{"x-sum":"7"}');
});
