import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { startEndpointStandIn } from "@almondusher/endpoint-stand-in/start-endpoint-stand-in";
import { startTcpRelay } from "@almondusher/endpoint-stand-in/tcp-relay";
import { type VmId, toId } from "@almondusher/fleet/ids";
import {
    closeConnectionPool,
    type ConnectionPool,
    createConnectionPool,
    dumpConnectionPool,
} from "../src/connection-pool.js";
import { probeEndpoint } from "../src/probe-endpoint.js";
import { runExchange } from "../src/run-exchange.js";
import { exchangeDefaults, type ExchangeRecord, noopHandler, runRecorded, startRecorded } from "./record-exchange.js";
import { startRawEndpoint } from "./raw-endpoint.js";

const VM = toId<VmId>("vm-1");

const startVm = async (context: TestContext) => {
    const standIn = await startEndpointStandIn({ vms: [{ vm: VM, port: 0 }] });
    context.after(() => standIn.close());
    return standIn.vm(VM);
};

const runTogether = (connections: ConnectionPool, address: string, count: number) =>
    Promise.all(
        Array.from({ length: count }, () => runRecorded(connections, { address, headers: ["x-work-ms", "50"] })),
    );

test("a request beyond the connection limit of its address fails with verdict not-run", async context => {
    const { address } = await startVm(context);
    const connections = createConnectionPool();
    const limits = { connections: 2 };
    const records = await Promise.all(
        [1, 2, 3].map(() => runRecorded(connections, { address, limits, headers: ["x-work-ms", "50"] })),
    );
    assert.deepEqual(
        records.map(({ failure }) => failure?.cause),
        [undefined, undefined, "no-capacity"],
    );
    assert.equal(records[2]?.failure?.verdict, "not-run");
});

test("a request that starts as another one ends reuses its connection when the limit is reached", async context => {
    const { address } = await startVm(context);
    const connections = createConnectionPool();
    const limits = { connections: 1 };
    const next = await new Promise<ExchangeRecord>((resolve, reject) => {
        runExchange(connections, {
            ...exchangeDefaults,
            address,
            limits,
            handler: {
                ...noopHandler,
                onEnd: () => void runRecorded(connections, { address, limits }).then(resolve, reject),
            },
        });
    });
    assert.equal(next.failure, undefined);
    assert.equal(dumpConnectionPool(connections).opened, 1);
});

test("the most recently used connection is reused first, so that the others reach the idle limit", async context => {
    const { address } = await startVm(context);
    const connections = createConnectionPool({ idleMs: 300 });
    await runTogether(connections, address, 3);
    for (let round = 0; round < 5; round += 1) {
        await runRecorded(connections, { address });
        await delay(100);
    }
    await delay(1_200);
    const dump = dumpConnectionPool(connections);
    assert.equal(dump.opened, 3);
    assert.equal(dump.closed["idle-limit"], 3);
});

test("a request that requires a fresh connection gets none that exceeds nonIdempotentIdleMs", async context => {
    const { address } = await startVm(context);
    const connections = createConnectionPool({ nonIdempotentIdleMs: 50 });
    await runRecorded(connections, { address });
    await runRecorded(connections, { address, fresh: true });
    assert.equal(dumpConnectionPool(connections).opened, 1);
    await delay(150);
    await runRecorded(connections, { address, fresh: true, limits: { connections: 1 } });
    assert.deepEqual([dumpConnectionPool(connections).opened, dumpConnectionPool(connections).closed.replaced], [2, 1]);
});

test("a connection beyond its age limit is not reused", async context => {
    const { address } = await startVm(context);
    const connections = createConnectionPool({ maxAgeMs: 100 });
    await runRecorded(connections, { address });
    await delay(150);
    await runRecorded(connections, { address });
    assert.deepEqual(
        [dumpConnectionPool(connections).opened, dumpConnectionPool(connections).closed["age-limit"]],
        [2, 1],
    );
});

test("a request runs on a new connection if the idle one was closed by the endpoint", async context => {
    const endpoint = await startRawEndpoint(context, socket => {
        socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", () => setTimeout(() => socket.end(), 30));
    });
    const connections = createConnectionPool();
    await runRecorded(connections, { address: endpoint.address });
    await delay(100);
    const second = await runRecorded(connections, { address: endpoint.address, method: "POST" });
    assert.equal(second.statusCode, 200);
    assert.equal(dumpConnectionPool(connections).closed["closed-by-endpoint"], 1);
});

test("closing the pool waits for the exchange in flight and rejects new ones", async context => {
    const { address } = await startVm(context);
    const connections = createConnectionPool();
    const running = startRecorded(connections, { address, headers: ["x-work-ms", "200"] });
    await delay(50);
    const closed = closeConnectionPool(connections);
    const late = await runRecorded(connections, { address });
    assert.deepEqual([late.failure?.verdict, late.failure?.cause], ["not-run", "stopping"]);
    assert.equal((await running.result).statusCode, 200);
    await closed;
    assert.equal(dumpConnectionPool(connections).addresses.length, 0);
});

test("a probe distinguishes a lost path from a dead VM, and a silent exchange keeps running", async context => {
    const vm = await startVm(context);
    const relay = await startTcpRelay({ target: vm.address });
    context.after(() => relay.close());
    const connections = createConnectionPool();
    await runRecorded(connections, { address: relay.address });
    relay.stall();
    const silent = startRecorded(connections, { address: relay.address });
    await delay(200);
    assert.equal(silent.exchange.headReceived, false);
    assert.equal((await probeEndpoint(connections, relay.address)).kind, "alive");
    await vm.setFaults({ freeze: true });
    assert.equal((await probeEndpoint(connections, relay.address, 200)).kind, "silent");
    await vm.setFaults({ down: true });
    assert.equal((await probeEndpoint(connections, vm.address)).kind, "unreachable");
    silent.exchange.cancel();
    assert.equal((await silent.result).failure?.cause, "cancelled");
});
