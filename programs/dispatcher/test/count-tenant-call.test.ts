import assert from "node:assert/strict";
import test from "node:test";
import type { Configuration, Tenant } from "@almondusher/jobs/configuration";
import type { TenantName } from "@almondusher/jobs/ids";
import { createTenantCallCounter } from "../src/entry/count-tenant-call.js";
import { createDispatcherMetrics } from "../src/process/dispatcher-metrics.js";

const tenant = (name: string, weight: number): Tenant => ({
    name: name as TenantName,
    keys: [],
    weight,
    cap: { cpu: 0, memoryMb: 0, gpu: 0 },
});

const configurationOf = (tenants: readonly Tenant[]): Configuration => ({
    version: 1,
    queues: [],
    pools: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tenants,
    skippedTenants: [],
});

test("the largest tenants have counters of their own, over all versions at most ten, and the rest one", () => {
    const metrics = createDispatcherMetrics();
    const count = createTenantCallCounter(metrics);
    const first = configurationOf(Array.from({ length: 30 }, (unused, index) => tenant(`t${index}`, index + 1)));
    const second = configurationOf(Array.from({ length: 30 }, (unused, index) => tenant(`new${index}`, index + 1)));
    [first, second].forEach(configuration => configuration.tenants.forEach(({ name }) => count(configuration, name)));
    count(first, undefined);
    const lines = metrics.text().trim().split("\n");
    assert.equal(lines.length, 11);
    assert.ok(lines.includes('almondusher_tenant_calls{tenant="t29"} 1'));
    assert.ok(lines.includes("almondusher_calls_of_other_tenants 50"));
});

test("names with quotes and line ends keep to one line of the metrics", () => {
    const metrics = createDispatcherMetrics();
    const odd = tenant('a"\n\\b', 1);
    createTenantCallCounter(metrics)(configurationOf([odd]), odd.name);
    assert.equal(metrics.text(), 'almondusher_tenant_calls{tenant="a\\"\\n\\\\b"} 1\n');
});
