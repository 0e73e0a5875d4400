import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import fc from "fast-check";
import { entityTable } from "@almondusher/fleet/entity-table";
import { type RequestId, toId } from "@almondusher/fleet/ids";
import { routeSchema } from "@almondusher/fleet/route";
import { routeIndex } from "@almondusher/fleet/route-index";
import { parseCallerRequest } from "../src/caller-request.js";

const SEED = 20_261_204;

const route = routeSchema.parse({
    name: "letters",
    pathPrefix: "/letters",
    pool: "letters",
    team: "notaries",
    urgency: "normal",
    timeoutMs: 5000,
});
const routes = routeIndex(entityTable([route], row => row.name));

const parse = (headers: Record<string, string>, method = "POST", url = "/letters/1") =>
    parseCallerRequest({ method, url, headers } as unknown as IncomingMessage, {
        id: toId<RequestId>("r.1"),
        routes,
        nowMs: 1000,
    });

const requestOf = (headers: Record<string, string>, method?: string) => {
    const result = parse(headers, method);
    assert.equal(result.kind, "request");
    return result.request;
};

test("a caller can lower the urgency of the route but not raise it", () => {
    assert.equal(requestOf({ priority: "u=7" }).urgency, "deferrable");
    assert.equal(requestOf({ priority: "u=0" }).urgency, "normal");
    assert.equal(requestOf({ priority: "nonsense" }).urgency, "normal");
});

test("a caller can shorten the deadline of the route but not extend it", () => {
    assert.equal(requestOf({ "almondusher-timeout-ms": "200" }).deadlineAtMs, 1200);
    assert.equal(requestOf({ "almondusher-timeout-ms": "999999" }).deadlineAtMs, 6000);
});

test("by method, GET is idempotent and POST is not", () => {
    assert.equal(requestOf({}).idempotent, false);
    assert.equal(requestOf({}, "GET").idempotent, true);
});

test("a repeated key, an oversized body, an unknown path and an upgrade are rejected with the verdict not-run", () => {
    const rejections = [
        parse({ "idempotency-key": "a, b" }),
        parse({ "content-length": String(route.maxBodyBytes + 1) }),
        parse({}, "GET", "/nowhere"),
        parse({ upgrade: "websocket" }),
    ];
    assert.deepEqual(
        rejections.map(result => (result.kind === "rejected" ? result.rejection.status : 200)),
        [400, 413, 404, 501],
    );
    assert.ok(rejections.every(result => result.kind === "rejected" && result.rejection.verdict === "not-run"));
});

test("arbitrary header values yield a request or a 400 rejection, never an exception", () => {
    fc.assert(
        fc.property(fc.string(), fc.string(), fc.string(), fc.string(), (key, timeout, team, priority) => {
            const result = parse({
                "idempotency-key": key,
                "almondusher-timeout-ms": timeout,
                "almondusher-team": team,
                priority,
            });
            assert.ok(result.kind === "request" || result.rejection.status === 400);
        }),
        { seed: SEED, numRuns: 500 },
    );
});
