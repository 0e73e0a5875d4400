import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import { count, createCounters, listCounters } from "../src/counters.js";
import { createLatencies, recordLatency, summarizeLatencies } from "../src/latencies.js";
import { startOperatorServer } from "../src/operator-server.js";

const SECRET = "0123456789abcdef0123456789abcdef";

const start = async (context: TestContext) => {
    const counters = createCounters();
    const latencies = createLatencies();
    const server = await startOperatorServer({
        listen: { ip: "127.0.0.1", port: 0 },
        secret: SECRET,
        counters,
        health: () => ({ ready: false, reason: "no state" }),
        dump: () => ({ program: "test" }),
        metrics: () => ({
            counters: listCounters(counters),
            latencies: summarizeLatencies(latencies),
            gauges: [{ name: "in-flight", labels: { pool: 'a"b' }, value: 2 }],
        }),
        routes: [
            { method: "POST", path: "/echo", handle: ({ body }) => ({ status: 200, body }) },
            {
                method: "GET",
                path: "/broken",
                handle: () => {
                    throw new Error("detail that callers must not see");
                },
            },
        ],
    });
    context.after(() => server.close());
    const call = (path: string, init: RequestInit = {}) =>
        fetch(`http://127.0.0.1:${server.port}${path}`, {
            ...init,
            headers: { authorization: `Bearer ${SECRET}`, ...init.headers },
        });
    return { counters, latencies, call };
};

test("rejects and counts requests with a missing or wrong secret; only /health responds, without the reason", async context => {
    const { counters, call } = await start(context);
    const attempts = ["", "Bearer ", `Bearer ${SECRET}x`, SECRET];
    const statuses = await Promise.all(
        attempts.map(async authorization => (await call("/dump", { headers: { authorization } })).status),
    );
    assert.deepEqual(statuses, [401, 401, 401, 401]);
    assert.equal(listCounters(counters).find(row => row.name === "operator-unauthorized")?.value, attempts.length);
    const health = await call("/health", { headers: { authorization: "" } });
    assert.equal(health.status, 503);
    assert.deepEqual(await health.json(), { ready: false });
});

test("serves the dump, the metrics in the Prometheus format, and the routes of the program", async context => {
    const { counters, latencies, call } = await start(context);
    count(counters, { name: "requests", pool: toId<PoolName>("letters") }, 7);
    recordLatency(latencies, { pool: toId<PoolName>("letters"), urgency: "urgent", outcome: "completed" }, 1_500_000);
    assert.deepEqual(await (await call("/dump")).json(), { program: "test" });
    const text = await (await call("/metrics.txt")).text();
    assert.match(text, /^# TYPE almondusher_requests_total counter\nalmondusher_requests_total\{pool="letters"\} 7$/m);
    assert.match(text, /^almondusher_in_flight\{pool="a\\"b"\} 2$/m);
    assert.match(text, /^almondusher_latency_seconds_sum\{pool="letters",urgency="urgent",outcome="completed"\} 1.5$/m);
    const echoed = await call("/echo", { method: "POST", body: '{"a":1}' });
    assert.deepEqual(await echoed.json(), { a: 1 });
});

test("returns errors as JSON with a code and without internal details", async context => {
    const { call } = await start(context);
    const codeOf = async (path: string, init?: RequestInit) => {
        const response = await call(path, init);
        const text = await response.text();
        assert.doesNotMatch(text, /must not see/);
        return { status: response.status, code: (JSON.parse(text) as { code: string }).code };
    };
    assert.deepEqual(await codeOf("/nowhere"), { status: 404, code: "not-found" });
    assert.deepEqual(await codeOf("/dump", { method: "DELETE" }), { status: 404, code: "not-found" });
    assert.deepEqual(await codeOf("/broken"), { status: 500, code: "internal" });
    assert.deepEqual(await codeOf("/echo", { method: "POST", body: "{" }), { status: 400, code: "bad-message" });
    const large = await call("/dump", { headers: { "x-large": "x".repeat(16 * 1024) } });
    assert.equal(large.status, 431);
});
