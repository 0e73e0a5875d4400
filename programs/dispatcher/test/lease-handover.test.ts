import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { leaseToRequest, shouldHandOver, type HeldBy, type RequestedHandover } from "../src/lease-handover.js";
import type { VmCapacity } from "../src/vm-capacity.js";

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
