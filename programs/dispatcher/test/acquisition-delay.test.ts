import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { acquisitionDelayMs } from "../src/acquisition-delay.js";

const vm = toId<VmId>("entry-1");
const other = toId<VmId>("entry-2");
const large = { vm, processorCores: 1.35 };
const small = { vm, processorCores: 0.3 };

// A small VM could not schedule a large pool.
test("a large VM acquires a second never-held lease before a small VM acquires its first", () => {
    const second = acquisitionDelayMs({ ...large, record: undefined, heldLeases: 1 });
    assert.ok(second < acquisitionDelayMs({ ...small, record: undefined, heldLeases: 0 }));
});

test("equal VMs share the leases, so that one failure does not stop every pool", () => {
    const second = acquisitionDelayMs({ ...large, record: undefined, heldLeases: 1 });
    assert.ok(acquisitionDelayMs({ ...large, record: undefined, heldLeases: 0 }) < second);
});

test("acquiring an expired lease is delayed by at most 500 ms, and not at all on the VM that held it", () => {
    assert.ok(acquisitionDelayMs({ ...small, record: { holder: other }, heldLeases: 1 }) <= 500);
    assert.equal(acquisitionDelayMs({ ...small, record: { holder: vm }, heldLeases: 1 }), 0);
});
