import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeLease, emptyLeaseContent, encodeLease, type LeaseRecord } from "../src/leases/lease-rows.js";
import { storedStarts, undeliveredStartsOf } from "../src/leases/undelivered-start-rows.js";

const STORE_AHEAD_MS = 1_000_000;
const START = { executor: "a" as never, task: "j1.0.0.0" as never, number: 65_537, sentAtMs: 500 };

const lease: LeaseRecord = {
    ...emptyLeaseContent,
    holder: undefined,
    process: undefined,
    epoch: 2,
    runNumbersUpTo: undefined,
    undeliveredStarts: storedStarts([START], STORE_AHEAD_MS),
};

/** The stored lease with another value of the field. */
const withStarts = (undeliveredStarts: unknown): string =>
    JSON.stringify({ ...(JSON.parse(encodeLease(lease)) as object), undeliveredStarts });

test("the next holder reads the undelivered starts from the lease row, with their times on its own clock", () => {
    const read = decodeLease(encodeLease(lease));
    assert.ok(read !== undefined);
    assert.deepEqual(undeliveredStartsOf(read.undeliveredStarts, STORE_AHEAD_MS - 200), [{ ...START, sentAtMs: 700 }]);
});

test("a lease row without undelivered starts, or with malformed ones, is read without them", () => {
    [undefined, 5, "text", [{ executor: 1 }], [{ ...START, number: 0.5 }], [{ ...START, sentAtMs: "1" }]].forEach(
        starts => {
            const read = decodeLease(withStarts(starts));
            assert.deepEqual(read, { ...decodeLease(encodeLease(lease)), undeliveredStarts: [] });
        },
    );
});
