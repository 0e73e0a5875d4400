import assert from "node:assert/strict";
import test from "node:test";
import { toId } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import { orderSteps } from "@almondusher/scheduler/order-steps";
import fc from "fast-check";
import { addJob, createPool, place, record, step } from "./fixture.js";
import { POOL_RATE, replayLoads, type TenantLoad, type TenantOutcome } from "./shared-pool.js";

const HOT = "hot";
const OTHERS = ["a", "b", "c", "d", "e"];
// All tenants together use nine tenths of the pool.
const USUAL_RATE = (0.9 * POOL_RATE) / (OTHERS.length + 1);
const SURGE_FACTOR = 6;
const SURGE_MS = { from: 10_000, until: 20_000 };
const DURATION_MS = 30_000;
// What a tenant's surge may cost another tenant of its share in time.
const HIGHEST_LOSS = 0.02;

const isSurge = (nowMs: number): boolean => nowMs >= SURGE_MS.from && nowMs < SURGE_MS.until;

const steady = (name: string, weight = 1): TenantLoad => ({ name, weight, rateAt: () => USUAL_RATE });

const surging = (rateBefore: number, weight = 1): TenantLoad => ({
    name: HOT,
    weight,
    rateAt: nowMs => (isSurge(nowMs) ? SURGE_FACTOR * USUAL_RATE : rateBefore),
});

const outcomeOf = (outcomes: readonly TenantOutcome[], name: string): TenantOutcome => {
    const found = outcomes.find(outcome => outcome.name === name);
    assert.ok(found !== undefined);
    return found;
};

const worstOther = (outcomes: readonly TenantOutcome[]): number =>
    Math.min(...OTHERS.map(name => outcomeOf(outcomes, name).inTime));

const completedBy = (outcomes: readonly TenantOutcome[]): number =>
    outcomes.reduce((sum, { completed }) => sum + completed, 0);

const replay = (hot: TenantLoad, hasTenants = true): readonly TenantOutcome[] =>
    replayLoads({ loads: [hot, ...OTHERS.map(name => steady(name))], durationMs: DURATION_MS, hasTenants });

test("a tenant at six times its usual on a full pool costs no other tenant its share in time", () => {
    const usual = replay(steady(HOT));
    const surge = replay(surging(USUAL_RATE));
    assert.ok(worstOther(usual) >= 0.98, `worst without the surge: ${worstOther(usual)}`);
    assert.ok(worstOther(surge) >= worstOther(usual) - HIGHEST_LOSS, `worst with the surge: ${worstOther(surge)}`);
    assert.ok(outcomeOf(surge, HOT).inTime < 0.9, "the tenant delays itself");
    // The load is one that costs the others if shares are not kept, and the shares leave no room unused.
    const withoutShares = replay(surging(USUAL_RATE), false);
    assert.ok(worstOther(withoutShares) < 0.9, `worst without shares: ${worstOther(withoutShares)}`);
    assert.ok(completedBy(surge) >= 0.98 * completedBy(withoutShares));
    assert.ok(outcomeOf(surge, HOT).completed > outcomeOf(usual, HOT).completed);
});

test("a tenant that was quiet is owed nothing for it when it sends six times its usual", () => {
    const surge = replay(surging(0));
    assert.ok(worstOther(surge) >= 1 - HIGHEST_LOSS, `worst: ${worstOther(surge)}`);
});

test("tenants that all want more than their share complete jobs by weight", () => {
    const flood = (name: string, weight: number): TenantLoad => ({ name, weight, rateAt: () => POOL_RATE });
    const outcomes = replayLoads({ loads: [flood("small", 1), flood("large", 3)], durationMs: 2 * DURATION_MS });
    const ratio = outcomeOf(outcomes, "large").completed / outcomeOf(outcomes, "small").completed;
    assert.ok(ratio > 2.5 && ratio < 3.5, `ratio ${ratio}`);
    assert.ok(completedBy(outcomes) > (0.9 * POOL_RATE * 2 * DURATION_MS) / 1000, `completed ${completedBy(outcomes)}`);
});

test("the order of jobs without a tenant does not change, however full the pool and whoever uses it", () => {
    const tenant = toId<TenantName>("a");
    const job = fc.record({
        arrivedAtMs: fc.integer({ min: 0, max: 10_000 }),
        estimateMs: fc.integer({ min: 50, max: 5000 }),
        longRunning: fc.boolean(),
    });
    fc.assert(
        fc.property(fc.array(job, { minLength: 2, maxLength: 12 }), jobs => {
            const orderIn = (hasTenants: boolean): readonly string[] => {
                const tables = createPool({ executors: [record("x")] });
                if (hasTenants) {
                    const cap = { cpu: 0, memoryMb: 0, gpu: 0 };
                    tables.tenants.set(tenant, { name: tenant, weight: 1, keys: [], cap });
                    addJob(tables, { id: "taken", steps: [step({ count: 4 })], tenant });
                    place(tables, 0);
                }
                jobs.forEach(({ arrivedAtMs, estimateMs, longRunning }, index) =>
                    addJob(tables, { id: `${index}`, steps: [step({ estimateMs, longRunning })], arrivedAtMs }),
                );
                return orderSteps(tables, 5000, () => true).map(({ step: { job: open } }) => open.id);
            };
            assert.deepEqual(orderIn(true), orderIn(false));
        }),
        { seed: 20_261_207, numRuns: 200 },
    );
});

test("long-running tasks stay first, and those of a tenant take nothing from its share", () => {
    const tenant = toId<TenantName>("a");
    const tables = createPool({ executors: [record("x")] });
    tables.tenants.set(tenant, { name: tenant, weight: 1, keys: [], cap: { cpu: 0, memoryMb: 0, gpu: 0 } });
    addJob(tables, { id: "short", steps: [step()], tenant });
    addJob(tables, { id: "lasting", steps: [step({ longRunning: true, count: 3 })], tenant });
    assert.deepEqual(
        place(tables, 0).map(({ task }) => task.step.job.id as string),
        ["lasting", "lasting", "lasting", "short"],
    );
});
