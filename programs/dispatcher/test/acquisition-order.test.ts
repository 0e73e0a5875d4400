import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { acquisitionDelayMs, chooseLease, precedingVms } from "../src/leases/acquisition-order.js";
import { vmCapacity, type VmCapacity } from "../src/fleet/vm-capacity.js";

type RankedVm = Parameters<typeof acquisitionDelayMs>[0]["self"];

// Idle processes read the leases this often.
const POLL_INTERVAL_MS = 400;
const LARGE: VmCapacity = { processorCores: 1.35, linkMbps: 140 };
const SMALL: VmCapacity = { processorCores: 0.324, linkMbps: 7 };
const failed = toId<VmId>("failed");

const vmOf = (name: string, capacity: VmCapacity, heldLeases: number): RankedVm => ({
    vm: toId<VmId>(name),
    capacity,
    heldLeases,
});

const delayMs = (self: RankedVm, others: readonly RankedVm[], neverHeld = false): number =>
    acquisitionDelayMs({ self, others, neverHeld, previousHolder: neverHeld ? undefined : failed });

test("the number of cores counts, so that a VM with two shared cores is not taken for one half as large", () => {
    const twoCores = vmCapacity({ processorShare: 0.675, processorSpeed: 2, linkMbps: 140 });
    assert.equal(twoCores.processorCores, 1.35);
});

// A small VM could not schedule a large pool.
test("a large VM acquires a second lease before a small VM acquires its first, at the first start and afterwards", () => {
    const large = vmOf("large", LARGE, 1);
    const small = vmOf("small", SMALL, 0);
    [true, false].forEach(neverHeld => {
        const differenceMs = delayMs(small, [large], neverHeld) - delayMs(large, [small], neverHeld);
        assert.ok(differenceMs > POLL_INTERVAL_MS, `${differenceMs} ms`);
    });
});

test("a large VM without a lease acquires one before a large VM with one, and that one before a small VM", () => {
    const idle = vmOf("idle", LARGE, 0);
    const holder = vmOf("holder", LARGE, 1);
    const small = vmOf("small", SMALL, 0);
    const delaysMs = [
        delayMs(idle, [holder, small]),
        delayMs(holder, [idle, small]),
        delayMs(small, [idle, holder]),
    ] as const;
    assert.equal(delaysMs[0], 0);
    assert.ok(delaysMs[1] - delaysMs[0] > POLL_INTERVAL_MS, delaysMs.join(" "));
    assert.ok(delaysMs[2] - delaysMs[1] > POLL_INTERVAL_MS, delaysMs.join(" "));
});

test("a VM with as many cores on a narrow link gives precedence to one on a wide link", () => {
    const wide = vmOf("wide", LARGE, 0);
    const narrow = vmOf("narrow", { ...LARGE, linkMbps: SMALL.linkMbps }, 0);
    assert.deepEqual(precedingVms({ self: narrow, others: [wide] }), [wide.vm]);
    assert.deepEqual(precedingVms({ self: wide, others: [narrow] }), []);
});

test("equal VMs share the leases, so that one failure does not stop every pool", () => {
    const idle = vmOf("idle", LARGE, 0);
    const holder = vmOf("holder", LARGE, 1);
    assert.ok(delayMs(idle, [holder], true) < delayMs(holder, [idle], true));
    assert.ok(delayMs(idle, [holder]) < delayMs(holder, [idle]));
});

test("no equal VM without a lease waits for another one before it replaces a failed holder", () => {
    const others = ["b", "c", "d"].map(name => vmOf(name, SMALL, 0));
    assert.equal(delayMs(vmOf("a", SMALL, 0), others), 0);
    assert.equal(delayMs(vmOf("a", SMALL, 0), []), 0);
});

test("a VM without a lease replaces the holder of a lease in time if no VM that has precedence is alive", () => {
    const others = [0, 1, 2, 3].flatMap(held => ["a", "b"].map(name => vmOf(`${name}-${held}`, LARGE, held)));
    assert.ok(delayMs(vmOf("small", SMALL, 0), others) <= 1200);
});

test("a VM that held the lease before its process was restarted takes it at once", () => {
    const self = vmOf("small", SMALL, 1);
    const others = [vmOf("large", LARGE, 0)];
    assert.equal(acquisitionDelayMs({ self, others, previousHolder: self.vm, neverHeld: false }), 0);
});

test("VMs of the same rank try different leases, so that they do not lose time by conflicts", () => {
    const vms = ["a", "b", "c"].map(name => vmOf(name, LARGE, 0));
    const chosen = vms.map(self => chooseLease([1, 2, 3], { self, others: vms.filter(vm => vm !== self) }));
    assert.deepEqual(chosen, [1, 2, 3]);
    const small = vmOf("0", SMALL, 0);
    const [first, ...others] = vms;
    assert.ok(first !== undefined, "there is a VM");
    assert.equal(chooseLease([1, 2, 3], { self: first, others: [...others, small] }), 1);
    assert.equal(chooseLease([], { self: first, others }), undefined);
});
