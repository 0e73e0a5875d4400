import assert from "node:assert/strict";
import { test } from "node:test";
import { reportPeriodMs } from "../src/report-period.js";

const IDLE = { waiting: 0, vmsInUse: 0, longRunning: 0 };
const GRANT_TTL_MS = 15_000;
const periodMs = (current: object, lastReported: object): number =>
    reportPeriodMs({
        current: { ...IDLE, ...current },
        lastReported: { ...IDLE, ...lastReported },
        grantTtlMs: GRANT_TTL_MS,
    });

test("the end of a long request is reported soon, so that other entries can use its guaranteed slot", () => {
    assert.equal(periodMs({}, { vmsInUse: 1, longRunning: 1 }), 50);
    assert.equal(periodMs({ vmsInUse: 1, longRunning: 1 }, { vmsInUse: 2, longRunning: 2 }), 50);
});

test("the end of all load is reported early, so that the grantor does not count old demand for seconds", () => {
    assert.equal(periodMs({}, { vmsInUse: 1 }), 500);
    assert.equal(periodMs({}, { waiting: 1 }), 500);
});

test("waiting requests are reported every 50 ms, and an idle pool three times within the lifetime of its grant", () => {
    assert.equal(periodMs({ waiting: 1 }, {}), 50);
    assert.equal(periodMs({ vmsInUse: 1 }, {}), 500);
    assert.equal(periodMs({}, {}), 5000);
});
