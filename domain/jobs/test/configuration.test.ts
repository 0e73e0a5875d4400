import assert from "node:assert/strict";
import test from "node:test";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import { findQueue, type Configuration, type Queue } from "@almondusher/jobs/configuration";
import type { QueueName } from "@almondusher/jobs/ids";

const queue = (name: string, host: string, prefix: string): Queue => ({
    name: toId<QueueName>(name),
    host,
    prefix,
    pool: toId<PoolName>("p"),
    priority: 0,
    maxAttempts: 1,
    stretch: 1,
    graceMs: 0,
    timeoutMs: 0,
    advice: undefined,
    isPublic: false,
});

const CONFIGURATION: Configuration = {
    version: 1,
    queues: [queue("short", "h", "/a/"), queue("long", "h", "/a/b/"), queue("other", "g", "/a/b/c/")],
    pools: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tenants: [],
    skippedTenants: [],
};

test("the longest matching prefix of the host takes precedence, and queues of other hosts are ignored", () => {
    assert.deepEqual(
        ["/a/x", "/a/b/x", "/a/b/c/x", "/b/x"].map(path => findQueue(CONFIGURATION, "h", path)?.queue.name),
        ["short", "long", "long", undefined],
    );
    assert.equal(findQueue(CONFIGURATION, "h", "/a/b/x")?.rest, "x");
});
