import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyLeaseContent, type LeaseRecord } from "../src/leases/lease-rows.js";
import {
    inheritedRunsUntilMs,
    inheritedWaitMs,
    mayActOnLease,
    MAX_LEASE_AGE_MS,
    RUN_LEASE_MS,
    takeoverWaitMs,
} from "../src/executors/run-leases.js";

const SLOWEST_CLOCK_RATE = 0.98;

test("a takeover waits until the last run that the previous holder could extend has ended on the slowest clock", () => {
    // The previous holder last renewed its lease at 0 and extends a run at the last possible moment. The takeover
    // happens before that.
    const runEndsMs = MAX_LEASE_AGE_MS + RUN_LEASE_MS / SLOWEST_CLOCK_RATE;
    [0, 2000, 5000].forEach(unrenewedMs =>
        assert.ok(unrenewedMs + takeoverWaitMs({ predecessorEnded: false, unrenewedMs }) >= runEndsMs),
    );
});

test("time without renewals that was observed before the takeover is deducted from the wait", () => {
    const reducedWaitMs = takeoverWaitMs({ predecessorEnded: false, unrenewedMs: 2000 });
    assert.equal(takeoverWaitMs({ predecessorEnded: false, unrenewedMs: 0 }) - reducedWaitMs, 2000);
});

test("the wait is the duration of one run lease if the previous holder has ended or stopped renewing long ago", () => {
    const runLeaseMs = RUN_LEASE_MS / SLOWEST_CLOCK_RATE;
    assert.equal(takeoverWaitMs({ predecessorEnded: true, unrenewedMs: 0 }), runLeaseMs);
    assert.equal(takeoverWaitMs({ predecessorEnded: false, unrenewedMs: 60_000 }), runLeaseMs);
});

test("a holder rejected for an outdated fencing token stops acting until a later renewal is confirmed", () => {
    assert.equal(mayActOnLease({ leaseAgeMs: 300, sinceFencedMs: 100 }), false);
    assert.equal(mayActOnLease({ leaseAgeMs: 50, sinceFencedMs: 100 }), true, "a renewal was confirmed since");
    assert.equal(mayActOnLease({ leaseAgeMs: MAX_LEASE_AGE_MS, sinceFencedMs: Infinity }), false);
});

const recordWith = (change: Partial<LeaseRecord>): LeaseRecord => ({
    ...emptyLeaseContent,
    holder: undefined,
    process: undefined,
    epoch: 2,
    runNumbersUpTo: undefined,
    ...change,
});

test("a holder that takes a lease over from one that held it briefly waits for the runs of the holder before that", () => {
    const storeNowMs = 100_000;
    const first = { predecessor: recordWith({}), predecessorEnded: false, unrenewedMs: 2000 };
    const untilMs = inheritedRunsUntilMs(first, storeNowMs);
    assert.ok(untilMs >= storeNowMs + takeoverWaitMs(first));
    const released = recordWith({ inheritedRunsUntilMs: untilMs });
    const second = { predecessor: released, predecessorEnded: true, unrenewedMs: 0 };
    assert.equal(inheritedRunsUntilMs(second, storeNowMs + 300), untilMs);
    const later = untilMs + 60_000;
    assert.ok(inheritedRunsUntilMs(second, later) >= later + takeoverWaitMs(second), "the earlier wait is over");
});

// A store whose clock is set back, or a row of another writer, kept the tasks of earlier jobs waiting without end, and each
// holder passed the time on to the next one.
test("a time in the lease row that is later than any run can end does not prolong the wait", () => {
    const storeNowMs = 100_000;
    const longestMs = MAX_LEASE_AGE_MS + RUN_LEASE_MS / SLOWEST_CLOCK_RATE;
    const odd = recordWith({ inheritedRunsUntilMs: storeNowMs + 3_600_000 });
    const takeover = { predecessor: odd, predecessorEnded: true, unrenewedMs: 0 };
    const waitMs = inheritedWaitMs(takeover, storeNowMs);
    assert.ok(waitMs >= longestMs && waitMs <= longestMs + 1000);
    const untilMs = inheritedRunsUntilMs(takeover, storeNowMs);
    assert.ok(untilMs >= storeNowMs + longestMs && untilMs <= storeNowMs + longestMs + 1000);
});

test("a holder waits as long as its predecessor would have, also if that one has released the lease", () => {
    const storeNowMs = 100_000;
    const first = { predecessor: recordWith({}), predecessorEnded: false, unrenewedMs: 0 };
    const untilMs = inheritedRunsUntilMs(first, storeNowMs);
    const released = recordWith({ inheritedRunsUntilMs: untilMs });
    const second = { predecessor: released, predecessorEnded: true, unrenewedMs: 0 };
    assert.equal(inheritedWaitMs(second, storeNowMs + 300), untilMs - storeNowMs - 300);
    assert.equal(inheritedWaitMs(second, untilMs + 1), takeoverWaitMs(second));
});
