import assert from "node:assert/strict";
import { test } from "node:test";
import { type PoolName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import fc from "fast-check";
import { allocateSlots } from "../src/allocate-slots.js";
import { createRendezvous } from "../src/rendezvous.js";
import {
    applyGrant,
    connectionShare,
    createSlotLedger,
    freeSlotsOfPool,
    refreshAllowedSlots,
    releaseSlot,
    reserveSlot,
    setFallback,
} from "../src/slot-ledger.js";
import { type MemberSlots, sumSlots } from "../src/vm-slots.js";

const SEED = 20261204;
const SLOTS_PER_VM = 8;
const NONE = { urgent: 0, normal: 0, deferrable: 0 };
const guaranteesOf = (slots: number) => ({
    urgent: Math.floor(slots / 2),
    normal: Math.floor(slots / 4),
    deferrable: Math.floor(slots / 8),
});
const vmsOf = (count: number) => Array.from({ length: count }, (unused, index) => toId<VmId>(`vm-${index}`));
const membersOf = (count: number) =>
    Array.from({ length: count }, (unused, index) => toId<ProcessId>(`entry-${index}`));

test("the partition assigns each slot to exactly one member and moves only the slots of a member that left", async () => {
    const { partitionSlots, grantorOf } = await createRendezvous();
    const vms = vmsOf(5);
    const members = membersOf(7);
    const ownSlots = (self: ProcessId, live: readonly ProcessId[]) =>
        sumSlots(partitionSlots({ vms, slotsPerVm: SLOTS_PER_VM, members: live, self }));
    assert.equal(sumSlots(members.map(self => ({ slots: ownSlots(self, members) }))), 5 * SLOTS_PER_VM);
    members.slice(1).forEach(self => assert.ok(ownSlots(self, members.slice(1)) >= ownSlots(self, members)));
    assert.equal(
        grantorOf(toId<PoolName>("letters"), members),
        grantorOf(toId<PoolName>("letters"), members.toReversed()),
    );
});

const sorted = (rows: readonly MemberSlots[]) =>
    rows.toSorted((left, right) => left.member.localeCompare(right.member) || left.vm.localeCompare(right.vm));

test("allocations never exceed the slots of a VM, use all slots, and are stable under unchanged demand", () => {
    const demandOf = fc.record({ urgent: fc.nat(100), normal: fc.nat(100), deferrable: fc.nat(1000) });
    const rounds = fc.tuple(
        fc.integer({ min: 1, max: 12 }),
        fc.array(demandOf, { minLength: 1, maxLength: 9 }),
        fc.nat(),
    );
    fc.assert(
        fc.property(rounds, ([vmCount, demands, rotation]) => {
            const members = membersOf(demands.length);
            const allocate = (shift: number, previous: readonly MemberSlots[]) =>
                allocateSlots({
                    vms: vmsOf(vmCount),
                    slotsPerVm: SLOTS_PER_VM,
                    guarantees: guaranteesOf(vmCount * SLOTS_PER_VM),
                    reservePerMember: 1,
                    maxIdleMoves: 0,
                    rotation: 0,
                    inUse: [],
                    previous,
                    demands: members.map((member, index) => ({
                        member,
                        ownShort: NONE,
                        ownLong: NONE,
                        borrowed: 0,
                        queuedLong: NONE,
                        queuedShort: demands[(index + shift) % demands.length] ?? NONE,
                    })),
                }).rows;
            const first = allocate(0, []);
            const second = allocate(rotation, first);
            [first, second].forEach(rows => {
                assert.equal(sumSlots(rows), vmCount * SLOTS_PER_VM);
                vmsOf(vmCount).forEach(vm =>
                    assert.ok(sumSlots(rows.filter(row => row.vm === vm)) <= SLOTS_PER_VM, `${vm} is oversubscribed`),
                );
            });
            assert.deepEqual(sorted(allocate(rotation, second)), sorted(second));
        }),
        { seed: SEED },
    );
});

test("an entry falls back to the partition when its grant expires, and counts requests in flight against both", () => {
    const ledger = createSlotLedger();
    const grantor = toId<ProcessId>("entry-0");
    const [first, second] = vmsOf(2);
    assert.ok(first !== undefined && second !== undefined);
    setFallback(ledger, [{ vm: first, slots: 1 }], 0);
    assert.ok(reserveSlot(ledger, first));
    assert.ok(!reserveSlot(ledger, first));
    applyGrant(
        ledger,
        { grantor, version: 1, rows: [{ vm: second, slots: 2 }], guarantees: NONE, quotas: [], expiresAt: 100 },
        0,
    );
    assert.equal(freeSlotsOfPool(ledger), 2);
    refreshAllowedSlots(ledger, 100);
    assert.equal(freeSlotsOfPool(ledger), 0);
    releaseSlot(ledger, first);
    assert.equal(freeSlotsOfPool(ledger), 1);
});

test("the connections of all entries to a VM stay within its limit, in proportion to their slots", () => {
    const [vm] = vmsOf(1);
    assert.ok(vm !== undefined);
    const shareOf = (slots: number): number => {
        const ledger = createSlotLedger();
        setFallback(ledger, [{ vm, slots }], 0);
        return connectionShare(ledger, { vm, slotsPerVm: SLOTS_PER_VM, connectionsPerVm: 64 });
    };
    assert.deepEqual([5, 3, 0].map(shareOf), [40, 24, 0]);
    assert.equal(connectionShare(createSlotLedger(), { vm, slotsPerVm: SLOTS_PER_VM, connectionsPerVm: 64 }), 0);
});
