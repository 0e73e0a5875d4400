import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { leaseToRequest, shouldHandOver, type HeldBy, type RequestedHandover } from "../src/leases/lease-handover.js";
import type { VmCapacity } from "../src/fleet/vm-capacity.js";

type RankedVm = RequestedHandover["holder"];

const LARGE: VmCapacity = { processorCores: 1.35, linkMbps: 140 };
const SMALL: VmCapacity = { processorCores: 0.324, linkMbps: 7 };
const LONG_MS = 60_000;

const vmOf = (name: string, capacity: VmCapacity, heldLeases: number): RankedVm => ({
    vm: toId<VmId>(name),
    capacity,
    heldLeases,
});

const small = vmOf("small", SMALL, 1);
const idle = vmOf("idle", LARGE, 0);
const heldBySmall: HeldBy = { lease: "pool/a", holder: small.vm, heldMs: LONG_MS };
const requested: RequestedHandover = {
    holder: small,
    requester: { ...idle, request: { lease: "pool/a", atMs: 1000 } },
    lease: heldBySmall,
    storeNowMs: 1200,
};

test("an idle large VM requests a lease that a small one holds, and gets it", () => {
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [heldBySmall]), "pool/a");
    assert.equal(shouldHandOver(requested), true);
});

test("a VM that holds a lease requests no other, and none is handed over to it", () => {
    const busy = vmOf("busy", LARGE, 1);
    assert.equal(leaseToRequest({ self: busy, others: [small] }, [heldBySmall]), undefined);
    assert.equal(shouldHandOver({ ...requested, requester: { ...requested.requester, heldLeases: 1 } }), false);
});

test("an equal VM requests no lease even if the holder has several, and none is handed over to it", () => {
    const holder = vmOf("holder", LARGE, 4);
    assert.equal(leaseToRequest({ self: idle, others: [holder] }, [{ ...heldBySmall, holder: holder.vm }]), undefined);
    assert.equal(shouldHandOver({ ...requested, holder }), false);
});

test("a lease that has just been taken is not handed over, so that it does not go back and forth", () => {
    const lease = { ...heldBySmall, heldMs: 5000 };
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [lease]), undefined);
    assert.equal(shouldHandOver({ ...requested, lease }), false);
});

const starting: HeldBy = { ...heldBySmall, heldMs: 2000, schedulerStatus: "starting", pendingJobs: 3 };

test("a lease whose scheduler starts nothing yet is requested without the ordinary tenure, and handed over", () => {
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [starting]), "pool/a");
    assert.equal(shouldHandOver({ ...requested, lease: starting }), true);
});

test("a scheduler that has just begun is left the time to read a few jobs", () => {
    const lease = { ...starting, heldMs: 500 };
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [lease]), undefined);
    assert.equal(shouldHandOver({ ...requested, lease }), false);
});

test("of the pools that stand still the one with the most jobs is requested first", () => {
    const busier: HeldBy = { ...starting, lease: "pool/b", pendingJobs: 1000 };
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [starting, busier]), "pool/b");
    const current: HeldBy = { ...busier, heldMs: LONG_MS, schedulerStatus: "current" };
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [current, starting]), "pool/a");
});

test("a large VM that holds another lease gets a pool that stands still on a small one", () => {
    const busy = vmOf("busy", LARGE, 1);
    assert.equal(leaseToRequest({ self: busy, others: [small] }, [starting]), "pool/a");
    const requester = { ...requested.requester, heldLeases: 1 };
    assert.equal(shouldHandOver({ ...requested, requester, lease: starting }), true);
});

test("a VM that would have less capacity for each lease than the holder gets no pool that stands still", () => {
    const busy = vmOf("busy", LARGE, 40);
    assert.equal(leaseToRequest({ self: busy, others: [small] }, [starting]), undefined);
    const requester = { ...requested.requester, heldLeases: 40 };
    assert.equal(shouldHandOver({ ...requested, requester, lease: starting }), false);
});

test("requests for pools that stand still are repeated sooner than others, so that a lost one costs little", () => {
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [starting], 2000), "pool/a");
    assert.equal(leaseToRequest({ self: idle, others: [small] }, [heldBySmall], 2000), undefined);
});

test("an old request is no evidence that its VM is alive", () => {
    assert.equal(shouldHandOver({ ...requested, storeNowMs: 4000 }), false);
});

test("a request for another lease is no reason to hand over this one", () => {
    assert.equal(shouldHandOver({ ...requested, lease: { ...heldBySmall, lease: "pool/b" } }), false);
    assert.equal(shouldHandOver({ ...requested, requester: { ...idle, request: undefined } }), false);
});

test("of several idle VMs one requests a lease at first, and another one if the first does not", () => {
    const first = vmOf("first", LARGE, 0);
    const lease = { ...heldBySmall, heldMs: 13_000 };
    assert.equal(leaseToRequest({ self: first, others: [small, idle] }, [lease]), "pool/a");
    assert.equal(leaseToRequest({ self: idle, others: [small, first] }, [lease]), undefined);
    assert.equal(leaseToRequest({ self: idle, others: [small, first] }, [heldBySmall]), "pool/a");
});
