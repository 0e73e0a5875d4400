import assert from "node:assert/strict";
import { test } from "node:test";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import fc from "fast-check";
import { createGrantBook, type GrantBook, type IssuedGrant, issueGrants, recordReport } from "../src/grant-book.js";
import { grantSlots } from "../src/grant-slots.js";
import {
    acknowledgedVersion,
    applyGrant,
    createSlotLedger,
    freeSlotsOfPool,
    heldSlots,
    refreshAllowed,
    releaseSlot,
    reserveSlot,
    type SlotLedger,
} from "../src/slot-ledger.js";
import type { MemberSlots } from "../src/vm-slots.js";

const SEED = 20261205;
const SLOTS_PER_VM = 4;
const GRANT_TTL_MS = 300;
const MAX_DELAY_MS = 120;
const NONE = { urgent: 0, normal: 0, deferrable: 0 };
const guarantees = { urgent: 4, normal: 2, deferrable: 2 };
const vms = ["vm-0", "vm-1", "vm-2"].map(id => toId<VmId>(id));
const members = ["entry-0", "entry-1", "entry-2"].map(id => toId<ProcessId>(id));

interface Step {
    readonly entry: number;
    readonly action: "fill" | "release" | "report" | "divide" | "wait" | "replace-grantor";
    readonly delayMs: number;
    readonly isLost: boolean;
    readonly queued: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    entry: fc.nat(members.length - 1),
    action: fc.oneof(
        { weight: 8, arbitrary: fc.constantFrom("fill", "release", "wait" as const) },
        { weight: 16, arbitrary: fc.constantFrom("report", "divide" as const) },
        { weight: 1, arbitrary: fc.constant("replace-grantor" as const) },
    ),
    delayMs: fc.nat(MAX_DELAY_MS),
    isLost: fc.nat(5).map(roll => roll === 0),
    queued: fc.constantFrom(0, 20),
});

interface World {
    now: number;
    generation: number;
    book: GrantBook;
    previous: readonly MemberSlots[];
    messages: { readonly at: number; readonly deliver: () => void }[];
    readonly queued: number[];
    readonly ledgers: readonly SlotLedger[];
}

const createWorld = (): World => ({
    now: 0,
    generation: 0,
    book: createGrantBook(0, GRANT_TTL_MS),
    previous: [],
    messages: [],
    queued: members.map(() => 0),
    ledgers: members.map(() => createSlotLedger()),
});

const grantorOf = (world: World): ProcessId => toId<ProcessId>(`grantor-${world.generation}`);

const deliverDue = (world: World): void => {
    const due = world.messages.filter(message => message.at <= world.now);
    world.messages = world.messages.filter(message => message.at > world.now);
    due.forEach(message => message.deliver());
};

const post = (world: World, step: Step, deliver: () => void): void => {
    if (!step.isLost) {
        world.messages.push({ at: world.now + step.delayMs, deliver });
    }
};

const sendReport = (world: World, step: Step): void => {
    const { generation } = world;
    const member = members[step.entry];
    const ledger = world.ledgers[step.entry];
    assert.ok(member !== undefined && ledger !== undefined);
    const report = {
        member,
        sentAt: world.now,
        version: acknowledgedVersion(ledger, grantorOf(world)),
        held: heldSlots(ledger),
        isWaiting: step.queued > 0,
    };
    world.queued[step.entry] = step.queued;
    post(world, step, () => {
        if (generation === world.generation) {
            recordReport(world.book, report, world.now);
        }
    });
};

const receive = (world: World, grant: IssuedGrant, generation: number): void => {
    const ledger = world.ledgers[members.indexOf(grant.member)];
    // An entry takes grants only from the member that it considers the grantor.
    if (ledger !== undefined && generation === world.generation) {
        const expiresAt = grant.reportSentAt + GRANT_TTL_MS;
        applyGrant(ledger, { ...grant, grantor: grantorOf(world), quotas: [], expiresAt }, world.now);
    }
};

const divide = (world: World, step: Step): void => {
    const { generation } = world;
    const division = grantSlots({
        vms,
        slotsPerVm: SLOTS_PER_VM,
        guarantees,
        reservePerMember: 1,
        maxSpareMoves: 2,
        turn: world.now,
        previous: world.previous,
        // Without this knowledge only the book keeps slots that are in use from being given out.
        inUse: [],
        demands: members.map((member, index) => ({
            member,
            ownShort: NONE,
            ownLong: NONE,
            borrowed: 0,
            queuedShort: { ...NONE, normal: world.queued[index] ?? 0 },
            queuedLong: NONE,
        })),
    });
    world.previous = division.rows;
    issueGrants(world.book, { division, members, slotsPerVm: SLOTS_PER_VM }, world.now).forEach(grant =>
        post(world, step, () => receive(world, grant, generation)),
    );
};

const applyStep = (world: World, step: Step): void => {
    const ledger = world.ledgers[step.entry];
    assert.ok(ledger !== undefined);
    switch (step.action) {
        case "fill":
            vms.forEach(vm => {
                while (reserveSlot(ledger, vm)) {
                    // Takes every free slot.
                }
            });
            break;
        case "release":
            [...ledger.inFlight.keys()].forEach(vm => releaseSlot(ledger, vm));
            break;
        case "report":
            sendReport(world, step);
            break;
        case "divide":
            divide(world, step);
            break;
        case "wait":
            world.now += step.delayMs;
            break;
        case "replace-grantor":
            world.generation += 1;
            world.book = createGrantBook(world.now, GRANT_TTL_MS);
            world.previous = [];
            break;
    }
};

const checkUse = (world: World): void =>
    vms.forEach(vm => {
        const inFlight = world.ledgers.reduce((sum, ledger) => sum + (ledger.inFlight.get(vm) ?? 0), 0);
        assert.ok(inFlight <= SLOTS_PER_VM, `${vm} has ${inFlight} requests in flight at ${world.now}`);
    });

// Guards against giving out slots that another entry may still use while messages are lost, late or reordered, and
// while a new grantor does not yet know the grants of the one before.
test("no VM is oversubscribed whatever happens to reports, grants and the grantor", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 50, maxLength: 400 }), steps => {
            const world = createWorld();
            steps.forEach(step => {
                deliverDue(world);
                world.ledgers.forEach(ledger => refreshAllowed(ledger, world.now));
                applyStep(world, step);
                checkUse(world);
            });
        }),
        { seed: SEED, numRuns: 300 },
    );
});

test("slots taken from one entry reach the other after the first one has confirmed", () => {
    const world = createWorld();
    const quick = { delayMs: 0, isLost: false, action: "report" } as const;
    const round = (queued: readonly number[]): void => {
        members.forEach((unused, entry) => sendReport(world, { ...quick, entry, queued: queued[entry] ?? 0 }));
        deliverDue(world);
        divide(world, { ...quick, entry: 0, queued: 0 });
        deliverDue(world);
        world.now += 1;
    };
    round([20, 0, 0]);
    const [first, second] = world.ledgers;
    assert.ok(first !== undefined && second !== undefined);
    assert.equal(freeSlotsOfPool(first), vms.length * SLOTS_PER_VM - 2);
    round([0, 20, 0]);
    assert.equal(freeSlotsOfPool(second), 1);
    round([0, 20, 0]);
    assert.equal(freeSlotsOfPool(second), vms.length * SLOTS_PER_VM - 2);
});

// Guards against a new grantor that gives away what entries still hold from the one before.
test("a new grantor gives nothing until every entry has reported or the old grants have expired", () => {
    const issueTo = (now: number, reporting: readonly ProcessId[]) => {
        const book = createGrantBook(0, GRANT_TTL_MS);
        reporting.forEach(member =>
            recordReport(book, { member, sentAt: 0, version: 0, held: [], isWaiting: true }, now),
        );
        const demands = members.map(member => ({
            member,
            ownShort: NONE,
            ownLong: NONE,
            borrowed: 0,
            queuedShort: NONE,
            queuedLong: NONE,
        }));
        const division = grantSlots({
            vms,
            slotsPerVm: SLOTS_PER_VM,
            guarantees,
            reservePerMember: 1,
            maxSpareMoves: 0,
            turn: 0,
            previous: [],
            inUse: [],
            demands,
        });
        return issueGrants(book, { division, members, slotsPerVm: SLOTS_PER_VM }, now).length;
    };
    assert.equal(issueTo(GRANT_TTL_MS - 1, members.slice(1)), 0);
    assert.equal(issueTo(GRANT_TTL_MS - 1, members), members.length);
    assert.equal(issueTo(GRANT_TTL_MS, members.slice(1)), members.length - 1);
});
