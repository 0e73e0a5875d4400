import assert from "node:assert/strict";
import test from "node:test";
import { toId } from "@almondusher/fleet/ids";
import type { Configuration, Tenant } from "@almondusher/jobs/configuration";
import type { KeyDigest, TenantName } from "@almondusher/jobs/ids";
import { identifyCaller } from "../src/entry/identify-caller.js";

const PRIVATE = { isPublic: false };
const PUBLIC = { isPublic: true };
const key = (text: string): KeyDigest => text as KeyDigest;

const tenant = (name: string, ...keys: readonly string[]): Tenant => ({
    name: toId<TenantName>(name),
    keys: keys.map(key),
    weight: 1,
    cap: { cpu: 0, memoryMb: 0, gpu: 0 },
});

const configurationOf = (
    tenants: readonly Tenant[],
    skippedTenants: Configuration["skippedTenants"] = [],
): Configuration => ({
    version: 1,
    queues: [],
    pools: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tenants,
    skippedTenants,
});

test("a key is that of its tenant, and a call with another key or none is rejected", () => {
    const configuration = configurationOf([tenant("a", "k1", "k2"), tenant("b", "k3")]);
    const identify = (digest: KeyDigest | undefined): object => identifyCaller(configuration, PRIVATE, digest);
    assert.deepEqual(identify(key("k2")), { kind: "identified", tenant: "a" });
    assert.deepEqual(identify(key("k3")), { kind: "identified", tenant: "b" });
    assert.deepEqual(identify(key("k4")), { kind: "rejected", cause: "unknown-key" });
    assert.deepEqual(identify(undefined), { kind: "rejected", cause: "no-key" });
});

test("calls of a public queue need no key, and one that is known still names its tenant", () => {
    const configuration = configurationOf([tenant("a", "k1")]);
    const identify = (digest: KeyDigest | undefined): object => identifyCaller(configuration, PUBLIC, digest);
    assert.deepEqual(identify(undefined), { kind: "identified", tenant: undefined });
    assert.deepEqual(identify(key("other")), { kind: "identified", tenant: undefined });
    assert.deepEqual(identify(key("k1")), { kind: "identified", tenant: "a" });
});

test("without tenants no call needs a key, but if all their entries were skipped none is accepted", () => {
    const anonymous = { kind: "identified", tenant: undefined };
    assert.deepEqual(identifyCaller(configurationOf([]), PRIVATE, undefined), anonymous);
    assert.deepEqual(identifyCaller(configurationOf([]), PRIVATE, key("k")), anonymous);
    const damaged = configurationOf([], [{ index: 0, reason: "damaged" }]);
    assert.deepEqual(identifyCaller(damaged, PRIVATE, key("k")), { kind: "rejected", cause: "unknown-key" });
});

test("a key of two tenants is that of the first one, and a key of a former version does not outlive it", () => {
    const shared = configurationOf([tenant("a", "k"), tenant("b", "k")]);
    assert.deepEqual(identifyCaller(shared, PRIVATE, key("k")), { kind: "identified", tenant: "a" });
    const next = configurationOf([tenant("a"), tenant("b", "k")]);
    assert.deepEqual(identifyCaller(next, PRIVATE, key("k")), { kind: "identified", tenant: "b" });
    const last = configurationOf([tenant("a"), tenant("b")]);
    assert.deepEqual(identifyCaller(last, PRIVATE, key("k")), { kind: "rejected", cause: "unknown-key" });
});
