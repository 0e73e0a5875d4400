import assert from "node:assert/strict";
import { test } from "node:test";
import type { Assignment } from "../src/assignment.js";
import { applyEdit, type Change, type Edit } from "../src/edit.js";
import { hasCode } from "../src/fleet-error.js";
import { emptyFleetState, formatSnapshot, parseSnapshot } from "../src/fleet-state.js";
import { type EditId, type PoolName, toId, type VmId } from "../src/ids.js";
import { diffTables, parseTableFile } from "../src/table-file.js";

const tables = (overrides: { minAvailable?: number; routePool?: string; secondPoolVms?: string[] } = {}) =>
    JSON.stringify({
        routes: [{ name: "letters", pathPrefix: "/letters", pool: overrides.routePool ?? "letters", team: "notaries" }],
        pools: [
            { name: "letters", vms: ["vm-1", "vm-2"], minAvailable: overrides.minAvailable ?? 1 },
            { name: "spare", vms: overrides.secondPoolVms ?? ["vm-3"], minAvailable: 0, spare: true },
        ],
    });

const editOf = (changes: readonly Change[], id = "edit-1"): Edit => ({
    editId: toId<EditId>(id),
    author: { kind: "operator", name: "anna" },
    at: "2026-12-04T09:00:00Z",
    reason: "test",
    changes: [...changes],
});

const applyTables = (text: string, state = emptyFleetState) =>
    applyEdit(state, editOf(diffTables(state, parseTableFile("tables.json", text))));

test("an edit increments the revision, and a state survives being written as a snapshot and read back", () => {
    const state = applyTables(tables());
    assert.equal(state.revision, 1);
    assert.equal(formatSnapshot(parseSnapshot(formatSnapshot(state))), formatSnapshot(state));
    assert.deepEqual(diffTables(state, parseTableFile("tables.json", tables())), []);
});

test("rejects a route to an unknown pool with an error that names both", () => {
    assert.throws(
        () => applyTables(tables({ routePool: "nowhere" })),
        error => hasCode(error, "invalid-edit") && error.details.some(line => /letters.*nowhere/.test(line)),
    );
});

test("rejects a VM that is listed in two pools", () => {
    assert.throws(
        () => applyTables(tables({ secondPoolVms: ["vm-1"] })),
        error => hasCode(error, "invalid-edit") && error.details.some(line => line.includes("vm-1")),
    );
});

test("rejects an availability budget that leaves no VM for maintenance", () => {
    assert.throws(
        () => applyTables(tables({ minAvailable: 2 })),
        error => hasCode(error, "invalid-edit"),
    );
});

test("the second of two edits of one row prepared on the same state is rejected as a conflict that names the row", () => {
    const state = applyTables(tables());
    const first = editOf(diffTables(state, parseTableFile("a.json", tables({ minAvailable: 0 }))), "edit-a");
    const second = editOf(
        diffTables(
            state,
            parseTableFile("b.json", tables().replace('"minAvailable":1', '"minAvailable":1,"slotsPerVm":4')),
        ),
        "edit-b",
    );
    const accepted = applyEdit(state, first);
    assert.throws(
        () => applyEdit(accepted, second),
        error => hasCode(error, "edit-conflict") && error.details.some(line => line.includes("pools letters")),
    );
});

test("an operator cannot write assignments", () => {
    const change: Change = {
        table: "assignments",
        key: toId("vm-1"),
        after: { vm: toId("vm-1"), pool: toId("letters"), phase: { kind: "serving" } },
    };
    assert.throws(
        () => applyEdit(emptyFleetState, editOf([change])),
        error => hasCode(error, "invalid-edit"),
    );
});

test("rejects a drain with an older revision than its edit, which entries could confirm before they apply the edit", () => {
    const vm = toId<VmId>("vm-1");
    const serving: Assignment = { vm, pool: toId("letters"), phase: { kind: "serving" } };
    const drain = (sinceRevision: number): Assignment => ({
        ...serving,
        phase: { kind: "draining", purpose: { kind: "maintenance" }, sinceRevision },
    });
    const manager = (changes: readonly Change[]): Edit => ({
        ...editOf(changes),
        author: { kind: "manager", name: "m" },
    });
    const change = (before: Assignment, after: Assignment): Change => ({
        table: "assignments",
        key: vm,
        before,
        after,
    });
    const state = applyEdit(emptyFleetState, manager([{ table: "assignments", key: vm, after: serving }]));
    assert.throws(
        () => applyEdit(state, manager([change(serving, drain(1))])),
        error => hasCode(error, "invalid-edit") && error.details.some(line => line.includes("vm-1")),
    );
    const draining = applyEdit(state, manager([change(serving, drain(2))]));
    const redirected = { ...drain(2), loanedTo: toId<PoolName>("spare") };
    assert.equal(applyEdit(draining, manager([change(drain(2), redirected)])).revision, 3);
});
