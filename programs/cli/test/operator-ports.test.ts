import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { toId, type PoolName, type ProcessId, type RouteName, type VmId } from "@almondusher/fleet/ids";
import { createCounters } from "@almondusher/telemetry/counters";
import { createTrafficLog, recordArrival, recordFailure } from "@almondusher/telemetry/traffic-log";
import { startOperatorServer } from "@almondusher/telemetry/operator-server";
import { createRevisionUseLog, recordRevisionUse } from "@almondusher/telemetry/revision-use";
import { type StatusReport, statusRoute } from "@almondusher/telemetry/status-report";
import { trafficRoute } from "@almondusher/telemetry/traffic-report";
import { SECRET, startFixture, tables } from "./fixture.js";

const MINUTE_MS = 60_000;
const pool = toId<PoolName>("letters");
const route = toId<RouteName>("letters");
const vm = toId<VmId>("vm-2");
const process = toId<ProcessId>("entry-1");

// Starts the operator port of an entry with steady arrivals; since 3 minutes ago, 2 minutes after the process adopted
// revision 2, all its requests fail on one VM.
const startEntry = async (context: TestContext, nowMs: number) => {
    const log = createTrafficLog({ process });
    const use = createRevisionUseLog();
    recordRevisionUse(use, { process, revision: 1, sinceMs: nowMs - 20 * MINUTE_MS });
    recordRevisionUse(use, { process, revision: 2, sinceMs: nowMs - 5 * MINUTE_MS });
    Array.from({ length: 1000 }, (unusedItem, index) => nowMs - 20 * MINUTE_MS + index * 1200).forEach(atMs => {
        recordArrival(log, { route, pool }, atMs);
        if (atMs > nowMs - 3 * MINUTE_MS) {
            recordFailure(log, { cause: "connect-failed", route, pool, vm, revision: 2 }, atMs);
        }
    });
    const status: StatusReport = {
        program: "almondusher-entry",
        processId: process,
        vm: toId("entry-vm-1"),
        revision: 2,
        ready: true,
        drains: [{ vm, pool, inFlight: 3, waitingFor: ["entry-2: 1 in flight"] }],
        waves: [],
    };
    const server = await startOperatorServer({
        listen: { ip: "127.0.0.1", port: 0 },
        secret: SECRET,
        counters: createCounters(),
        health: () => ({ ready: true }),
        dump: () => ({ program: "almondusher-entry", revision: 2 }),
        metrics: () => ({ counters: [], latencies: [], gauges: [] }),
        routes: [trafficRoute(log, use), statusRoute(() => status)],
    });
    context.after(() => server.close());
    return `http://127.0.0.1:${server.port}`;
};

test("explain, status and dump read the operator ports and name the ports that do not answer", async context => {
    const { run, write, configure, standIn } = await startFixture(context);
    const url = await startEntry(context, Date.now());
    const silent = "http://127.0.0.1:1";
    configure({ operatorUrls: [url, silent] });
    const apply = (name: string, content: object) => run("apply", write(name, content), "--reason", "test", "--yes");
    await apply("first.json", tables());
    await apply("second.json", tables({ slotsPerVm: 9 }));

    const explained = JSON.parse((await run("explain", "pool", "letters", "--json")).stdout) as {
        fault: unknown;
        warnings: string[];
    };
    assert.deepEqual(explained.fault, { kind: "endpoint", vms: [vm] });
    assert.equal(explained.warnings.length, 1);
    assert.ok(explained.warnings[0]?.startsWith(silent));
    const printed = await run("explain", "vm", "vm-2", "--since", "30m");
    assert.match(printed.stdout, /at fault: endpoint vm-2/);
    assert.match(printed.stdout, /revision 2 by operator/);

    assert.deepEqual(JSON.parse((await run("dump", url)).stdout), { program: "almondusher-entry", revision: 2 });
    assert.equal((await run("dump", silent)).exitCode, 2);

    await standIn.control({ table: { down: "refuse" } });
    const status = await run("status");
    assert.equal(status.exitCode, 0);
    assert.match(status.stdout, /^revision unknown/);
    assert.match(status.stdout, /entry-1 +almondusher-entry +entry-vm-1 +2 +yes/);
    assert.match(status.stdout, /vm-2 +letters +draining +3 +entry-2: 1 in flight/);
    assert.match(status.stdout, /warning: the state could not be read/);
});
