import assert from "node:assert/strict";
import { test } from "node:test";
import { kindOf } from "@almondusher/run-times/run-kind";
import { expectedMs, learnFinishedRun } from "@almondusher/run-times/run-time-model";
import { decodeRunTimes, MAX_STATE_CHARS } from "@almondusher/run-times/run-time-state";
import { decodeLease, emptyLeaseContent, encodeLease } from "../src/leases/lease-rows.js";
import { createPublishedRunTimes } from "../src/pool/published-run-times.js";
import { emptyTables } from "./fixture.js";

const subject = () => ({
    kind: kindOf(
        { queue: "queue" as never, tenant: undefined },
        { estimateMs: 1000, demand: { cpu: 1000, memoryMb: 1, gpu: 0 }, image: undefined },
    ),
    step: {},
});

const record = {
    ...emptyLeaseContent,
    holder: undefined,
    process: undefined,
    epoch: 1,
    runNumbersUpTo: undefined,
};

test("the state is encoded again only after a while, and if enough was learned", () => {
    const tables = emptyTables();
    let nowMs = 0;
    const learn = (runs: number): void =>
        Array.from({ length: runs }).forEach(() => learnFinishedRun(tables.runTimes, subject(), 3000));
    const published = createPublishedRunTimes({ tables, monotonicMs: () => nowMs });
    learn(100);
    const first = published.text();
    learn(100);
    assert.equal(published.text(), first, "too early");
    nowMs = 10_000;
    const second = published.text();
    assert.notEqual(second, first);
    learn(3);
    nowMs = 20_000;
    assert.equal(published.text(), second, "too few runs");
    learn(60);
    assert.notEqual(published.text(), second);
});

test("a successor reads the state from the lease row, and rows without one or with garbage in its place", () => {
    const tables = emptyTables();
    Array.from({ length: 100 }).forEach(() => learnFinishedRun(tables.runTimes, subject(), 3000));
    const text = createPublishedRunTimes({ tables, monotonicMs: () => 0 }).text();
    const row = decodeLease(encodeLease({ ...record, runTimes: text }));
    const expected = expectedMs(decodeRunTimes(row?.runTimes), subject());
    assert.ok(expected > 2500 && expected < 3500, `${expected}`);
    assert.equal(decodeLease(encodeLease(record))?.runTimes, undefined);
    ["7", "null", "{}", "[]"].forEach(runTimes => {
        const garbled = decodeLease(
            encodeLease({ ...record, runTimes: "" }).replace('"runTimes":""', `"runTimes":${runTimes}`),
        );
        assert.equal(garbled?.epoch, 1);
        assert.equal(garbled.runTimes, undefined);
    });
});

test("the state adds a bounded number of bytes to the lease row", () => {
    const runTimes = "x".repeat(MAX_STATE_CHARS);
    const added = encodeLease({ ...record, runTimes }).length - encodeLease(record).length;
    assert.ok(added < MAX_STATE_CHARS + 20, `${added}`);
});
