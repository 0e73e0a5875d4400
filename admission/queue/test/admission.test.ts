import assert from "node:assert/strict";
import { test } from "node:test";
import { type RequestId, type TeamName, toId } from "@almondusher/fleet/ids";
import type { Urgency } from "@almondusher/fleet/urgency";
import type { AdmissionLimits, AdmissionRequest, PoolCapacity } from "../src/admission-options.js";
import { type Admission, createAdmission } from "../src/admission-state.js";
import { dumpAdmission } from "../src/demand.js";
import { cancel, finish, requeue } from "../src/finish.js";
import { changeLimits } from "../src/limits.js";
import { admit } from "../src/admit.js";
import { startQueued } from "../src/start-queued.js";

const limits: AdmissionLimits = {
    shares: { urgent: 0.5, normal: 0.3, deferrable: 0.2 },
    quickShare: 0,
    maxQueued: { urgent: 100, normal: 100, deferrable: 100 },
    quotas: [],
    borrowRunTimeMs: 500,
};

const SHORT_MS = 20;
const LONG_MS = 60_000;
const HOUR_MS = 3_600_000;

const requestOf = (
    id: string,
    overrides: Partial<Omit<AdmissionRequest, "id" | "team">> & { team?: string } = {},
): AdmissionRequest => ({
    urgency: "normal",
    arrivedAt: 0,
    deadlineAt: HOUR_MS,
    expectedRunMs: SHORT_MS,
    ...overrides,
    id: toId<RequestId>(id),
    team: toId<TeamName>(overrides.team ?? "notaries"),
});

const capacityOf = (admission: Admission, granted: number): PoolCapacity => ({
    free: granted - admission.running.size,
    granted,
    pool: granted,
});

const admitMany = (admission: Admission, count: number, urgency: Urgency, expectedRunMs: number) =>
    Array.from({ length: count }, (unused, index) =>
        admit(
            admission,
            requestOf(`${urgency}-${expectedRunMs}-${index}`, { urgency, expectedRunMs }),
            capacityOf(admission, 10),
        ),
    );

const runningOf = (admission: Admission, urgency: Urgency): number =>
    [...admission.running.values()].filter(({ request }) => request.urgency === urgency).length;

test("long requests of one class leave the guaranteed slots of the others free", () => {
    const admission = createAdmission(limits);
    admitMany(admission, 20, "deferrable", LONG_MS);
    admitMany(admission, 20, "urgent", LONG_MS);
    assert.equal(runningOf(admission, "deferrable"), 2);
    assert.equal(runningOf(admission, "urgent"), 5);
});

test("short requests borrow unused slots, which go to the owning class as they are released", () => {
    const admission = createAdmission(limits);
    admitMany(admission, 20, "deferrable", SHORT_MS);
    assert.equal(runningOf(admission, "deferrable"), 10);
    const urgent = admit(admission, requestOf("urgent", { urgency: "urgent" }), capacityOf(admission, 10));
    assert.equal(urgent.kind, "queued");
    finish(admission, toId<RequestId>("deferrable-20-0"), SHORT_MS);
    const taken = startQueued(admission, capacityOf(admission, 10), SHORT_MS);
    assert.deepEqual(taken, { started: ["urgent"], expired: [], overdue: [] });
});

test("borrowers that run far longer than expected are reported, and only their team may not borrow until they end", () => {
    const admission = createAdmission(limits);
    admitMany(admission, 8, "deferrable", SHORT_MS);
    const { overdue } = startQueued(admission, capacityOf(admission, 10), 10 * limits.borrowRunTimeMs);
    assert.equal(overdue.length, 6);
    assert.equal(dumpAdmission(admission).overdueLoans, 6);
    assert.equal(admitMany(admission, 1, "deferrable", SHORT_MS + 1)[0]?.kind, "queued");
    const other = requestOf("other", { urgency: "deferrable", team: "other" });
    assert.equal(admit(admission, other, capacityOf(admission, 10)).kind, "start");
    Array.from({ length: 8 }, (unused, index) => finish(admission, toId<RequestId>(`deferrable-20-${index}`), 6_000));
    assert.equal(startQueued(admission, capacityOf(admission, 10), 6_000).started.length, 1);
});

test("teams of a class are served round-robin, and the request of a team with the earliest deadline starts first", () => {
    const admission = createAdmission(limits);
    const full = { free: 0, granted: 10, pool: 10 };
    admit(admission, requestOf("a-late", { team: "a", deadlineAt: 50_000 }), full);
    admit(admission, requestOf("a-early", { team: "a", deadlineAt: 40_000 }), full);
    admit(admission, requestOf("a-last", { team: "a", deadlineAt: 60_000 }), full);
    admit(admission, requestOf("b", { team: "b", deadlineAt: 90_000 }), full);
    assert.deepEqual(startQueued(admission, { ...full, free: 3 }, 1).started, ["a-early", "b", "a-late"]);
});

test("a team at its quota does not delay other teams and continues when the quota is raised", () => {
    const quotas = [{ team: toId<TeamName>("notaries"), poolSlots: 4, entrySlots: 1 }];
    const admission = createAdmission({ ...limits, quotas });
    admitMany(admission, 3, "normal", SHORT_MS);
    assert.equal(admission.running.size, 1);
    assert.equal(admit(admission, requestOf("other", { team: "other" }), capacityOf(admission, 10)).kind, "start");
    changeLimits(admission, limits);
    assert.equal(startQueued(admission, capacityOf(admission, 10), 1).started.length, 2);
});

test("one team cannot fill the queue of its class", () => {
    const admission = createAdmission(limits);
    const full = { free: 0, granted: 10, pool: 10 };
    const decisions = Array.from({ length: 200 }, (unused, index) => admit(admission, requestOf(`a-${index}`), full));
    assert.ok(decisions.some(({ kind }) => kind === "rejected"));
    assert.equal(admit(admission, requestOf("b", { team: "b" }), full).kind, "queued");
});

test("a request that would start too late is rejected at once, and one that was queued for too long expires", () => {
    const admission = createAdmission(limits);
    const full = { free: 0, granted: 10, pool: 10 };
    assert.equal(admit(admission, requestOf("waits", { deadlineAt: 2_000 }), full).kind, "queued");
    admitMany(admission, 40, "normal", LONG_MS);
    const late = { arrivedAt: HOUR_MS - 100_000, deadlineAt: HOUR_MS + 1, expectedRunMs: LONG_MS };
    const rejected = admit(admission, requestOf("late", late), full);
    assert.equal(rejected.kind === "rejected" && rejected.cause, "deadline");
    assert.deepEqual(startQueued(admission, full, 2_001).expired, ["waits"]);
});

test("cancellation releases the slot or removes the request from the queue, and idle teams are removed", () => {
    const admission = createAdmission(limits);
    const one = { free: 1, granted: 1, pool: 8 };
    admit(admission, requestOf("runs"), one);
    admit(admission, requestOf("waits"), { ...one, free: 0 });
    assert.equal(cancel(admission, toId<RequestId>("waits")), "queued");
    assert.equal(cancel(admission, toId<RequestId>("runs")), "running");
    assert.equal(cancel(admission, toId<RequestId>("runs")), "unknown");
    assert.equal(admission.teams.size, 0);
});

// Guards against counting a borrower twice when an endpoint refused it and it was started again.
test("a borrower that was requeued and started again is reported as overdue only once", () => {
    const admission = createAdmission(limits);
    admitMany(admission, 4, "deferrable", SHORT_MS);
    const [first, second] = ["deferrable-20-2", "deferrable-20-3"].map(id => toId<RequestId>(id));
    assert.ok(first !== undefined && second !== undefined);
    requeue(admission, second);
    assert.deepEqual(startQueued(admission, capacityOf(admission, 10), 1).started, [second]);
    assert.deepEqual(startQueued(admission, capacityOf(admission, 10), 10_000).overdue, [first, second]);
    [first, second].forEach(id => finish(admission, id, 10_000));
    assert.equal(dumpAdmission(admission).overdueLoans, 0);
    assert.equal(admitMany(admission, 3, "deferrable", SHORT_MS + 1).filter(({ kind }) => kind === "start").length, 3);
});
