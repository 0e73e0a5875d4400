import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { hasCode } from "@almondusher/fleet/fleet-error";
import { type ProcessId, toId } from "@almondusher/fleet/ids";
import { createCounters } from "../src/counters.js";
import { createTrafficLog, recordFailure } from "../src/traffic-log.js";
import { callOperator } from "../src/operator-client.js";
import { startOperatorServer } from "../src/operator-server.js";
import { createRevisionUseLog, recordRevisionUse } from "../src/revision-use.js";
import { trafficReportSchema, trafficRoute } from "../src/traffic-report.js";

const SECRET = "0123456789abcdef0123456789abcdef";
const TIMEOUT_MS = 2_000;

test("returns the traffic report through the operator port and reports errors by code", async context => {
    const process = toId<ProcessId>("entry-1");
    const log = createTrafficLog({ process });
    const use = createRevisionUseLog();
    recordFailure(log, { cause: "deadline", revision: 3 }, 60_000);
    recordRevisionUse(use, { process, revision: 3, sinceMs: 5 });
    const server = await startOperatorServer({
        listen: { ip: "127.0.0.1", port: 0 },
        secret: SECRET,
        counters: createCounters(),
        health: () => ({ ready: true }),
        dump: () => ({}),
        metrics: () => ({ counters: [], latencies: [], gauges: [] }),
        routes: [trafficRoute(log, use)],
    });
    context.after(() => server.close());
    const call = (path: `/${string}`, secret = SECRET) =>
        callOperator({ url: `http://127.0.0.1:${server.port}`, secret, path, timeoutMs: TIMEOUT_MS });
    const report = trafficReportSchema.parse(await call("/traffic?from=0&to=60000"));
    assert.equal(report.failures[0]?.firstAtMs, 60_000);
    assert.equal(report.uses[0]?.revision, 3);
    await assert.rejects(call("/traffic?from=yesterday"), error => hasCode(error, "bad-message"));
    await assert.rejects(call("/traffic", "wrong"), error => hasCode(error, "unauthorized"));
});

const serve = async (context: TestContext, listener: RequestListener): Promise<string> => {
    const server = createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

test("reports the URL of a port whose response stalls, and a response that is not JSON", async context => {
    const stalledUrl = await serve(context, (unusedRequest, response) => void response.write("{"));
    const otherUrl = await serve(context, (unusedRequest, response) => void response.end("<html>"));
    const call = (url: string) => callOperator({ url, secret: SECRET, path: "/dump", timeoutMs: 200 });
    await assert.rejects(call(stalledUrl), error => hasCode(error, "not-found") && error.message.includes(stalledUrl));
    await assert.rejects(call(otherUrl), error => hasCode(error, "bad-message"));
});
