import assert from "node:assert/strict";
import test from "node:test";
import { isClockReadingOld, leaseUntil, SLOWEST_CLOCK_RATE } from "@almondusher/scheduler/lease-time";
import { createPool, executorOf, record, RUN_LEASE_MS } from "./fixture.js";

const CLOCK_MS = 1000;

const executorWithReading = () => {
    const executor = executorOf(createPool({ executors: [record("a")] }), "a");
    executor.clock = { clockMs: CLOCK_MS, heardAtMs: 0 };
    return executor;
};

// The lease was longer by 2% of the age of the reading, while a successor waits for the requested length only.
test("a lease is not longer than requested on a slow clock whose last reading is old", () => {
    const executor = executorWithReading();
    [0, 700, 60_000, 600_000].forEach(nowMs => {
        const slowClockMs = CLOCK_MS + SLOWEST_CLOCK_RATE * nowMs;
        assert.ok((leaseUntil(executor, nowMs, RUN_LEASE_MS) ?? Infinity) <= slowClockMs + RUN_LEASE_MS);
    });
});

test("a reading counts as old only once half of a lease may be missing, so that ordinary starts ask for none", () => {
    const executor = executorWithReading();
    const halfMissingAtMs = RUN_LEASE_MS / 2 / (1 - SLOWEST_CLOCK_RATE);
    assert.equal(isClockReadingOld(executor, halfMissingAtMs - 1, RUN_LEASE_MS), false);
    assert.equal(isClockReadingOld(executor, halfMissingAtMs + 1, RUN_LEASE_MS), true);
    const fullRateClockMs = CLOCK_MS + halfMissingAtMs;
    assert.ok((leaseUntil(executor, halfMissingAtMs - 1, RUN_LEASE_MS) ?? 0) >= fullRateClockMs + RUN_LEASE_MS / 2 - 1);
});
