import assert from "node:assert/strict";
import test from "node:test";
import { weightedShares } from "@almondusher/shares/weighted-shares";
import fc from "fast-check";

test("what small claims leave is divided by weight among those that want more", () => {
    const claims = [
        { weight: 1, wanted: 10 },
        { weight: 1, wanted: 1000 },
        { weight: 2, wanted: 1000 },
    ];
    assert.deepEqual(weightedShares(claims, 100), [10, 30, 60]);
    assert.deepEqual(weightedShares(claims, 10_000), [10, 1000, 1000]);
    assert.deepEqual(weightedShares(claims, 0), [0, 0, 0]);
    assert.deepEqual(weightedShares([], 5), []);
});

test("no share exceeds its claim, nothing is left while a claim is open, and none with less by weight is passed over", () => {
    const claim = fc.record({
        weight: fc.double({ min: 0.01, max: 100, noNaN: true }),
        wanted: fc.nat({ max: 1_000_000 }),
    });
    fc.assert(
        fc.property(
            fc.array(claim, { minLength: 1, maxLength: 12 }),
            fc.nat({ max: 1_000_000 }),
            (claims, capacity) => {
                const shares = weightedShares(claims, capacity);
                const sum = shares.reduce((total, share) => total + share, 0);
                const wanted = claims.reduce((total, each) => total + each.wanted, 0);
                assert.ok(shares.every((share, index) => share <= (claims[index]?.wanted ?? 0)));
                assert.ok(Math.abs(sum - Math.min(wanted, capacity)) <= 1e-6 * (1 + capacity));
                const levels = claims.map(({ weight }, index) => (shares[index] ?? 0) / weight);
                const unserved = claims.flatMap(({ wanted: all }, index) =>
                    (shares[index] ?? 0) < all * (1 - 1e-9) ? [levels[index] ?? 0] : [],
                );
                assert.ok(unserved.every(level => level >= Math.max(...levels) * (1 - 1e-9)));
            },
        ),
        { seed: 20_261_207, numRuns: 1000 },
    );
});
