import assert from "node:assert/strict";
import { test } from "node:test";
import { reportPeriodMs } from "../src/report-period.js";

const QUIET = { waiting: 0, vmsInUse: 0, longRunning: 0 };
const GRANT_TTL_MS = 15_000;
const periodMs = (now: object, reported: object): number =>
    reportPeriodMs({ now: { ...QUIET, ...now }, reported: { ...QUIET, ...reported }, grantTtlMs: GRANT_TTL_MS });

test("the end of a long request that is not reported soon would keep a guaranteed slot from requests of other entries", () => {
    assert.equal(periodMs({}, { vmsInUse: 1, longRunning: 1 }), 50);
    assert.equal(periodMs({ vmsInUse: 1, longRunning: 1 }, { vmsInUse: 2, longRunning: 2 }), 50);
});

test("the end of all work is reported before a quiet pool is, as its demand would count for seconds", () => {
    assert.equal(periodMs({}, { vmsInUse: 1 }), 500);
    assert.equal(periodMs({}, { waiting: 1 }), 500);
});

test("requests that wait are reported at once, and a quiet pool a few times in the lifetime of its grant", () => {
    assert.equal(periodMs({ waiting: 1 }, {}), 50);
    assert.equal(periodMs({ vmsInUse: 1 }, {}), 500);
    assert.equal(periodMs({}, {}), 5000);
});
