import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Change, EditRecord } from "@almondusher/fleet/edit";
import { fleetState, type FleetState } from "@almondusher/fleet/fleet-state";
import { toId, type PoolName, type ProcessId, type RouteName, type VmId } from "@almondusher/fleet/ids";
import { poolSchema } from "@almondusher/fleet/pool";
import { routeSchema } from "@almondusher/fleet/route";
import type { Cause } from "@almondusher/fleet/verdict";
import { explain, type Explanation } from "../src/explain.js";
import { createTrafficLog, listTraffic, recordArrival, recordFailure } from "../src/traffic-log.js";
import type { Subject } from "../src/subject-scope.js";

const SECOND = 1_000;
const MINUTE = 60 * SECOND;
const START = Date.UTC(2026, 11, 4, 9, 0, 0);
const EDIT_AT = START + 20 * MINUTE;
const END = START + 30 * MINUTE;

const route = toId<RouteName>("letters");
const pool = toId<PoolName>("letters");
const vms = ["vm-1", "vm-2", "vm-3", "vm-4"].map(id => toId<VmId>(id));
const subject: Subject = { kind: "pool", name: pool };

const routeRow = (overrides: object = {}) =>
    routeSchema.parse({ name: "letters", pathPrefix: "/letters", pool: "letters", team: "notaries", ...overrides });
const poolRow = (overrides: object = {}) => poolSchema.parse({ name: "letters", vms, minAvailable: 1, ...overrides });
const state: FleetState = fleetState(7, {
    routes: [routeRow()],
    pools: [poolRow()],
    assignments: vms.map(vm => ({ vm, pool, phase: { kind: "serving" } })),
});

const edit = (changes: Change[], options: Partial<EditRecord> = {}): EditRecord => ({
    editId: toId("e7"),
    author: { kind: "operator", name: "anna" },
    at: new Date(EDIT_AT - 3 * SECOND).toISOString(),
    reason: "test",
    revision: 7,
    snapshotKey: "snapshots/x",
    changes,
    ...options,
});

const slotsEdit = edit([{ table: "pools", key: pool, before: poolRow(), after: poolRow({ slotsPerVm: 2 }) }]);
const harmlessEdit = edit([
    { table: "pools", key: pool, before: poolRow(), after: poolRow({ slotsPerVm: 9, connectionsPerVm: 80 }) },
]);

/** The arrival of a request or, with a cause, the failure of a request that arrived earlier. */
interface Event {
    readonly atMs: number;
    readonly cause?: Cause;
    readonly vm?: VmId;
    readonly process?: string;
    readonly withoutRoute?: boolean;
    /** Revision that the entry used for the request, if not the one in use at `atMs`. */
    readonly revision?: number;
}

const every = (stepMs: number, fromMs: number, toMs: number, event: Omit<Event, "atMs"> = {}): Event[] =>
    Array.from({ length: Math.ceil((toMs - fromMs) / stepMs) }, (unusedItem, index) => ({
        ...event,
        atMs: fromMs + index * stepMs,
    }));

// Records the events in the traffic logs of two entries that start to use revision 7 at EDIT_AT, and explains them.
const explainEvents = (
    events: readonly Event[],
    history: readonly EditRecord[],
    about: Subject = subject,
    fromMs = START + 15 * MINUTE,
): Explanation => {
    const processes = ["entry-1", "entry-2"].map(name => toId<ProcessId>(name));
    const logs = processes.map(process => createTrafficLog({ process }));
    [...events]
        .sort((left, right) => left.atMs - right.atMs)
        .forEach(({ atMs, cause, vm, process, withoutRoute, revision }) => {
            const log = logs.find(item => item.process === process) ?? logs[Math.floor(atMs / 20) % logs.length];
            assert.ok(log);
            const labels = withoutRoute === true ? {} : { route, pool };
            if (cause === undefined) {
                recordArrival(log, { route, pool }, atMs);
            } else {
                recordFailure(log, { cause, vm, revision: revision ?? (atMs < EDIT_AT ? 6 : 7), ...labels }, atMs);
            }
        });
    const traffic = logs.map(log => listTraffic(log, START, END));
    return explain({
        subject: about,
        fromMs,
        toMs: END,
        history,
        state,
        traffic: {
            failures: traffic.flatMap(item => item.failures),
            arrivals: traffic.flatMap(item => item.arrivals),
        },
        uses: processes.flatMap(process => [
            { process, revision: 6, sinceMs: START },
            { process, revision: 7, sinceMs: EDIT_AT },
        ]),
    });
};

const steady = every(100, START, END);

test("attributes a shortage that starts with an edit of the slots to the edit and its author", () => {
    const refused = every(500, EDIT_AT + 4 * SECOND, END, { cause: "queue-full" });
    const result = explainEvents([...steady, ...refused], [slotsEdit]);
    assert.deepEqual(result.fault, { kind: "edit", revision: 7, author: { kind: "operator", name: "anna" } });
    assert.match(result.edits[0]?.changes.join() ?? "", /slotsPerVm 8 -> 2/);
});

test("does not attribute failures to an edit if the same cause occurred before it", () => {
    const refused = every(500, EDIT_AT - 4 * MINUTE, END, { cause: "queue-full" });
    const result = explainEvents([...steady, ...refused], [slotsEdit]);
    assert.equal(result.fault?.kind, "undetermined");
    assert.match(
        result.findings[0]?.evidence.join("\n") ?? "",
        /edit 7 is not the reason: queue-full already occurred/,
    );
});

test("does not attribute failures to an edit if they start long after it, even if a single one occurs right after it", () => {
    const late = every(500, EDIT_AT + 5 * MINUTE, END, { cause: "queue-full" });
    const single: Event = { atMs: EDIT_AT + SECOND, cause: "queue-full" };
    assert.equal(explainEvents([...steady, ...late], [slotsEdit]).fault?.kind, "undetermined");
    assert.equal(explainEvents([...steady, single, ...late], [slotsEdit]).fault?.kind, "undetermined");
});

test("attributes a fivefold burst to overload although an edit of the pool coincides with it", () => {
    const burst = every(20, EDIT_AT + 2 * SECOND, EDIT_AT + 12 * SECOND);
    const refused = every(50, EDIT_AT + 4 * SECOND, EDIT_AT + 12 * SECOND, { cause: "queue-full" });
    const result = explainEvents([...steady, ...burst, ...refused], [slotsEdit]);
    assert.equal(result.fault?.kind, "overload");
    assert.match(result.findings[0]?.evidence.join("\n") ?? "", /at the same time: .*slotsPerVm 8 -> 2/);
});

test("attributes failures during a burst to an edit if an equal burst was served before the edit", () => {
    const burstAt = (atMs: number) => every(20, atMs, atMs + 10 * SECOND);
    const refused = every(500, EDIT_AT + 31 * SECOND, EDIT_AT + 40 * SECOND, { cause: "queue-full" });
    const result = explainEvents(
        [...steady, ...burstAt(EDIT_AT - 5 * MINUTE), ...burstAt(EDIT_AT + 30 * SECOND), ...refused],
        [slotsEdit],
    );
    assert.equal(result.fault?.kind, "edit");
});

test("attributes requests without a route to the edit that moved the route to another path", () => {
    const moved = edit([{ table: "routes", key: route, before: routeRow(), after: routeRow({ pathPrefix: "/mail" }) }]);
    const lost = every(200, EDIT_AT + SECOND, END, { cause: "no-route", withoutRoute: true });
    const about: Subject = { kind: "route", name: route };
    assert.equal(explainEvents([...steady, ...lost], [moved], about).fault?.kind, "edit");
    assert.deepEqual(explainEvents([...steady, ...lost], [], about).findings, []);
});

test("attributes failures on one VM to the VM, whenever a harmless edit occurs", () => {
    const seed = 20261204;
    fc.assert(
        fc.property(
            fc.integer({ min: 0, max: 3 }),
            fc.integer({ min: -5 * MINUTE, max: 5 * MINUTE }),
            fc.constantFrom<Cause>("connection-lost", "bad-answer"),
            (index, offsetMs, cause) => {
                const vm = vms[index] ?? vms[0];
                assert.ok(vm);
                const failed = every(700, EDIT_AT + offsetMs, END, { cause, vm });
                const result = explainEvents([...steady, ...failed], [harmlessEdit]);
                assert.deepEqual(result.fault, { kind: "endpoint", vms: [vm] });
            },
        ),
        { seed, numRuns: 20 },
    );
});

test("attributes failures after a drain by the manager to the operator's edit that removed the VM", () => {
    const [vm] = vms;
    assert.ok(vm);
    const removal = edit([{ table: "pools", key: pool, before: poolRow(), after: poolRow({ vms: vms.slice(1) }) }], {
        revision: 6,
        at: new Date(EDIT_AT - 5 * MINUTE).toISOString(),
    });
    const drain = edit(
        [
            {
                table: "assignments",
                key: vm,
                before: { vm, pool, phase: { kind: "serving" } },
                after: { vm, pool, phase: { kind: "draining", purpose: { kind: "removal" }, sinceRevision: 7 } },
            },
        ],
        { author: { kind: "manager", name: "manager-1" } },
    );
    const refused = every(500, EDIT_AT + 4 * SECOND, END, { cause: "no-capacity" });
    const withRemoval = explainEvents([...steady, ...refused], [removal, drain]);
    assert.deepEqual(withRemoval.fault, { kind: "edit", revision: 6, author: removal.author });
    const withoutRemoval = explainEvents([...steady, ...refused], [drain]);
    assert.equal(withoutRemoval.fault?.kind, "system");
});

test("distinguishes failures of the platform, of the system and of one entry from a shortage of capacity after a VM failed", () => {
    const faultOf = (events: readonly Event[]) => explainEvents([...steady, ...events], [slotsEdit]).fault?.kind;
    const from = EDIT_AT + 3 * MINUTE;
    const spread = vms.flatMap((vm, index) =>
        every(1000, from + index * 10, END, { cause: "connect-failed", vm, process: "entry-1" }),
    );
    const everywhere = vms.flatMap((vm, index) => every(1000, from + index * 10, END, { cause: "connect-failed", vm }));
    const [firstVm] = vms;
    assert.ok(firstVm);
    assert.equal(faultOf(every(1000, from, END, { cause: "platform-unavailable" })), "platform");
    assert.equal(faultOf(every(1000, from, END, { cause: "internal" })), "system");
    assert.equal(faultOf(spread), "system");
    assert.equal(faultOf(everywhere), "undetermined");
    const shortage = [
        ...every(900, from, END, { cause: "connect-failed", vm: firstVm }),
        ...every(300, from + 10 * SECOND, END, { cause: "no-capacity" }),
    ];
    assert.deepEqual(
        explainEvents([...steady, ...shortage], [slotsEdit]).findings.map(({ cause, fault }) => [cause, fault.kind]),
        [
            ["no-capacity", "endpoint"],
            ["connect-failed", "endpoint"],
        ],
    );
});

test("does not exclude an edit because of failures of requests that arrived before it", () => {
    const before: Event = { atMs: EDIT_AT - 10 * SECOND, cause: "deadline" };
    const queued = every(20, EDIT_AT + SECOND, EDIT_AT + 10 * SECOND, { cause: "deadline", revision: 6 });
    const later = every(500, EDIT_AT + 5 * SECOND, END, { cause: "deadline" });
    assert.equal(explainEvents([...steady, before, ...queued, ...later], [slotsEdit]).fault?.kind, "edit");
});

test("does not attribute failures of a VM after its maintenance to the operator who added the VM", () => {
    const [vm] = vms;
    assert.ok(vm);
    const added = edit([{ table: "pools", key: pool, before: poolRow({ vms: vms.slice(1) }), after: poolRow() }], {
        revision: 5,
        at: new Date(START).toISOString(),
    });
    const back = edit(
        [
            {
                table: "assignments",
                key: vm,
                before: { vm, pool, phase: { kind: "maintenance", bootId: "boot-1" } },
                after: { vm, pool, phase: { kind: "serving" } },
            },
        ],
        { author: { kind: "manager", name: "manager-1" } },
    );
    const failed = every(700, EDIT_AT + SECOND, END, { cause: "connect-failed", vm });
    const result = explainEvents([...steady, ...failed], [added, back]);
    assert.deepEqual(result.fault, { kind: "endpoint", vms: [vm] });
});

test("attributes failures to the edit that added the subject only if their cause follows from the tables", () => {
    const adding = edit([{ table: "pools", key: pool, after: poolRow() }]);
    const events = [
        ...every(100, EDIT_AT + SECOND, END),
        ...every(300, EDIT_AT + 2 * SECOND, END, { cause: "deadline" }),
    ];
    assert.equal(explainEvents(events, [adding]).fault?.kind, "undetermined");
    const emptyPool = edit([{ table: "pools", key: pool, after: poolRow({ vms: [], minAvailable: 0 }) }]);
    const withoutVm = every(300, EDIT_AT + 2 * SECOND, END, { cause: "no-vm" });
    assert.equal(explainEvents([...events, ...withoutVm], [emptyPool]).findings[1]?.fault.kind, "edit");
});

test("recognises a burst although single failures occurred in every minute before it", () => {
    const background = every(MINUTE, START + SECOND, END, { cause: "queue-full" });
    const burst = every(20, EDIT_AT + 5 * MINUTE, EDIT_AT + 5 * MINUTE + 10 * SECOND);
    const refused = every(50, EDIT_AT + 5 * MINUTE + SECOND, EDIT_AT + 5 * MINUTE + 10 * SECOND, {
        cause: "queue-full",
    });
    assert.equal(explainEvents([...steady, ...background, ...burst, ...refused], []).fault?.kind, "overload");
});

test("does not attribute a later incident to an edit that was reverted before it", () => {
    const earlier = edit([{ table: "pools", key: pool, before: poolRow(), after: poolRow({ slotsPerVm: 2 }) }], {
        revision: 6,
        at: new Date(EDIT_AT - 2 * MINUTE).toISOString(),
    });
    const revert = edit([{ table: "pools", key: pool, before: poolRow({ slotsPerVm: 2 }), after: poolRow() }]);
    const first = every(500, EDIT_AT - 119 * SECOND, EDIT_AT, { cause: "queue-full" });
    const later = every(500, EDIT_AT + 5 * MINUTE, END, { cause: "queue-full" });
    const events = [...steady, ...first, ...later];
    const whole = explainEvents(events, [earlier, revert]);
    assert.deepEqual(whole.fault, { kind: "edit", revision: 6, author: earlier.author });
    assert.match(whole.findings[0]?.evidence.join("\n") ?? "", /edit 7 by anna took it back/);
    assert.equal(explainEvents(events, [earlier, revert], subject, EDIT_AT + 4 * MINUTE).fault?.kind, "undetermined");
});

test("reports no fault without failures, and still lists the edits", () => {
    const result = explainEvents(steady, [slotsEdit]);
    assert.equal(result.fault, undefined);
    assert.deepEqual(
        result.edits.map(item => [item.revision, item.author.name, item.firstUsedAt]),
        [[7, "anna", new Date(EDIT_AT).toISOString()]],
    );
});
