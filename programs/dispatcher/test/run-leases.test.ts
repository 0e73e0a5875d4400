import assert from "node:assert/strict";
import { test } from "node:test";
import { mayActOnLease, RUN_LEASE_MS, takeoverWaitMs, MAX_LEASE_AGE_MS } from "../src/run-leases.js";

const SLOWEST_CLOCK_RATE = 0.98;

test("a successor waits until the last run that its predecessor could extend has ended, on the slowest clock", () => {
    // The predecessor renewed last at 0 and extends a run at the end of its time; the successor takes over in between.
    const runEndsMs = MAX_LEASE_AGE_MS + RUN_LEASE_MS / SLOWEST_CLOCK_RATE;
    [0, 2000, 5000].forEach(unrenewedMs =>
        assert.ok(unrenewedMs + takeoverWaitMs({ predecessorEnded: false, unrenewedMs }) >= runEndsMs),
    );
});

test("the time without renewals that was seen before the takeover is not waited for again", () => {
    const seen = takeoverWaitMs({ predecessorEnded: false, unrenewedMs: 2000 });
    assert.equal(takeoverWaitMs({ predecessorEnded: false, unrenewedMs: 0 }) - seen, 2000);
});

test("runs outlast a predecessor that has ended, or that stopped long ago, by their lease", () => {
    const lease = RUN_LEASE_MS / SLOWEST_CLOCK_RATE;
    assert.equal(takeoverWaitMs({ predecessorEnded: true, unrenewedMs: 0 }), lease);
    assert.equal(takeoverWaitMs({ predecessorEnded: false, unrenewedMs: 60_000 }), lease);
});

test("a holder that an executor has fenced would go on sending starts that are rejected until a renewal fails", () => {
    assert.equal(mayActOnLease({ leaseAgeMs: 300, sinceFencedMs: 100 }), false);
    assert.equal(mayActOnLease({ leaseAgeMs: 50, sinceFencedMs: 100 }), true, "a renewal was confirmed since");
    assert.equal(mayActOnLease({ leaseAgeMs: MAX_LEASE_AGE_MS, sinceFencedMs: Infinity }), false);
});
