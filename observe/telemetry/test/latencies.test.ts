import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type PoolName, type RouteName } from "@almondusher/fleet/ids";
import { createLatencies, latencyMemoryBytes, recordLatency, summarizeLatencies } from "../src/latencies.js";

const labels = (route: string) => ({
    route: toId<RouteName>(route),
    pool: toId<PoolName>("letters"),
    urgency: "normal" as const,
    outcome: "completed" as const,
});

const HOUR_MICROSECONDS = 3_600_000_000;

test("percentiles are within 1% of the exact values for latencies of up to an hour", () => {
    const latencies = createLatencies();
    Array.from({ length: 1000 }, (unusedItem, index) => (index + 1) * (HOUR_MICROSECONDS / 1000)).forEach(value =>
        recordLatency(latencies, labels("r"), value),
    );
    const [summary] = summarizeLatencies(latencies);
    assert.ok(summary);
    assert.equal(summary.count, 1000);
    assert.equal(summary.max, HOUR_MICROSECONDS);
    [
        [summary.p50, 0.5],
        [summary.p90, 0.9],
        [summary.p99, 0.99],
        [summary.p999, 0.999],
    ].forEach(([value, share]) => {
        const expected = (share ?? 0) * HOUR_MICROSECONDS;
        assert.ok(Math.abs((value ?? 0) / expected - 1) < 0.01, `${value} is not within 1% of ${expected}`);
    });
});

test("records values out of range without throwing", () => {
    const latencies = createLatencies();
    [-5, 1e15].forEach(value => recordLatency(latencies, labels("r"), value));
    const [summary] = summarizeLatencies(latencies);
    assert.equal(summary?.count, 2);
    assert.equal(summary?.max, 1e15);
});

test("the histograms of 2,000 routes take less than 30 MB", () => {
    const latencies = createLatencies();
    Array.from({ length: 2000 }, (unusedItem, index) => labels(`r${index}`)).forEach(item =>
        recordLatency(latencies, item, 100),
    );
    const summaries = summarizeLatencies(latencies);
    assert.equal(summaries.length, 1537);
    assert.equal(
        summaries.reduce((sum, row) => sum + row.count, 0),
        2000,
    );
    const megabytes = latencyMemoryBytes(latencies) / 1e6;
    assert.ok(megabytes < 30, `${megabytes} MB`);
});
