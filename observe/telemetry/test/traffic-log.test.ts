import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type PoolName, type ProcessId, type RouteName } from "@almondusher/fleet/ids";
import { createTrafficLog, listTraffic, recordArrival, recordFailure } from "../src/traffic-log.js";
import { createRevisionUseLog, firstUses, listRevisionUse, recordRevisionUse } from "../src/revision-use.js";

const process = toId<ProcessId>("entry-1");
const pool = toId<PoolName>("letters");
const MINUTE_MS = 60_000;

test("stays within its limits and counts all failures and arrivals of the minutes that it keeps", () => {
    const log = createTrafficLog({ process, maxMinutes: 3, maxRowsPerMinute: 10 });
    Array.from({ length: 5 }, (unusedItem, minute) => minute * MINUTE_MS).forEach(atMs =>
        Array.from({ length: 100 }, (unusedItem, index) => toId<RouteName>(`r${index}`)).forEach(route => {
            recordFailure(log, { cause: "deadline", route, pool, revision: 1 }, atMs);
            recordArrival(log, { route, pool }, atMs);
        }),
    );
    const { failures, arrivals } = listTraffic(log, 0, 10 * MINUTE_MS);
    assert.equal(failures.length, 3 * 11);
    assert.equal(
        failures.reduce((sum, row) => sum + row.count, 0),
        300,
    );
    assert.equal(
        arrivals.reduce((sum, row) => sum + row.count, 0),
        300,
    );
});

test("records a burst of one second in the peak of its minute", () => {
    const log = createTrafficLog({ process });
    const route = toId<RouteName>("r");
    Array.from({ length: 60 }, (unusedItem, second) => second * 1000).forEach(atMs =>
        recordArrival(log, { route, pool }, atMs),
    );
    Array.from({ length: 40 }, () => recordArrival(log, { route, pool }, 59_500));
    assert.deepEqual(listTraffic(log, 0, MINUTE_MS).arrivals, [
        { route, pool, process, minuteMs: 0, count: 100, peakPerSecond: 41 },
    ]);
});

test("keeps all failures and the order of the minutes when the clock is set back", () => {
    const log = createTrafficLog({ process });
    [5 * MINUTE_MS, MINUTE_MS].forEach(atMs => recordFailure(log, { cause: "internal", revision: 1 }, atMs));
    const { failures } = listTraffic(log, 0, 10 * MINUTE_MS);
    assert.deepEqual(
        failures.map(row => [row.minuteMs, row.count, row.firstAtMs]),
        [[5 * MINUTE_MS, 2, 5 * MINUTE_MS]],
    );
});

test("counts the use of a later revision as use of a skipped one, and keeps the table within its limit", () => {
    const use = createRevisionUseLog(3);
    [1, 4, 3, 4, 6].forEach((revision, index) => recordRevisionUse(use, { process, revision, sinceMs: index }));
    assert.deepEqual(
        listRevisionUse(use).map(row => row.revision),
        [1, 4, 6],
    );
    assert.equal(firstUses(use.rows, 2)[0]?.sinceMs, 1);
    recordRevisionUse(use, { process, revision: 7, sinceMs: 9 });
    assert.equal(listRevisionUse(use).length, 3);
});
