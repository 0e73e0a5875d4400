import assert from "node:assert/strict";
import { test } from "node:test";
import { toId } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import { createDemandHistory, estimateDemand } from "../src/demand.js";
import type { PoolTables } from "../src/pool-tables.js";
import { allRuns, forgetRun, giveUpRun } from "../src/run-table.js";
import { tenantDemands, tenantUse } from "../src/tenant-room.js";
import { surveyWaiting } from "../src/waiting-reason.js";
import { createPool, place, record, step, UNLIMITED_BUDGET, type JobFixture } from "./fixture.js";

const TENANT = toId<TenantName>("tenant");
const OTHER = toId<TenantName>("other");
const cores = (cpu: number): Resources => ({ cpu: cpu * 1000, memoryMb: 0, gpu: 0 });

/** A pool of four executors with 4 cores each, and a tenant with a cap of 8 cores. */
const poolWithCap = (jobs: readonly JobFixture[], grantedCores: number): PoolTables => {
    const tables = createPool({ executors: ["e1", "e2", "e3", "e4"].map(id => record(id)), jobs });
    tables.tenants.set(TENANT, { name: TENANT, keys: [], weight: 1, cap: cores(8) });
    tables.tenants.set(OTHER, { name: OTHER, keys: [], weight: 1, cap: cores(0) });
    tables.tenantGrants.set(TENANT, cores(grantedCores));
    return tables;
};

test("tasks of a tenant start up to its grant, and other tasks are not limited", () => {
    const tables = poolWithCap(
        [
            { id: "0000000000000001", tenant: TENANT, steps: [step({ count: 9 })] },
            { id: "0000000000000002", tenant: OTHER, steps: [step({ count: 3 })] },
            { id: "0000000000000003", steps: [step({ count: 2 })] },
        ],
        4,
    );
    const tenants = place(tables).map(({ task }) => task.step.job.job.tenant);
    assert.deepEqual(
        [TENANT, OTHER, undefined].map(tenant => tenants.filter(name => name === tenant).length),
        [4, 3, 2],
    );
    assert.deepEqual(place(tables), []);
});

test("a pool without a grant starts nothing for a tenant with a cap", () => {
    const tables = poolWithCap([{ id: "0000000000000001", tenant: TENANT, steps: [step()] }], 4);
    tables.tenantGrants.clear();
    assert.deepEqual(place(tables), []);
});

test("a pool stays within the cap of its own configuration whatever it was granted", () => {
    const tables = poolWithCap([{ id: "0000000000000001", tenant: TENANT, steps: [step({ count: 12 })] }], 100);
    assert.equal(place(tables).length, 8);
});

test("a gang starts as a whole or not at all", () => {
    const tables = poolWithCap(
        [{ id: "0000000000000001", tenant: TENANT, steps: [step({ count: 5, gang: true })] }],
        4,
    );
    assert.deepEqual(place(tables), []);
    tables.tenantGrants.set(TENANT, cores(5));
    assert.equal(place(tables).length, 5);
});

test("runs that are being stopped and starts that may still arrive count", () => {
    const tables = poolWithCap([{ id: "0000000000000001", tenant: TENANT, steps: [step({ count: 9 })] }], 4);
    const [stopped, lost] = place(tables);
    assert.ok(stopped !== undefined && lost !== undefined);
    stopped.phase = "stopping";
    giveUpRun(lost, "lease-expired", 0);
    assert.deepEqual(tenantUse(tables, new Set([TENANT]), 0).get(TENANT), { cpu: 4000, memoryMb: 400, gpu: 0 });
    assert.deepEqual(place(tables), []);
});

test("a task that its tenant's cap keeps back says so, holds no room and asks for no VMs beyond the cap", () => {
    const tables = poolWithCap(
        [
            {
                id: "0000000000000001",
                tenant: TENANT,
                steps: [step({ demand: { ...cores(4), memoryMb: 1 }, longRunning: true })],
            },
            { id: "0000000000000002", steps: [step({ count: 16 })] },
        ],
        2,
    );
    assert.equal(place(tables).length, 16);
    const [task] = [...tables.jobs.values()][0]?.occurrences.get(0)?.[0]?.tasks ?? [];
    assert.ok(task !== undefined);
    const survey = surveyWaiting(tables, { nowMs: 0, budget: UNLIMITED_BUDGET, executorsWithTicket: () => undefined });
    assert.equal(survey.reasonOf(task).kind, "tenant-cap");
    assert.equal(task.reservation, undefined);
});

test("work beyond a cap asks for no VMs", () => {
    const wantedVms = (tenant: TenantName): number | undefined =>
        estimateDemand(
            poolWithCap([{ id: "0000000000000001", tenant, steps: [step({ count: 200 })] }], 8),
            createDemandHistory(),
            0,
        )?.neededVms;
    assert.equal(wantedVms(TENANT), 3);
    assert.ok((wantedVms(OTHER) ?? 0) > 3);
});

test("a pool wants what its ready tasks could use, at most its capacity, and names the next gang", () => {
    const tables = poolWithCap(
        [
            {
                id: "0000000000000001",
                tenant: TENANT,
                steps: [step({ count: 3, gang: true }), step({ count: 40, after: [0] })],
            },
        ],
        8,
    );
    const [demand] = tenantDemands(tables, 0);
    assert.deepEqual(demand, {
        tenant: TENANT,
        used: { cpu: 0, memoryMb: 0, gpu: 0 },
        wanted: { cpu: 3000, memoryMb: 300, gpu: 0 },
        unit: { cpu: 3000, memoryMb: 300, gpu: 0 },
    });
});

test("a pool that is full of others' runs wants its next task and an eighth of its capacity, not all that waits", () => {
    const tables = poolWithCap(
        [
            { id: "0000000000000001", tenant: OTHER, steps: [step({ count: 16 })] },
            { id: "0000000000000002", tenant: TENANT, steps: [step({ count: 40 })] },
        ],
        0,
    );
    assert.equal(place(tables).length, 16);
    assert.equal(tenantDemands(tables, 0)[0]?.wanted.cpu, 2000);
    allRuns(tables).forEach(forgetRun);
    assert.equal(tenantDemands(tables, 0)[0]?.wanted.cpu, 16_000);
});
