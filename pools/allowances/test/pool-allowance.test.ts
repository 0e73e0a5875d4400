import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type PoolName } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import type { Allowances, PoolUse } from "../src/allowances.js";
import { grantOf, inheritAllowance, reportUse, withDivision, withRunsKnown } from "../src/pool-allowance.js";

const TENANT = toId<TenantName>("tenant");
const POOL = toId<PoolName>("pool");
const amount = (cpu: number): Resources => ({ cpu, memoryMb: 0, gpu: 0 });
const division = (revision: number, cpu: number): Allowances => ({
    revision,
    entries: [{ tenant: TENANT, pool: POOL, granted: amount(cpu), reserved: amount(cpu), revision }],
});
const REPORTED: PoolUse = {
    acknowledged: 5,
    tenants: [{ tenant: TENANT, held: amount(8), wanted: amount(9), unit: amount(1) }],
};

test("a successor goes by no division that is older than the one its predecessor has acknowledged", () => {
    const inherited = withRunsKnown(inheritAllowance(REPORTED));
    assert.deepEqual(grantOf(withDivision(inherited, POOL, division(4, 7)), TENANT), amount(0));
    assert.deepEqual(grantOf(withDivision(inherited, POOL, division(5, 7)), TENANT), amount(7));
});

test("until the runs of its predecessor are known a successor grants nothing and repeats what was reported", () => {
    const inherited = withDivision(inheritAllowance(REPORTED), POOL, division(6, 7));
    const measured = [{ tenant: TENANT, used: amount(0), wanted: amount(3), unit: amount(1) }];
    assert.deepEqual(grantOf(inherited, TENANT), amount(0));
    assert.deepEqual(reportUse(inherited, measured), REPORTED);
    assert.deepEqual(reportUse(withRunsKnown(inherited), measured), {
        acknowledged: 6,
        tenants: [{ tenant: TENANT, held: amount(7), wanted: amount(3), unit: amount(1) }],
    });
});

test("a pool reports the larger one of its grant and what its runs use", () => {
    const allowance = withDivision(withRunsKnown(inheritAllowance(undefined)), POOL, division(1, 7));
    const measured = [{ tenant: TENANT, used: amount(12), wanted: amount(12), unit: amount(0) }];
    assert.deepEqual(reportUse(allowance, measured).tenants[0]?.held, amount(12));
});

test("a division without the tenant takes its grant away", () => {
    const before = withDivision(withRunsKnown(inheritAllowance(undefined)), POOL, division(1, 7));
    assert.deepEqual(grantOf(withDivision(before, POOL, { revision: 2, entries: [] }), TENANT), amount(0));
});
