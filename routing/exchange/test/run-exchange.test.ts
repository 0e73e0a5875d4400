import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { type EndpointStandIn, startEndpointStandIn } from "@almondusher/endpoint-stand-in/start-endpoint-stand-in";
import { type VmId, toId } from "@almondusher/fleet/ids";
import { closeConnectionPool, createConnectionPool, dumpConnectionPool } from "../src/connection-pool.js";
import { runRecorded } from "./record-exchange.js";

const VM = toId<VmId>("vm-1");

const startOne = async (context: TestContext): Promise<{ standIn: EndpointStandIn; address: string }> => {
    const standIn = await startEndpointStandIn({ vms: [{ vm: VM, port: 0 }] });
    context.after(() => standIn.close());
    return { standIn, address: standIn.vm(VM).address };
};

test("a request gets its response and the connection is reused", async context => {
    const { address } = await startOne(context);
    const connections = createConnectionPool();
    const first = await runRecorded(connections, { address, headers: ["almondusher-request-id", "a"] });
    const second = await runRecorded(connections, { address, headers: ["almondusher-request-id", "b"] });
    assert.equal(first.failure, undefined);
    assert.deepEqual([first.statusCode, second.statusCode, first.ends, second.ends], [200, 200, 1, 1]);
    assert.match(second.body, /"requestId":"b"/);
    assert.deepEqual([dumpConnectionPool(connections).opened, dumpConnectionPool(connections).reused], [1, 1]);
    await closeConnectionPool(connections);
});

test("a refused connection fails with verdict not-run", async context => {
    const { standIn, address } = await startOne(context);
    await standIn.vm(VM).setFaults({ down: true });
    const record = await runRecorded(createConnectionPool(), { address, method: "POST" });
    assert.deepEqual([record.failure?.verdict, record.failure?.cause], ["not-run", "connect-failed"]);
});

test("a 503 with the almondusher-verdict header fails with verdict not-run", async context => {
    const { standIn, address } = await startOne(context);
    await standIn.vm(VM).setFaults({ refuse: true });
    const record = await runRecorded(createConnectionPool(), { address, method: "POST" });
    assert.deepEqual([record.failure?.verdict, record.failure?.cause], ["not-run", "endpoint-refused"]);
    assert.deepEqual(standIn.runsByRequest(), []);
});

test("a connection that closes without a response fails with verdict may-have-run", async context => {
    const { standIn, address } = await startOne(context);
    await standIn.vm(VM).setFaults({ closeWithoutAnswer: true });
    const record = await runRecorded(createConnectionPool(), { address, method: "POST" });
    assert.deepEqual([record.failure?.verdict, record.failure?.cause], ["may-have-run", "connection-lost"]);
});
