import assert from "node:assert/strict";
import { test } from "node:test";
import { type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import fc from "fast-check";
import { createGrantTable, type GrantTable, type IssuedGrant, issueGrants, recordReport } from "../src/grant-table.js";
import { allocateSlots } from "../src/allocate-slots.js";
import {
    acknowledgedVersion,
    applyGrant,
    createSlotLedger,
    freeSlotsOfPool,
    heldSlots,
    refreshAllowedSlots,
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
    readonly action: "fill" | "release" | "report" | "issue-grants" | "wait" | "replace-grantor";
    readonly delayMs: number;
    readonly isLost: boolean;
    readonly queued: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    entry: fc.nat(members.length - 1),
    action: fc.oneof(
        { weight: 8, arbitrary: fc.constantFrom("fill", "release", "wait" as const) },
        { weight: 16, arbitrary: fc.constantFrom("report", "issue-grants" as const) },
        { weight: 1, arbitrary: fc.constant("replace-grantor" as const) },
    ),
    delayMs: fc.nat(MAX_DELAY_MS),
    isLost: fc.nat(5).map(roll => roll === 0),
    queued: fc.constantFrom(0, 20),
});

interface Simulation {
    now: number;
    generation: number;
    table: GrantTable;
    previous: readonly MemberSlots[];
    messages: { readonly at: number; readonly deliver: () => void }[];
    readonly queued: number[];
    readonly ledgers: readonly SlotLedger[];
}

const createSimulation = (): Simulation => ({
    now: 0,
    generation: 0,
    table: createGrantTable(0, GRANT_TTL_MS),
    previous: [],
    messages: [],
    queued: members.map(() => 0),
    ledgers: members.map(() => createSlotLedger()),
});

const grantorOf = (simulation: Simulation): ProcessId => toId<ProcessId>(`grantor-${simulation.generation}`);

const deliverDue = (simulation: Simulation): void => {
    const due = simulation.messages.filter(message => message.at <= simulation.now);
    simulation.messages = simulation.messages.filter(message => message.at > simulation.now);
    due.forEach(message => message.deliver());
};

const post = (simulation: Simulation, step: Step, deliver: () => void): void => {
    if (!step.isLost) {
        simulation.messages.push({ at: simulation.now + step.delayMs, deliver });
    }
};

const sendReport = (simulation: Simulation, step: Step): void => {
    const { generation } = simulation;
    const member = members[step.entry];
    const ledger = simulation.ledgers[step.entry];
    assert.ok(member !== undefined && ledger !== undefined);
    const report = {
        member,
        sentAt: simulation.now,
        version: acknowledgedVersion(ledger, grantorOf(simulation)),
        held: heldSlots(ledger),
        hasQueued: step.queued > 0,
    };
    simulation.queued[step.entry] = step.queued;
    post(simulation, step, () => {
        if (generation === simulation.generation) {
            recordReport(simulation.table, report, simulation.now);
        }
    });
};

const receive = (simulation: Simulation, grant: IssuedGrant, generation: number): void => {
    const ledger = simulation.ledgers[members.indexOf(grant.member)];
    // An entry accepts grants only from the member that it considers the grantor.
    if (ledger !== undefined && generation === simulation.generation) {
        const expiresAt = grant.reportSentAt + GRANT_TTL_MS;
        applyGrant(ledger, { ...grant, grantor: grantorOf(simulation), quotas: [], expiresAt }, simulation.now);
    }
};

const sendGrants = (simulation: Simulation, step: Step): void => {
    const { generation } = simulation;
    const division = allocateSlots({
        vms,
        slotsPerVm: SLOTS_PER_VM,
        guarantees,
        reservePerMember: 1,
        maxIdleMoves: 2,
        rotation: simulation.now,
        previous: simulation.previous,
        // Left empty, so that only the grantor's table prevents slots in use from being granted to other entries.
        inUse: [],
        demands: members.map((member, index) => ({
            member,
            ownShort: NONE,
            ownLong: NONE,
            borrowed: 0,
            queuedShort: { ...NONE, normal: simulation.queued[index] ?? 0 },
            queuedLong: NONE,
        })),
    });
    simulation.previous = division.rows;
    issueGrants(simulation.table, { allocation: division, members, slotsPerVm: SLOTS_PER_VM }, simulation.now).forEach(
        grant => post(simulation, step, () => receive(simulation, grant, generation)),
    );
};

const applyStep = (simulation: Simulation, step: Step): void => {
    const ledger = simulation.ledgers[step.entry];
    assert.ok(ledger !== undefined);
    switch (step.action) {
        case "fill":
            vms.forEach(vm => {
                while (reserveSlot(ledger, vm)) {
                    // Reserves every free slot.
                }
            });
            break;
        case "release":
            [...ledger.inFlight.keys()].forEach(vm => releaseSlot(ledger, vm));
            break;
        case "report":
            sendReport(simulation, step);
            break;
        case "issue-grants":
            sendGrants(simulation, step);
            break;
        case "wait":
            simulation.now += step.delayMs;
            break;
        case "replace-grantor":
            simulation.generation += 1;
            simulation.table = createGrantTable(simulation.now, GRANT_TTL_MS);
            simulation.previous = [];
            break;
    }
};

const checkUse = (simulation: Simulation): void =>
    vms.forEach(vm => {
        const inFlight = simulation.ledgers.reduce((sum, ledger) => sum + (ledger.inFlight.get(vm) ?? 0), 0);
        assert.ok(inFlight <= SLOTS_PER_VM, `${vm} has ${inFlight} requests in flight at ${simulation.now}`);
    });

// Guards against granting slots that another entry may still use, because messages were lost, delayed or reordered or
// because a new grantor does not yet know the grants of its predecessor.
test("no VM is oversubscribed when reports and grants are lost, late or reordered, or the grantor is replaced", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 50, maxLength: 400 }), steps => {
            const simulation = createSimulation();
            steps.forEach(step => {
                deliverDue(simulation);
                simulation.ledgers.forEach(ledger => refreshAllowedSlots(ledger, simulation.now));
                applyStep(simulation, step);
                checkUse(simulation);
            });
        }),
        { seed: SEED, numRuns: 300 },
    );
});

test("slots taken from one entry are granted to another only after the first has acknowledged the smaller grant", () => {
    const simulation = createSimulation();
    const immediate = { delayMs: 0, isLost: false, action: "report" } as const;
    const round = (queued: readonly number[]): void => {
        members.forEach((unused, entry) => sendReport(simulation, { ...immediate, entry, queued: queued[entry] ?? 0 }));
        deliverDue(simulation);
        sendGrants(simulation, { ...immediate, entry: 0, queued: 0 });
        deliverDue(simulation);
        simulation.now += 1;
    };
    round([20, 0, 0]);
    const [first, second] = simulation.ledgers;
    assert.ok(first !== undefined && second !== undefined);
    assert.equal(freeSlotsOfPool(first), vms.length * SLOTS_PER_VM - 2);
    round([0, 20, 0]);
    assert.equal(freeSlotsOfPool(second), 1);
    round([0, 20, 0]);
    assert.equal(freeSlotsOfPool(second), vms.length * SLOTS_PER_VM - 2);
});

// Guards against a new grantor that grants slots which entries still hold from its predecessor.
test("a new grantor issues no grants until every entry has reported or the old grants have expired", () => {
    const issueTo = (now: number, reporting: readonly ProcessId[]) => {
        const table = createGrantTable(0, GRANT_TTL_MS);
        reporting.forEach(member =>
            recordReport(table, { member, sentAt: 0, version: 0, held: [], hasQueued: true }, now),
        );
        const demands = members.map(member => ({
            member,
            ownShort: NONE,
            ownLong: NONE,
            borrowed: 0,
            queuedShort: NONE,
            queuedLong: NONE,
        }));
        const division = allocateSlots({
            vms,
            slotsPerVm: SLOTS_PER_VM,
            guarantees,
            reservePerMember: 1,
            maxIdleMoves: 0,
            rotation: 0,
            previous: [],
            inUse: [],
            demands,
        });
        return issueGrants(table, { allocation: division, members, slotsPerVm: SLOTS_PER_VM }, now).length;
    };
    assert.equal(issueTo(GRANT_TTL_MS - 1, members.slice(1)), 0);
    assert.equal(issueTo(GRANT_TTL_MS - 1, members), members.length);
    assert.equal(issueTo(GRANT_TTL_MS, members.slice(1)), members.length - 1);
});
