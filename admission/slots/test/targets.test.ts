import assert from "node:assert/strict";
import { test } from "node:test";
import { type ProcessId, type TeamName, toId } from "@almondusher/fleet/ids";
import fc from "fast-check";
import { divideQuotas } from "../src/divide-quotas.js";
import { createShortReserve, updateShortReserve, shortReserveSlots } from "../src/short-reserve.js";
import { emptyDemand, type MemberDemand, slotTargets } from "../src/slot-targets.js";

const SEED = 20261206;
const TOTAL = 56;
const NONE = { urgent: 0, normal: 0, deferrable: 0 };
const guarantees = { urgent: 14, normal: 8, deferrable: 6 };
const members = Array.from({ length: 7 }, (unused, index) => toId<ProcessId>(`entry-${index}`));

const demandsOf = (ids: readonly ProcessId[], demands: readonly Partial<MemberDemand>[]): readonly MemberDemand[] =>
    ids.map((member, index) => ({ ...emptyDemand(member), ...demands[index] }));

const targetsOf = (demands: readonly Partial<MemberDemand>[], maxIdleMoves = 0, previous: readonly number[] = []) =>
    slotTargets({
        total: TOTAL,
        guarantees,
        reservePerMember: 1,
        maxIdleMoves,
        previous,
        rotation: 0,
        demands: demandsOf(members, demands),
    });

test("all slots and all guaranteed slots are divided for any demand", () => {
    const counts = fc.record({ urgent: fc.nat(30), normal: fc.nat(30), deferrable: fc.nat(300) });
    const demand = fc.record({ queuedShort: counts, queuedLong: counts, ownShort: counts, borrowed: fc.nat(20) });
    fc.assert(
        fc.property(fc.array(demand, { maxLength: members.length }), demands => {
            const targets = targetsOf(demands);
            const sumOf = (valueOf: (target: (typeof targets)[number]) => number) =>
                targets.reduce((sum, target) => sum + valueOf(target), 0);
            assert.equal(
                sumOf(target => target.slots),
                TOTAL,
            );
            assert.equal(
                sumOf(target => target.guarantees.urgent),
                guarantees.urgent,
            );
            assert.equal(
                sumOf(target => target.guarantees.normal),
                guarantees.normal,
            );
            assert.equal(
                sumOf(target => target.guarantees.deferrable),
                guarantees.deferrable,
            );
        }),
        { seed: SEED },
    );
});

// Guards against entries loaded with short requests keeping the whole guarantee of the class.
test("a queued long request gets a guaranteed slot while other entries use the guarantee for short requests", () => {
    const loaded = { ownShort: { ...NONE, urgent: 7 }, queuedShort: { ...NONE, urgent: 200 } };
    const waiting = { queuedLong: { ...NONE, urgent: 1 } };
    const targets = targetsOf([loaded, loaded, waiting]);
    assert.ok((targets[2]?.guarantees.urgent ?? 0) >= 1);
});

test("running long requests keep their slots, and every member keeps its reserve while another is overloaded", () => {
    const targets = targetsOf([{ ownLong: { ...NONE, urgent: 9 } }, { queuedShort: { ...NONE, deferrable: 500 } }]);
    assert.ok((targets[0]?.slots ?? 0) >= 9);
    assert.ok(targets.every(target => target.slots >= 1));
});

test("idle slots stay with their members, and at most the given number moves towards an even division in a round", () => {
    const previous = [20, 6, 6, 6, 6, 6, 6];
    assert.equal(targetsOf([], 0, previous)[0]?.slots, 20);
    assert.equal(targetsOf([], 2, previous)[0]?.slots, 18);
});

test("a team's quota is divided among the members by demand, and the shares add up to the quota", () => {
    const team = toId<TeamName>("notaries");
    const wants = [
        { member: toId<ProcessId>("entry-0"), team, requests: 50 },
        { member: toId<ProcessId>("entry-1"), team, requests: 1 },
    ];
    const shares = divideQuotas({ quotas: [{ team, slots: 5 }], members, wants });
    assert.deepEqual(
        shares.map(share => share.slots),
        [4, 1, 0, 0, 0, 0, 0],
    );
});

test("a pool without short requests ends up without a reserve, and one with short requests keeps headroom", () => {
    const start = createShortReserve({ maxSlots: 28, now: 0 });
    assert.equal(shortReserveSlots(start, 28), 28);
    assert.equal(shortReserveSlots(updateShortReserve(start, 0, 3_600_000), 28), 0);
    assert.equal(shortReserveSlots(updateShortReserve(start, 10, 3_600_000), 28), 15);
});

// A pool of one VM with four entries; the class `normal` has one guaranteed slot.
const fewSlots = {
    total: 8,
    guarantees: { urgent: 2, normal: 1, deferrable: 1 },
    reservePerMember: 1,
    maxIdleMoves: 0,
    previous: [],
};
const fourMembers = members.slice(0, 4);
const rotations = fourMembers.map((unused, rotation) => rotation);

test("long requests get a guaranteed slot in some rotation while another entry has more short requests", () => {
    const demands = demandsOf(fourMembers, [
        { queuedLong: { ...NONE, normal: 4 } },
        {},
        {},
        { ownShort: { ...NONE, normal: 5 }, queuedShort: { ...NONE, normal: 1 } },
    ]);
    const served = rotations.filter(
        rotation => slotTargets({ ...fewSlots, demands, rotation })[0]?.guarantees.normal === 1,
    );
    assert.ok(served.length > 0);
});

test("in a pool with fewer slots than entries, every entry with queued requests gets a slot in some rotation", () => {
    const demands = demandsOf(
        fourMembers,
        fourMembers.map((unused, index) => ({ queuedShort: { ...NONE, urgent: 9 - index } })),
    );
    const options = { ...fewSlots, total: 2, guarantees: { ...NONE, urgent: 1 }, demands };
    const served = rotations.flatMap(rotation =>
        slotTargets({ ...options, rotation }).filter(target => target.slots > 0),
    );
    assert.deepEqual(new Set(served.map(target => target.member)), new Set(fourMembers));
});

test("without queued requests the remainder does not rotate, as each moved slot requires a new connection", () => {
    const options = { ...fewSlots, total: 2, guarantees: NONE, demands: demandsOf(fourMembers, []) };
    const divisions = rotations.map(rotation => slotTargets({ ...options, rotation }));
    divisions.forEach(division => assert.deepEqual(division, divisions[0]));
});

test("an entry does not reuse the only guaranteed slot while a long request of another entry is queued", () => {
    const holder = { ownLong: { ...NONE, normal: 1 }, queuedLong: { ...NONE, normal: 6 } };
    const waiting = { queuedLong: { ...NONE, normal: 1 } };
    const guaranteesIn = (demands: readonly Partial<MemberDemand>[]) =>
        slotTargets({ ...fewSlots, demands: demandsOf(fourMembers, demands), rotation: 0 }).map(
            target => target.guarantees.normal,
        );
    assert.deepEqual(guaranteesIn([waiting, {}, {}, holder]), [0, 0, 0, 0]);
    assert.deepEqual(guaranteesIn([{}, {}, {}, holder]), [0, 0, 0, 1]);
});
