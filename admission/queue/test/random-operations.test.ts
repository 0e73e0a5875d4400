import assert from "node:assert/strict";
import { test } from "node:test";
import { type RequestId, type TeamName, toId } from "@almondusher/fleet/ids";
import { urgencies } from "@almondusher/fleet/urgency";
import fc from "fast-check";
import type { AdmissionLimits, PoolCapacity } from "../src/admission-options.js";
import { type Admission, createAdmission } from "../src/admission-state.js";
import { demandOf, slotDemandOf } from "../src/demand.js";
import { cancel, finish, requeue } from "../src/finish.js";
import { guaranteesOf } from "../src/guarantees.js";
import { admit } from "../src/admit.js";
import { startQueued } from "../src/start-queued.js";

const SEED = 20261208;
const GRANTED = 8;
const QUOTA = 3;

const limits: AdmissionLimits = {
    shares: { urgent: 0.5, normal: 0.3, deferrable: 0.2 },
    quickShare: 0.25,
    maxQueued: { urgent: 6, normal: 6, deferrable: 6 },
    quotas: [{ team: toId<TeamName>("team-0"), poolSlots: QUOTA, entrySlots: QUOTA }],
    borrowRunTimeMs: 500,
};

const stepArbitrary = fc.record({
    action: fc.constantFrom("admit", "admit", "admit", "finish", "cancel", "requeue", "tick"),
    urgency: fc.constantFrom(...urgencies),
    team: fc.nat(3),
    expectedRunMs: fc.constantFrom(20, 400, 5_000),
    timeoutMs: fc.constantFrom(100, 10_000, 600_000),
    pick: fc.nat(),
    elapsedMs: fc.nat(3_000),
});

const capacityOf = (admission: Admission): PoolCapacity => ({
    free: GRANTED - admission.running.size,
    granted: GRANTED,
    pool: 7 * GRANTED,
});

const checkBounds = (admission: Admission): void => {
    assert.ok(admission.running.size <= GRANTED);
    const rows = demandOf(admission);
    const sumOf = (key: "running" | "queued"): number => rows.reduce((sum, row) => sum + row[key], 0);
    assert.equal(sumOf("running"), admission.running.size);
    assert.equal(sumOf("queued"), admission.waiting.size);
    urgencies.forEach(urgency => assert.ok(admission.classes[urgency].queued <= limits.maxQueued[urgency]));
    const quotaTeam = [...admission.running.values()].filter(({ request }) => request.team === "team-0");
    assert.ok(quotaTeam.length <= QUOTA);
    // Long requests never use slots that are guaranteed to other classes or reserved for short requests.
    const guarantees = guaranteesOf(limits.shares, GRANTED - Math.floor(limits.quickShare * GRANTED));
    const { ownLong } = slotDemandOf(admission);
    const overdue = [...admission.running.values()].filter(({ isOverdue }) => isOverdue).length;
    urgencies.forEach(urgency => assert.ok(ownLong[urgency] <= guarantees[urgency] + overdue));
};

// Guards against counters that no longer match the requests, and against limits that some order of events violates.
test("limits, quotas and counters hold after any sequence of operations, and no request is lost", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 300 }), steps => {
            const admission = createAdmission(limits);
            const open = new Set<RequestId>();
            let now = 0;
            steps.forEach((step, index) => {
                const id = toId<RequestId>(String(index));
                const running = [...admission.running.keys()];
                const selected = running[step.pick % Math.max(1, running.length)];
                if (step.action === "admit") {
                    const decision = admit(
                        admission,
                        {
                            id,
                            urgency: step.urgency,
                            team: toId<TeamName>(`team-${step.team}`),
                            arrivedAt: now,
                            deadlineAt: now + step.timeoutMs,
                            expectedRunMs: step.expectedRunMs,
                        },
                        capacityOf(admission),
                    );
                    if (decision.kind === "rejected") {
                        assert.ok(decision.retryAfterMs > 0 && Number.isFinite(decision.retryAfterMs));
                    } else {
                        open.add(id);
                    }
                } else if (step.action === "tick") {
                    now += step.elapsedMs;
                } else if (selected !== undefined && step.action === "requeue") {
                    requeue(admission, selected);
                } else if (selected !== undefined && step.action === "finish") {
                    finish(admission, selected, now);
                    open.delete(selected);
                } else if (selected !== undefined) {
                    cancel(admission, selected);
                    open.delete(selected);
                }
                startQueued(admission, capacityOf(admission), now).expired.forEach(expired => open.delete(expired));
                checkBounds(admission);
                assert.equal(open.size, admission.running.size + admission.waiting.size);
            });
            [...open].forEach(id => cancel(admission, id));
            assert.equal(admission.teams.size, 0);
        }),
        { seed: SEED, numRuns: 200 },
    );
});
