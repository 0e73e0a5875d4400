import assert from "node:assert/strict";
import test from "node:test";
import fc from "fast-check";
import {
    RESERVED_RUN_NUMBERS,
    initialRunNumbers,
    nextReservation,
    nextToken,
    takeRunNumber,
    type RunNumbers,
} from "@almondusher/scheduler/run-numbers";
import { createPool, place, record, step } from "./fixture.js";

/** Gives as many numbers as asked for and reserved; returns the first and the last one. */
const takeMany = (numbers: RunNumbers, count: number): readonly number[] => {
    const first = count === 0 ? undefined : takeRunNumber(numbers);
    numbers.last = Math.max(numbers.last, Math.min(numbers.last + count - 1, numbers.reservedUpTo));
    return first === undefined ? [] : [first, numbers.last];
};

/** What happens while a lease is held; the last step of each holder is a takeover. */
type HolderStep =
    | { readonly kind: "starts"; readonly count: number }
    | { readonly kind: "renewal"; readonly outcome: "confirmed" | "applied" | "lost" };

const holderStep: fc.Arbitrary<HolderStep> = fc.oneof(
    fc.record({ kind: fc.constant("starts" as const), count: fc.integer({ min: 0, max: 80_000 }) }),
    fc.record({
        kind: fc.constant("renewal" as const),
        outcome: fc.constantFrom("confirmed" as const, "applied" as const, "lost" as const),
    }),
);

test("no run number is given twice or after a higher one, whatever starts, unanswered renewals and takeovers there are", () => {
    fc.assert(
        fc.property(fc.array(fc.array(holderStep, { maxLength: 12 }), { minLength: 2, maxLength: 8 }), holders => {
            let token = 1;
            let highest = 0;
            holders.forEach(steps => {
                const numbers = initialRunNumbers(token);
                let stored = numbers.reservedUpTo;
                steps.forEach(holderStep => {
                    if (holderStep.kind === "starts") {
                        takeMany(numbers, holderStep.count).forEach((number, index) => {
                            assert.ok(index === 0 ? number > highest : number >= highest, `${number} after ${highest}`);
                            highest = number;
                        });
                        return;
                    }
                    const reservation = nextReservation(numbers);
                    stored = holderStep.outcome === "lost" ? stored : reservation;
                    numbers.reservedUpTo = holderStep.outcome === "confirmed" ? reservation : numbers.reservedUpTo;
                });
                token = nextToken({ epoch: token, runNumbersUpTo: stored });
            });
        }),
    );
});

test("the numbers of a successor do not lie below those of a holder that started 200,000 runs under one token", () => {
    const numbers = initialRunNumbers(1);
    for (let renewals = 0; renewals < 4; renewals++) {
        takeMany(numbers, 50_000);
        numbers.reservedUpTo = nextReservation(numbers);
    }
    assert.equal(numbers.last, 265_536);
    const successor = initialRunNumbers(nextToken({ epoch: 1, runNumbersUpTo: numbers.reservedUpTo }));
    assert.ok((takeRunNumber(successor) ?? 0) > numbers.last);
});

test("a burst of 60,000 starts between two renewals does not wait for a reservation", () => {
    const numbers = initialRunNumbers(1);
    const given = Array.from({ length: 60_000 }, () => takeRunNumber(numbers));
    assert.ok(given.every(number => number !== undefined));
    assert.ok(RESERVED_RUN_NUMBERS >= given.length);
});

test("a row of an earlier version, which has no reservation, is followed by numbers above 10^9 starts under its token", () => {
    const token = nextToken({ epoch: 7, runNumbersUpTo: undefined });
    assert.ok(initialRunNumbers(token).last > 7 * 65_536 + 1e9);
});

// An earlier version ignores the reservation and raises the token by one.
test("a holder of an earlier version gives higher numbers than its predecessor did for up to 65,535 starts", () => {
    const numbers = initialRunNumbers(5);
    takeMany(numbers, 65_535);
    assert.ok(6 * 65_536 + 1 > numbers.last);
});

test("a pass that runs out of reserved numbers starts fewer tasks, and the rest after a renewal", () => {
    const tables = createPool({ executors: [record("a")], jobs: [{ id: "j1", steps: [step({ count: 4 })] }] });
    tables.runNumbers.last = tables.runNumbers.reservedUpTo - 3;
    const runs = place(tables);
    assert.deepEqual(
        runs.map(run => tables.runNumbers.reservedUpTo - run.number),
        [2, 1, 0],
    );
    assert.equal(place(tables).length, 0);
    tables.runNumbers.reservedUpTo = nextReservation(tables.runNumbers);
    const later = place(tables);
    assert.equal(later.length, 1);
    assert.ok(later.every(({ number }) => number > Math.max(...runs.map(run => run.number))));
});

test("a gang for which no run number is reserved starts none of its tasks", () => {
    const tables = createPool({
        executors: [record("a")],
        jobs: [{ id: "j1", steps: [step({ count: 3, gang: true })] }],
    });
    tables.runNumbers.last = tables.runNumbers.reservedUpTo;
    assert.equal(place(tables).length, 0);
    tables.runNumbers.reservedUpTo = nextReservation(tables.runNumbers);
    assert.equal(place(tables).length, 3);
});

test("no number beyond the exactly representable ones is given", () => {
    const numbers = initialRunNumbers(2 ** 37 - 1);
    numbers.last = Number.MAX_SAFE_INTEGER - 1;
    numbers.reservedUpTo = nextReservation(numbers);
    assert.equal(takeRunNumber(numbers), Number.MAX_SAFE_INTEGER);
    numbers.reservedUpTo = nextReservation(numbers);
    assert.equal(takeRunNumber(numbers), undefined);
    assert.equal(takeRunNumber(initialRunNumbers(2 ** 37)), undefined);
});
