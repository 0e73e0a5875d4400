import assert from "node:assert/strict";
import { test } from "node:test";
import { type DataCentreName, type RackName, type VmId, toId } from "@almondusher/fleet/ids";
import fc from "fast-check";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseVm, type VmCandidate } from "../src/choose-vm.js";
import { type EjectionCandidate, type Ejections, recordProbe, updateEjections } from "../src/ejection.js";
import {
    setBorrowedTokens,
    createRetryBudget,
    earnRetryTokens,
    lendTokens,
    lendableTokens,
    spendRetryToken,
} from "../src/retry-budget.js";
import { createRunTimes, recordRunTime, runTimeOf } from "../src/run-times.js";

const SEED = 20_261_204;

const candidate = (index: number, overrides: Partial<VmCandidate> = {}): VmCandidate => ({
    vm: toId<VmId>(`vm-${index}`),
    dataCentre: toId<DataCentreName>(`dc-${index % 3}`),
    slots: 8,
    inFlight: 0,
    weight: 1,
    latencyMs: undefined,
    ...overrides,
});

test(`a VM without a free slot is never chosen, and one with a free slot is always found (seed ${SEED})`, () => {
    const loads = fc.array(fc.integer({ min: 0, max: 9 }), { maxLength: 12 });
    fc.assert(
        fc.property(loads, fc.integer(), (inFlights, seed) => {
            const candidates = inFlights.map((inFlight, index) => candidate(index, { inFlight }));
            const random = xoroshiro128plus(seed);
            const vm = chooseVm({ candidates, dataCentre: toId<DataCentreName>("dc-0"), random });
            const chosen = candidates.find(row => row.vm === vm);
            assert.equal(
                chosen !== undefined,
                inFlights.some(inFlight => inFlight < 8),
            );
            assert.ok(chosen === undefined || chosen.inFlight < chosen.slots);
        }),
        { seed: SEED },
    );
});

test(`the caller's data centre is preferred at equal load, but not at higher load (seed ${SEED})`, () => {
    const dataCentre = toId<DataCentreName>("dc-0");
    const localShare = (inFlight: number): number => {
        const random = xoroshiro128plus(SEED);
        const candidates = [0, 1, 2, 3, 4, 5].map(index =>
            candidate(index, { inFlight: index % 3 === 0 ? inFlight : 2 }),
        );
        const chosen = Array.from({ length: 2_000 }, () => chooseVm({ candidates, dataCentre, random }));
        return chosen.filter(vm => vm === "vm-0" || vm === "vm-3").length / chosen.length;
    };
    // Two of six VMs are local: a pair of the fifteen has a local one with probability 9/15.
    assert.ok(Math.abs(localShare(2) - 0.6) < 0.05, `${localShare(2)}`);
    assert.ok(localShare(5) < 0.1, `${localShare(5)}`);
});

const poolOf = (failing: readonly number[]): EjectionCandidate[] =>
    Array.from({ length: 12 }, (unused, index) => ({
        vm: toId<VmId>(`vm-${index}`),
        rack: toId<RackName>(`rack-${Math.floor(index / 4)}`),
        dataCentre: toId<DataCentreName>(`dc-${Math.floor(index / 4)}`),
        failureRate: failing.includes(index) ? 0.9 : 0,
        failures: failing.includes(index) ? 20 : 0,
    }));

const ejected = (failing: readonly number[]): string[] =>
    [...updateEjections({ ejections: new Map(), candidates: poolOf(failing), now: 0 }).keys()].sort();

test("ejection is limited, ejects a failed rack as a whole, and stops when most of the pool fails", () => {
    assert.deepEqual(ejected([1]), ["vm-1"]);
    assert.equal(ejected([0, 1, 4, 5, 8]).length, 3);
    assert.deepEqual(ejected([0, 1, 2, 3]), ["vm-0", "vm-1", "vm-2", "vm-3"]);
    assert.deepEqual(ejected([0, 1, 2, 3, 8]), ["vm-0", "vm-1", "vm-2", "vm-3"]);
    assert.deepEqual(ejected([0, 1, 2, 3, 4, 5, 6, 7]), []);
});

test("an ejected VM is probed after its backoff; successes return it to service, a failure doubles the backoff", () => {
    const vm = toId<VmId>("vm-1");
    const update = (ejections: Ejections, now: number): Ejections =>
        updateEjections({ ejections, candidates: poolOf([]), now });
    const first = updateEjections({ ejections: new Map(), candidates: poolOf([1]), now: 0 });
    assert.equal(update(first, 4_999).get(vm)?.phase, "ejected");
    const probing = update(first, 5_000);
    assert.equal(probing.get(vm)?.phase, "probing");
    const again = recordProbe({ ejections: probing, vm, success: false, now: 5_100 });
    assert.equal(again.get(vm)?.until, 15_100);
    const returned = [1, 2, 3].reduce<Ejections>(
        ejections => recordProbe({ ejections, vm, success: true, now: 15_200 }),
        update(again, 15_100),
    );
    assert.equal(returned.size, 0);
});

test(`retries never exceed the earned, minimum and borrowed tokens (seed ${SEED})`, () => {
    const step = fc.constantFrom("success", "retry", "wait");
    fc.assert(
        fc.property(fc.array(step, { maxLength: 400 }), steps => {
            let budget = setBorrowedTokens(createRetryBudget(0), 5, 1_000_000);
            let now = 0;
            let successes = 0;
            let retries = 0;
            steps.forEach(kind => {
                if (kind === "success") {
                    successes += 1;
                    budget = earnRetryTokens(budget);
                } else if (kind === "wait") {
                    now += 1_000;
                } else {
                    const decision = spendRetryToken(budget, now);
                    budget = decision.budget;
                    retries += decision.granted ? 1 : 0;
                }
            });
            assert.ok(retries <= 3 + 5 + 0.1 * successes + 0.5 * (now / 1_000) + 1e-6);
        }),
        { seed: SEED },
    );
});

test("lent tokens are removed from the lender and expire at the borrower", () => {
    const rich = Array.from({ length: 200 }).reduce<ReturnType<typeof earnRetryTokens>>(
        budget => earnRetryTokens(budget),
        createRetryBudget(0),
    );
    const spare = lendableTokens(rich);
    assert.equal(lendTokens(rich, spare + 50).tokens, rich.tokens - spare);
    const empty = { ...createRetryBudget(0), tokens: 0 };
    assert.equal(spendRetryToken(setBorrowedTokens(empty, 1, 100), 99).granted, true);
    assert.equal(spendRetryToken(setBorrowedTokens(empty, 1, 100), 100).granted, false);
});

test(`estimated run times are close to the mean and the 95th percentile (seed ${SEED})`, context => {
    const random = xoroshiro128plus(SEED);
    const runTimes = createRunTimes();
    let above = 0;
    const samples = 20_000;
    for (let index = 0; index < samples; index += 1) {
        const elapsedMs = -200 * Math.log(1 - uniformFloat64(random));
        above += index >= samples / 2 && elapsedMs > (runTimeOf(runTimes, "route")?.p95 ?? 0) ? 1 : 0;
        recordRunTime(runTimes, "route", elapsedMs);
    }
    const estimated = runTimeOf(runTimes, "route");
    const shareAbove = above / (samples / 2);
    context.diagnostic(
        `mean ${estimated?.mean.toFixed(0)} ms of 200 ms, ${(100 * shareAbove).toFixed(1)}% above the estimate`,
    );
    assert.ok(Math.abs((estimated?.mean ?? 0) - 200) < 100);
    assert.ok(shareAbove > 0.03 && shareAbove < 0.07);
});
